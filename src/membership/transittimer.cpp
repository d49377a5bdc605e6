#include "membership/transittimer.h"

#include <algorithm>

namespace monsoon {

namespace {

/// By how much less than nothing a bound may be before the echo counts as
/// impossible: the clocks of two hosts may differ slightly in speed.
constexpr Milliseconds ClockTolerance{50};

Milliseconds wholeMilliseconds(Duration Value) {
  return std::chrono::floor<Milliseconds>(Value);
}

} // namespace

MessageStamp TransitTimer::stampFor(const std::string &Peer) const {
  const TimePoint Now = m_Clock.now();
  MessageStamp Stamp;
  Stamp.m_SentAt = wholeMilliseconds(Now.time_since_epoch());
  const auto Found = m_Newest.find(Peer);
  if (Found == m_Newest.end())
    return Stamp;
  Stamp.m_Echo = Found->second.m_SentAt;
  Stamp.m_EchoHeldFor = wholeMilliseconds(Now - Found->second.m_ReceivedAt);
  return Stamp;
}

std::optional<Duration> TransitTimer::noteReceived(const std::string &Peer,
                                                   const MessageStamp &Stamp) {
  const TimePoint Now = m_Clock.now();
  Reading &Newest = m_Newest[Peer];
  if (Stamp.m_SentAt > Newest.m_SentAt || Newest.m_ReceivedAt == TimePoint{})
    Newest = {Stamp.m_SentAt, Now};
  if (!Stamp.m_Echo || Stamp.m_EchoHeldFor < Milliseconds(0))
    return std::nullopt;
  const Duration Bound =
      Now.time_since_epoch() - *Stamp.m_Echo - Stamp.m_EchoHeldFor;
  if (Bound < -ClockTolerance)
    return std::nullopt;
  return std::max(Duration::zero(), Bound);
}

} // namespace monsoon
