#include "standin/grantholder.h"

#include "core/routingview.h"

#include <algorithm>

namespace monsoon {

GrantReply GrantHolder::apply(const GrantOrder &Order, TimePoint Now) {
  GrantReply Reply;
  Reply.m_Instance = m_Instance;
  Reply.m_Stamp = toStamp(Now);
  const bool Outdated =
      Order.m_Term < m_Term || (Order.m_Term == m_Term && Order.m_Seq <= m_Seq);
  Reply.m_Accepted = !(Outdated && m_ChecksFences);
  if (Reply.m_Accepted) {
    if (Order.m_Term != m_Term) {
      m_LeaseEnd = std::min(m_LeaseEnd, Now);
      m_SetVersion = 0;
    }
    m_Term = Order.m_Term;
    m_Seq = Order.m_Seq;
    if (Order.m_Ranges) {
      for (const auto &[Range, Fence] : m_Ranges)
        if (m_InFlight.count(Range) != 0)
          m_Draining[Range] = Fence;
      m_Ranges.clear();
      for (const RangeGrant &Each : *Order.m_Ranges) {
        m_Ranges[Each.m_Range] = Each.m_Fence;
        m_Draining.erase(Each.m_Range);
      }
      m_SetVersion = Order.m_SetVersion;
    }
    if (Order.m_Echo != 0 && Order.m_Instance == m_Instance &&
        m_SetVersion == Order.m_SetVersion)
      m_LeaseEnd =
          std::max(m_LeaseEnd, fromStamp(Order.m_Echo) + Order.m_Lifetime);
  }
  Reply.m_Term = m_Term;
  Reply.m_SetVersion = m_SetVersion;
  for (const auto &[Range, Fence] : m_Draining)
    Reply.m_Draining.push_back(Range);
  return Reply;
}

bool GrantHolder::mayServe(RangeId Range, GroupVersion Fence,
                           TimePoint Now) const {
  if (!m_ChecksFences)
    return true;
  const auto It = m_Ranges.find(Range);
  return It != m_Ranges.end() && It->second == Fence && Now < m_LeaseEnd;
}

bool GrantHolder::mayCommit(RangeId Range, GroupVersion Fence,
                            TimePoint Now) const {
  if (mayServe(Range, Fence, Now))
    return true;
  const auto It = m_Draining.find(Range);
  return It != m_Draining.end() && It->second == Fence && Now < m_LeaseEnd;
}

void GrantHolder::endRequest(RangeId Range) {
  const auto It = m_InFlight.find(Range);
  if (--It->second > 0)
    return;
  m_InFlight.erase(It);
  m_Draining.erase(Range);
}

} // namespace monsoon
