#ifndef MONSOON_ENGINE_PUBLISHER_H
#define MONSOON_ENGINE_PUBLISHER_H

#include "core/configlog.h"
#include "core/outcome.h"
#include "ports/clock.h"
#include "ports/recordstreams.h"

#include <optional>
#include <string>

namespace monsoon {

/// A set of tables that an operator asks to publish.
struct Publication {
  std::string m_Id;
  /// Version that the tables are based on; the current one if empty.
  std::optional<ConfigVersion> m_Base;
  std::string m_Author;
  std::string m_Note;
  TablesPtr m_Tables;
};

/// Appends tables to the configuration log and reads the log to learn whether
/// they were accepted. The reply to an append decides nothing: a record that
/// was appended may be rejected, and one whose reply was lost may be accepted.
class Publisher {
public:
  Publisher(ConfigStream &Stream, WaitingClock &Time)
      : m_Stream(Stream), m_Time(Time) {}

  /// Reads the log to its end and returns the current configuration.
  /// LogUnavailable if records have expired and no snapshot is left.
  Outcome<ConfigState> current();

  /// Returns the accepted version. VersionLost if the base version is not the
  /// current one or another publication on it was accepted first,
  /// LogUnavailable if the log can't be read or the outcome is still unknown.
  Outcome<ConfigVersion> publish(const Publication &Wanted);

private:
  /// Reads to the end of the stream. Returns the verdict on the record with
  /// this id, or nothing if it was not read.
  Outcome<std::optional<Verdict>> readToEnd(const std::string &Id);

  ConfigStream &m_Stream;
  WaitingClock &m_Time;
  ConfigReplay m_Replay;
};

} // namespace monsoon

#endif
