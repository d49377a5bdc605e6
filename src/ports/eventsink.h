#ifndef MONSOON_PORTS_EVENTSINK_H
#define MONSOON_PORTS_EVENTSINK_H

#include <string>
#include <utility>
#include <vector>

namespace monsoon {

/// Log level of an event.
enum class Severity { Debug, Info, Warning, Error };

/// Receives decisions and state changes of a process for its log. Never blocks.
class EventSink {
public:
  /// Names and values of the event's log fields.
  using Details = std::vector<std::pair<const char *, std::string>>;

  virtual ~EventSink() = default;
  /// Logs the event Name with its fields.
  virtual void event(Severity Level, const char *Name,
                     const Details &Fields) = 0;
};

} // namespace monsoon

#endif
