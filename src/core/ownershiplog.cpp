#include "core/ownershiplog.h"

#include <algorithm>
#include <utility>

namespace monsoon {

bool GroupState::isElector(const HostId &Host) const {
  return std::find(m_Electors.begin(), m_Electors.end(), Host) !=
         m_Electors.end();
}

Verdict GroupState::apply(const OwnershipRecord &Record) {
  return std::visit([this](const auto &Body) { return apply(Body); },
                    Record.m_Body);
}

Verdict GroupState::apply(const ClaimRecord &Record) {
  if (Record.m_Base != m_Version)
    return Verdict::Rejected;
  if (Record.m_Cold && m_ColdNotice != Record.m_Host)
    return Verdict::Rejected;
  const bool IsFirstClaim = m_Electors.empty();
  ++m_Version;
  ++m_Term;
  m_Holder = Record.m_Host;
  m_ColdNotice.clear();
  if (Record.m_Cold)
    m_Cold = true;
  if (Record.m_Cold || IsFirstClaim)
    m_Electors = {Record.m_Host};
  return Verdict::Accepted;
}

Verdict GroupState::apply(const AssignRecord &Record) {
  if (Record.m_Base != m_Version || Record.m_Term != m_Term)
    return Verdict::Rejected;
  ++m_Version;
  // The first assignment fixes the number of ranges. If it changed later, keys
  // would change their owner without a handover.
  if (m_Owners.empty())
    m_Owners.resize(Record.m_RangeCount);
  for (const auto &[Server, Ranges] : Record.m_Moves)
    for (const RangeId Range : Ranges)
      if (Range < m_Owners.size())
        m_Owners[Range] = {Server, m_Version, m_Owners[Range].m_Server};
  return Verdict::Accepted;
}

Verdict GroupState::apply(const ElectorsRecord &Record) {
  if (Record.m_Base != m_Version || Record.m_Term != m_Term)
    return Verdict::Rejected;
  ++m_Version;
  m_Electors = Record.m_Electors;
  return Verdict::Accepted;
}

Verdict GroupState::apply(const ResignRecord &Record) {
  const auto It =
      std::find(m_Electors.begin(), m_Electors.end(), Record.m_Host);
  if (It == m_Electors.end())
    return Verdict::Rejected;
  m_Electors.erase(It);
  return Verdict::Accepted;
}

Verdict GroupState::apply(const ColdNoticeRecord &Record) {
  if (Record.m_Base != m_Version)
    return Verdict::Rejected;
  ++m_Version;
  m_ColdNotice = Record.m_Host;
  return Verdict::Accepted;
}

Verdict GroupState::apply(const ColdObjectionRecord &Record) {
  if (Record.m_Base != m_Version || Record.m_Term != m_Term)
    return Verdict::Rejected;
  ++m_Version;
  m_ColdNotice.clear();
  return Verdict::Accepted;
}

Verdict GroupState::apply(const ColdConfirmRecord & /*Record*/) {
  if (!m_Cold)
    return Verdict::Rejected;
  m_Cold = false;
  return Verdict::Accepted;
}

GroupStateBuilder &GroupStateBuilder::term(Term Value, HostId Holder) {
  m_State.m_Term = Value;
  m_State.m_Holder = std::move(Holder);
  return *this;
}

GroupStateBuilder &GroupStateBuilder::version(GroupVersion Value) {
  m_State.m_Version = Value;
  return *this;
}

GroupStateBuilder &GroupStateBuilder::electors(std::vector<HostId> Value) {
  m_State.m_Electors = std::move(Value);
  return *this;
}

GroupStateBuilder &GroupStateBuilder::owners(std::vector<RangeOwner> Value) {
  m_State.m_Owners = std::move(Value);
  return *this;
}

GroupStateBuilder &GroupStateBuilder::cold(bool Value, HostId Notice) {
  m_State.m_Cold = Value;
  m_State.m_ColdNotice = std::move(Notice);
  return *this;
}

} // namespace monsoon
