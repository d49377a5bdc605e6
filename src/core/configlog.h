#ifndef MONSOON_CORE_CONFIGLOG_H
#define MONSOON_CORE_CONFIGLOG_H

#include "core/replay.h"
#include "core/tables.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>

namespace monsoon {

/// Version of the configuration; zero if none was published yet.
using ConfigVersion = uint64_t;

/// An operator's publication of new tables. It is accepted only if the
/// configuration still has the version that the publication is based on.
struct PublishRecord {
  std::string m_Id;
  ConfigVersion m_Base = 0;
  std::string m_Author;
  std::string m_Note;
  /// Null when the record's tables are malformed or inconsistent.
  TablesPtr m_Tables;
};

/// One accepted publication in the history.
struct ConfigChange {
  ConfigVersion m_Version = 0;
  std::string m_Id;
  std::string m_Author;
  std::string m_Note;

  friend bool operator==(const ConfigChange &A, const ConfigChange &B) {
    return std::tie(A.m_Version, A.m_Id, A.m_Author, A.m_Note) ==
           std::tie(B.m_Version, B.m_Id, B.m_Author, B.m_Note);
  }
};

struct ConfigRecord;

/// The configuration in force. All readers that apply the same records of the
/// log reach the same state.
class ConfigState {
public:
  /// Number of accepted publications that the history keeps.
  static constexpr size_t HistoryLength = 20;

  ConfigState() = default;
  ConfigState(ConfigVersion Version, TablesPtr Value,
              std::deque<ConfigChange> History);

  ConfigVersion version() const { return m_Version; }
  /// Null until the first publication.
  const TablesPtr &tables() const { return m_Tables; }
  const std::deque<ConfigChange> &history() const { return m_History; }

  /// Applies the next record of the log. Returns whether it was accepted.
  Verdict apply(const ConfigRecord &Record);

private:
  ConfigVersion m_Version = 0;
  TablesPtr m_Tables;
  std::deque<ConfigChange> m_History;
};

/// The configuration as of an offset. Records before the offset may expire.
struct ConfigSnapshot {
  uint64_t m_AsOf = 0;
  ConfigState m_State;
};

/// A record of a kind that this version of the program does not know.
struct UnknownRecord {};

/// One record of the configuration's stream in the log.
struct ConfigRecord {
  std::variant<UnknownRecord, PublishRecord, ConfigSnapshot> m_Body;

  const ConfigSnapshot *snapshot() const {
    return std::get_if<ConfigSnapshot>(&m_Body);
  }
};

using ConfigReplay = Replay<ConfigState, ConfigRecord>;

} // namespace monsoon

#endif
