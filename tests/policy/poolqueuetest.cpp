#include "policy/poolqueue.h"

#include <doctest.h>

#include <vector>

using namespace monsoon;
using std::chrono::seconds;

namespace {

class Waiting : public QueuedRequest {
public:
  Waiting(int Priority, TimePoint Deadline)
      : m_Priority(Priority), m_Deadline(Deadline) {}
  int priority() const override { return m_Priority; }
  TimePoint objective() const override { return m_Objective; }
  TimePoint deadline() const override { return m_Deadline; }
  void setObjective(TimePoint Value) { m_Objective = Value; }

private:
  int m_Priority;
  TimePoint m_Deadline;
  TimePoint m_Objective = m_Deadline;
};

const TimePoint Start{seconds(100)};
constexpr Milliseconds Work{100};

std::shared_ptr<Waiting> request(int Priority) {
  return std::make_shared<Waiting>(Priority, Start + seconds(1));
}

} // namespace

TEST_CASE("requests are offered by priority, then in order of arrival") {
  PoolQueue Queue;
  const std::vector<PoolQueue::Item> Added = {request(2), request(1),
                                              request(2), request(1)};
  for (const PoolQueue::Item &Each : Added)
    Queue.add(Each);
  std::vector<PoolQueue::Item> Seen;
  Queue.offer(Start, Work, [&](const PoolQueue::Item &Each) {
    Seen.push_back(Each);
    return PoolQueue::Verdict::Waits;
  });
  CHECK(Seen ==
        std::vector<PoolQueue::Item>{Added[1], Added[3], Added[0], Added[2]});
}

TEST_CASE("a request that is taken leaves the queue, and Stop ends the offer") {
  PoolQueue Queue;
  for (int Count = 0; Count < 3; ++Count)
    Queue.add(request(1));
  int Offered = 0;
  Queue.offer(Start, Work, [&](const PoolQueue::Item & /*Each*/) {
    return ++Offered == 1 ? PoolQueue::Verdict::Taken
                          : PoolQueue::Verdict::Stop;
  });
  CHECK(Offered == 2);
  CHECK(Queue.size() == 2);
}

TEST_CASE("the part of a burst that can't be served in time is refused") {
  PoolQueue Queue;
  // Service time 100 ms, two at a time, deadline after 1 s: 20 fit.
  int Accepted = 0;
  for (int Count = 0; Count < 100; ++Count) {
    if (!Queue.wouldServeBy(Start + seconds(1), Start, 1, {Work, 2}))
      continue;
    Queue.add(request(1));
    ++Accepted;
  }
  CHECK(Accepted >= 15);
  CHECK(Accepted <= 20);
  CHECK(Queue.wouldServeBy(Start + seconds(1), Start, 0, {Work, 2}));
}

TEST_CASE("a request that can't meet its objective waits for those that can") {
  PoolQueue Queue;
  const auto Late = request(1);
  Late->setObjective(Start + Work / 2);
  const auto OnTime = request(1);
  Queue.add(Late);
  Queue.add(OnTime);
  std::vector<PoolQueue::Item> Seen;
  Queue.offer(Start, Work, [&](const PoolQueue::Item &Each) {
    Seen.push_back(Each);
    return PoolQueue::Verdict::Waits;
  });
  CHECK(Seen == std::vector<PoolQueue::Item>{OnTime, Late});
  // The late request does not add to the expected wait of new requests.
  CHECK(Queue.expectedWait(Start, 1, {Work, 1}) == 2 * Work);
}

TEST_CASE("requests that wait at peers for the same owner count") {
  // A hot key: its owner serves 40 requests per second, and 23 hosts compete
  // for its capacity.
  PoolQueue Queue;
  QueueOutlook Outlook{Work, 4, 0, 23};
  CHECK(Queue.wouldServeBy(Start + seconds(1), Start, 1, Outlook));
  Outlook.m_PeersWaiting = 40;
  CHECK(!Queue.wouldServeBy(Start + seconds(1), Start, 1, Outlook));
  CHECK(Queue.expectedWait(Start, 1, Outlook) >= Work * 10);
}

TEST_CASE("hosts without reports of their peers yet admit at most a few "
          "times what can be served") {
  // 36 requests can be served in time; an even share is one or two per host.
  const QueueOutlook Outlook{Work, 4, 0, 23};
  int Accepted = 0;
  for (int Host = 0; Host < 23; ++Host) {
    PoolQueue Queue;
    for (int Count = 0; Count < 20; ++Count) {
      if (!Queue.wouldServeBy(Start + seconds(1), Start, 1, Outlook))
        continue;
      Queue.add(request(1));
      ++Accepted;
    }
  }
  CHECK(Accepted >= 36);
  CHECK(Accepted <= 4 * 36);
}

TEST_CASE("takeIf removes matching requests at any position in the queue") {
  PoolQueue Queue;
  const auto Over = request(2);
  Over->setObjective(Start);
  Queue.add(request(1));
  Queue.add(Over);
  Queue.add(request(2));
  const auto Taken = Queue.takeIf(
      [](const QueuedRequest &Each) { return Start >= Each.objective(); });
  CHECK(Taken == std::vector<PoolQueue::Item>{Over});
  CHECK(Queue.size() == 2);
}
