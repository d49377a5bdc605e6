#ifndef MONSOON_TELEMETRY_EVENTLOG_H
#define MONSOON_TELEMETRY_EVENTLOG_H

#include "ports/eventsink.h"

namespace monsoon {

/// Writes events to the log of the process, one line each.
class EventLog : public EventSink {
public:
  void event(Severity Level, const char *Name, const Details &Fields) override;
};

} // namespace monsoon

#endif
