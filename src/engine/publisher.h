#ifndef MONSOON_ENGINE_PUBLISHER_H
#define MONSOON_ENGINE_PUBLISHER_H

#include "core/configlog.h"
#include "core/outcome.h"
#include "ports/clock.h"
#include "ports/recordstreams.h"

#include <optional>
#include <string>

namespace monsoon {

/// What an operator wants to publish.
struct Publication {
  std::string m_Id;
  /// Version that the tables were edited from; the current one if empty.
  std::optional<ConfigVersion> m_Base;
  std::string m_Author;
  std::string m_Note;
  TablesPtr m_Tables;
};

/// Publishes tables on the log, and finds out by reading whether they were
/// accepted: a reply to an append proves neither that it counts nor, when it
/// is lost, that it doesn't.
class Publisher {
public:
  Publisher(ConfigStream &Stream, WaitingClock &Time)
      : m_Stream(Stream), m_Time(Time) {}

  /// Reads the configuration in force.
  Outcome<ConfigState> current();

  /// Returns the accepted version. VersionLost if another publication was
  /// accepted on the same version, LogUnavailable if it is not known yet.
  Outcome<ConfigVersion> publish(const Publication &Wanted);

private:
  /// Reads to the end of the stream; the verdict on the record with that id.
  Outcome<std::optional<Verdict>> readUntilEnd(const std::string &Id);

  ConfigStream &m_Stream;
  WaitingClock &m_Time;
  ConfigReplay m_Replay;
};

} // namespace monsoon

#endif
