#include "core/routingview.h"

namespace monsoon {

Stamp toStamp(TimePoint Moment) { return Moment.time_since_epoch().count(); }

TimePoint fromStamp(Stamp Value) { return TimePoint(Duration(Value)); }

uint32_t RoutingView::rangeCount() const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  return static_cast<uint32_t>(m_Ranges.size());
}

std::variant<RoutingPermit, ErrorKind> RoutingView::begin(RangeId Range,
                                                          TimePoint Now) {
  const absl::MutexLock Lock(&m_Mutex);
  if (Now >= m_RoutingExpiry || Range >= m_Ranges.size())
    return ErrorKind::ViewStale;
  RangeEntry &Chosen = m_Ranges[Range];
  if (Chosen.m_Pending || Chosen.m_Server.empty())
    return ErrorKind::OwnerUnknown;
  ++Chosen.m_InFlight;
  return RoutingPermit{Chosen.m_Server, Range, Chosen.m_Fence, m_RoutingExpiry};
}

bool RoutingView::isStillValid(const RoutingPermit &Permit,
                               TimePoint Now) const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  if (Now >= m_RoutingExpiry || Permit.m_Range >= m_Ranges.size())
    return false;
  const RangeEntry &Chosen = m_Ranges[Permit.m_Range];
  return !Chosen.m_Pending && Chosen.m_Fence == Permit.m_Fence &&
         Chosen.m_Server == Permit.m_Server;
}

void RoutingView::finish(const RoutingPermit &Permit, bool Settled) {
  const absl::MutexLock Lock(&m_Mutex);
  if (Permit.m_Range >= m_Ranges.size())
    return;
  RangeEntry &Chosen = m_Ranges[Permit.m_Range];
  --Chosen.m_InFlight;
  if (!Settled)
    Chosen.m_UnsettledExpiry =
        std::max(Chosen.m_UnsettledExpiry, Permit.m_Until);
}

void RoutingView::apply(const Heartbeat &Message) {
  const absl::MutexLock Lock(&m_Mutex);
  if (Message.m_Term < m_Term)
    return;
  if (Message.m_Term > m_Term) {
    m_Term = Message.m_Term;
    m_Seq = 0;
    // The permission to route ends with the former term; the decider of the new
    // term has to grant it again.
    m_RoutingExpiry = TimePoint();
  }
  const bool IsApplicable =
      Message.m_BaseSeq == 0 || Message.m_BaseSeq == m_Seq;
  if (IsApplicable && Message.m_ViewSeq > m_Seq) {
    m_Ranges.resize(std::max<size_t>(m_Ranges.size(), Message.m_RangeCount));
    for (const ViewEntry &Each : Message.m_Entries) {
      if (Each.m_Range >= m_Ranges.size())
        continue;
      RangeEntry &Changed = m_Ranges[Each.m_Range];
      Changed.m_Server = Each.m_Server;
      Changed.m_Fence = Each.m_Fence;
      Changed.m_Pending = Each.m_Pending;
    }
    m_Seq = Message.m_ViewSeq;
  }
  if (m_Seq == 0 || Message.m_Echo == 0 || Message.m_ViewLifetime.count() == 0)
    return;
  if (m_Seq == Message.m_ViewSeq)
    m_RoutingExpiry = std::max(m_RoutingExpiry, fromStamp(Message.m_Echo) +
                                                    Message.m_ViewLifetime);
}

Term RoutingView::term() const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  return m_Term;
}

uint64_t RoutingView::sequence(Term Number) const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  return Number == m_Term ? m_Seq : 0;
}

std::vector<RangeId> RoutingView::busyRanges(TimePoint Now) const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  std::vector<RangeId> Result;
  for (size_t Index = 0; Index < m_Ranges.size(); ++Index)
    if (m_Ranges[Index].m_Pending && (m_Ranges[Index].m_InFlight > 0 ||
                                      Now < m_Ranges[Index].m_UnsettledExpiry))
      Result.push_back(static_cast<RangeId>(Index));
  return Result;
}

TimePoint RoutingView::validUntil() const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  return m_RoutingExpiry;
}

std::vector<ViewEntry> RoutingView::entries() const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  std::vector<ViewEntry> Result;
  for (size_t Index = 0; Index < m_Ranges.size(); ++Index)
    Result.push_back({static_cast<RangeId>(Index), m_Ranges[Index].m_Server,
                      m_Ranges[Index].m_Fence, m_Ranges[Index].m_Pending});
  return Result;
}

} // namespace monsoon
