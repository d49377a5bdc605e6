// Case 6. Requesters send lookups on a kept connection without waiting for the
// answers, and now and then an order on the same connection once all answers
// are there. Meanwhile some servers turn slow. Checked: each answer belongs to
// the request that waits for it, and each request that a server runs is one
// that was sent.
#include "scene.h"

#include <cstdio>
#include <random>

using namespace review;

namespace {

constexpr int Servers = 10;
constexpr int Requesters = 3;
constexpr int LookupsPerRound = 200;
constexpr Milliseconds LookupInterval{20};
constexpr Milliseconds RunTime{40'000};
/// Every second round, for 8 s, two fifths of the servers take 12 times as
/// long.
constexpr Milliseconds SlowFrom{6000};
constexpr Milliseconds SlowFor{8000};
constexpr Milliseconds SlowEvery{16'000};
constexpr int SlowServers = Servers * 2 / 5;
constexpr int SlowFactor = 12;
constexpr Milliseconds AnswerLimit{4000};

class Requester {
public:
  Requester(int Number, Scene &Shared, int Port)
      : m_Number(Number), m_Scene(Shared), m_Port(Port) {}

  void run(TimePoint End) {
    while (SteadyClock::now() < End) {
      const auto Peer = connectTo(m_Port);
      if (!Peer) {
        m_Scene.breach("a requester could not connect");
        return;
      }
      while (SteadyClock::now() < End && lookups(*Peer) && order(*Peer)) {
      }
    }
  }

private:
  std::string nextId() {
    return "p" + std::to_string(m_Number) + "-" + std::to_string(m_Next++);
  }

  /// Sends lookups at a steady pace while a thread reads the answers in order.
  bool lookups(Connection &Peer) {
    std::vector<std::string> Ids;
    for (int Index = 0; Index < LookupsPerRound; ++Index)
      Ids.push_back(nextId());
    std::atomic<bool> IsBroken{false};
    std::thread Reader([&]() {
      for (const std::string &Id : Ids)
        if (!m_Scene.readAnswer(Peer, Id, "GET", AnswerLimit)) {
          IsBroken = true;
          Peer.shutdown();
          return;
        }
    });
    for (const std::string &Id : Ids) {
      if (IsBroken || !m_Scene.send(Peer, Id, "GET", "/read/" + Id, ""))
        break;
      std::this_thread::sleep_for(LookupInterval);
    }
    Reader.join();
    return !IsBroken;
  }

  /// Sends an order; nothing else waits for an answer on the connection.
  bool order(Connection &Peer) {
    const std::string Id = nextId();
    return m_Scene.send(Peer, Id, "POST", "/order/" + Id, "order " + Id) &&
           m_Scene.readAnswer(Peer, Id, "POST", AnswerLimit);
  }

  const int m_Number;
  Scene &m_Scene;
  const int m_Port;
  int m_Next = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  Scene Shared(Count, Arguments);
  Shared.addServers("keyed", 4, Milliseconds(120), true);
  Shared.addServers("reads", Servers, Milliseconds(120));
  Shared.addServers("orders", 4, Milliseconds(160));
  if (!Shared.start(3))
    return Scene::CouldNotRun;
  const TimePoint Start = SteadyClock::now();
  const TimePoint End = Start + RunTime;
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < Requesters; ++Index)
    Threads.emplace_back([&Shared, Index, End]() {
      Requester(Index, Shared, Shared.host(Index).callerPort()).run(End);
    });
  bool WasSlow = false;
  while (SteadyClock::now() < End) {
    const auto Elapsed =
        std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - Start);
    const bool IsSlow = Shared.hasTrouble() && Elapsed >= SlowFrom &&
                        (Elapsed - SlowFrom) % SlowEvery < SlowFor;
    if (IsSlow != WasSlow) {
      Shared.note(IsSlow ? "servers turn slow" : "servers are as before");
      for (int Index = 0; Index < SlowServers; ++Index)
        Shared.servers("reads")[static_cast<size_t>(Index)]->m_WorkMs =
            IsSlow ? 120 * SlowFactor : 120;
    }
    WasSlow = IsSlow;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  for (std::thread &Each : Threads)
    Each.join();
  return Shared.finish();
}
