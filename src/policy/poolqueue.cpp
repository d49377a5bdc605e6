#include "policy/poolqueue.h"

#include <algorithm>

namespace monsoon {

namespace {

/// A host admits up to this multiple of its even share of what can be served
/// in time, since callers don't divide evenly among hosts.
constexpr double OvercommitFactor = 3;
/// Lower bound of that limit, in requests.
constexpr double MinOwnQueue = 2;

bool canMeetObjective(const QueuedRequest &Request, TimePoint Now,
                      Duration Service) {
  return Now + Service <= Request.objective();
}

} // namespace

size_t PoolQueue::countAhead(TimePoint Now, int Priority,
                             Duration Service) const {
  return static_cast<size_t>(
      std::count_if(m_Items.begin(), m_Items.end(), [&](const Item &Each) {
        return Each->priority() <= Priority &&
               canMeetObjective(*Each, Now, Service);
      }));
}

Duration PoolQueue::expectedWait(TimePoint Now, int Priority,
                                 const QueueOutlook &Outlook) const {
  const auto OwnAhead =
      static_cast<double>(countAhead(Now, Priority, Outlook.m_ServiceTime));
  const double Ahead = OwnAhead + Outlook.m_PeersWaiting;
  const auto ForCapacity = std::chrono::duration_cast<Duration>(
      Outlook.m_ServiceTime * (Ahead + 1) /
      std::max(Outlook.m_Concurrency, 0.5));
  const auto ForPace = std::chrono::duration_cast<Duration>(
      Outlook.m_UntilNextSend + Outlook.m_SendInterval * OwnAhead);
  return std::max(ForCapacity, ForPace);
}

bool PoolQueue::wouldServeBy(TimePoint Moment, TimePoint Now, int Priority,
                             const QueueOutlook &Outlook) const {
  if (Now + expectedWait(Now, Priority, Outlook) + Outlook.m_ServiceTime >
      Moment)
    return false;
  const double ServableInTime =
      std::chrono::duration<double>(Moment - Now - Outlook.m_ServiceTime) /
      std::chrono::duration<double>(Outlook.m_ServiceTime) *
      Outlook.m_Concurrency;
  const double Limit =
      std::max(MinOwnQueue, OvercommitFactor * ServableInTime /
                                static_cast<double>(Outlook.m_Hosts));
  return static_cast<double>(countAhead(Now, Priority, Outlook.m_ServiceTime)) <
         Limit;
}

void PoolQueue::add(Item Request) {
  // Searches from the back, since most requests have the same priority.
  auto Place = m_Items.end();
  while (Place != m_Items.begin() &&
         (*std::prev(Place))->priority() > Request->priority())
    --Place;
  m_Items.insert(Place, std::move(Request));
}

bool PoolQueue::remove(const QueuedRequest *Request) {
  const auto It =
      std::find_if(m_Items.begin(), m_Items.end(), [Request](const Item &Each) {
        return Each.get() == Request;
      });
  if (It == m_Items.end())
    return false;
  m_Items.erase(It);
  return true;
}

std::vector<PoolQueue::Item>
PoolQueue::takeIf(const std::function<bool(QueuedRequest &)> &Matches) {
  std::vector<Item> Taken;
  for (auto It = m_Items.begin(); It != m_Items.end();) {
    if (!Matches(**It)) {
      ++It;
      continue;
    }
    Taken.push_back(std::move(*It));
    It = m_Items.erase(It);
  }
  return Taken;
}

void PoolQueue::offer(TimePoint Now, Duration Service,
                      const std::function<Verdict(const Item &)> &Take) {
  // Iterates over a copy, since Take may add or remove requests.
  std::vector<Item> Waiting(m_Items.begin(), m_Items.end());
  std::stable_partition(Waiting.begin(), Waiting.end(), [&](const Item &Each) {
    return canMeetObjective(*Each, Now, Service);
  });
  for (const Item &Each : Waiting) {
    if (std::find(m_Items.begin(), m_Items.end(), Each) == m_Items.end())
      continue;
    const Verdict Result = Take(Each);
    if (Result == Verdict::Taken)
      remove(Each.get());
    else if (Result == Verdict::Stop)
      return;
  }
}

} // namespace monsoon
