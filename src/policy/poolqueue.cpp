#include "policy/poolqueue.h"

#include <algorithm>
#include <vector>

namespace monsoon {

namespace {

bool canBeOnTime(const QueuedRequest &Request, TimePoint Now,
                 Duration Service) {
  return Now + Service <= Request.objective();
}

} // namespace

Duration PoolQueue::expectedWait(TimePoint Now, int Priority, Duration Service,
                                 double Room) const {
  const auto Ahead =
      std::count_if(m_Items.begin(), m_Items.end(), [&](const Item &Each) {
        return Each->priority() <= Priority && canBeOnTime(*Each, Now, Service);
      });
  const double Rounds = static_cast<double>(Ahead + 1) / std::max(Room, 0.5);
  return std::chrono::duration_cast<Duration>(Service * Rounds);
}

bool PoolQueue::wouldServeBy(TimePoint Moment, TimePoint Now, int Priority,
                             Duration Service, double Room) const {
  return Now + expectedWait(Now, Priority, Service, Room) + Service <= Moment;
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
      std::find_if(m_Items.begin(), m_Items.end(), [Request](const Item &Each) {
        return Each.get() == Request;
      });
  if (It == m_Items.end())
    return false;
  m_Items.erase(It);
  return true;
}

void PoolQueue::offer(TimePoint Now, Duration Service,
                      const std::function<Verdict(const Item &)> &Take) {
  // Taking one may add or remove others, so the order is fixed beforehand.
  std::vector<Item> Waiting(m_Items.begin(), m_Items.end());
  std::stable_partition(Waiting.begin(), Waiting.end(), [&](const Item &Each) {
    return canBeOnTime(*Each, Now, Service);
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
