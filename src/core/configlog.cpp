#include "core/configlog.h"

#include <utility>

namespace monsoon {

ConfigState::ConfigState(ConfigVersion Version, TablesPtr Value,
                         std::deque<ConfigChange> History)
    : m_Version(Version), m_Tables(std::move(Value)),
      m_History(std::move(History)) {}

Verdict ConfigState::apply(const ConfigRecord &Record) {
  const auto *Publish = std::get_if<PublishRecord>(&Record.m_Body);
  if (!Publish)
    return Verdict::Ignored;
  if (Publish->m_Base != m_Version || !Publish->m_Tables)
    return Verdict::Rejected;
  ++m_Version;
  m_Tables = Publish->m_Tables;
  m_History.push_back(
      {m_Version, Publish->m_Id, Publish->m_Author, Publish->m_Note});
  if (m_History.size() > HistoryLength)
    m_History.pop_front();
  return Verdict::Accepted;
}

} // namespace monsoon
