#include "policy/poolqueue.h"

#include <algorithm>

namespace monsoon {

Duration PoolQueue::expectedWait(int Priority, Duration Service,
                                 double Room) const {
  const auto Ahead = std::count_if(
      m_Items.begin(), m_Items.end(), [Priority](const Item &Each) {
        return Each->priority() <= Priority;
      });
  const double Rounds = static_cast<double>(Ahead + 1) / std::max(Room, 0.5);
  return std::chrono::duration_cast<Duration>(Service * Rounds);
}

bool PoolQueue::wouldServeInTime(TimePoint Now, int Priority,
                                 TimePoint Deadline, Duration Service,
                                 double Room) const {
  return Now + expectedWait(Priority, Service, Room) + Service <= Deadline;
}

void PoolQueue::add(Item Request) {
  // From the back, since most requests rank alike.
  auto Place = m_Items.end();
  while (Place != m_Items.begin() &&
         (*std::prev(Place))->priority() > Request->priority())
    --Place;
  m_Items.insert(Place, std::move(Request));
}

bool PoolQueue::remove(const QueuedRequest *Request) {
  const auto It =
      std::find_if(m_Items.begin(), m_Items.end(),
                   [Request](const Item &Each) { return Each.get() == Request; });
  if (It == m_Items.end())
    return false;
  m_Items.erase(It);
  return true;
}

void PoolQueue::offer(const std::function<Verdict(const Item &)> &Take) {
  // Taking one may add or remove others, so the order is fixed beforehand.
  const std::list<Item> Waiting = m_Items;
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
