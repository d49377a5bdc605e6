// Case 8. Busy keys make the entry hosts move keys between servers. The servers
// of one zone turn slow, and the operator empties another zone and then that
// one, one right after the other. Checked: no server is given a key on which
// another one is still at work, before that one's hold would have run out.
#include "scene.h"

#include <random>

using namespace review;

namespace {

constexpr int Servers = 13;
constexpr int Requesters = 60;
constexpr int Rounds = 12;
constexpr int Zones = 4;
const char *const ZoneNames[Zones] = {"lodz-a", "lodz-b", "pabianice",
                                      "zgierz"};
constexpr uint32_t Keys = 65'536;
/// Some adjacent keys get this share of the requests, others in each round.
constexpr uint32_t BusyKeys = 100;
constexpr int BusyPercent = 42;
constexpr Milliseconds UsualWork{120};
constexpr Milliseconds SlowWork{900};
constexpr Milliseconds FirstPause{3000};
constexpr Milliseconds BetweenZones{250};
constexpr Milliseconds EmptyFor{2500};
constexpr Milliseconds CalmFor{3500};
constexpr Milliseconds AnswerLimit{4000};

std::atomic<uint32_t> BusyFrom{0};
std::atomic<bool> IsOver{false};

void request(Scene &Shared, int Number) {
  std::mt19937 Random(static_cast<unsigned>(Number) + std::random_device{}());
  std::unique_ptr<Connection> Peer;
  for (int Next = 0; !IsOver; ++Next) {
    if (!Peer)
      Peer = connectTo(Shared.host(static_cast<int>(Random() % Shared.hosts()))
                           .callerPort());
    if (!Peer) {
      Shared.breach("a requester could not connect");
      return;
    }
    const bool IsBusy = static_cast<int>(Random() % 100) < BusyPercent;
    const uint32_t Key = IsBusy ? (BusyFrom + Random() % BusyKeys) % Keys
                                : static_cast<uint32_t>(Random() % Keys);
    const std::string Id =
        "k" + std::to_string(Number) + "-" + std::to_string(Next);
    if (!Shared.send(*Peer, Id, "GET", "/look/" + Id, "",
                     "X-Monsoonstand-Shard-Key: " + std::to_string(Key) +
                         "\r\n") ||
        !Shared.readAnswer(*Peer, Id, "GET", AnswerLimit))
      Peer = nullptr;
    std::this_thread::sleep_for(Milliseconds(Random() % 120));
  }
}

void setWork(Scene &Shared, const std::string &Zone, Milliseconds Work) {
  for (const auto &Each : Shared.servers("keyed"))
    if (Each->zone() == Zone)
      Each->m_WorkMs = static_cast<int>(Work.count());
}

/// Makes keys busy that a server of the zone holds.
void moveBusyKeys(Scene &Shared, const std::string &Zone,
                  std::mt19937 &Random) {
  for (const auto &Each : Shared.servers("keyed"))
    if (Each->zone() == Zone)
      if (const auto Key = Each->heldKey(Random())) {
        BusyFrom = *Key;
        return;
      }
}

} // namespace

int main(int Count, char **Arguments) {
  Scene Shared(Count, Arguments);
  Shared.addServers("keyed", Servers, UsualWork, true);
  Shared.addServers("reads", 2, UsualWork);
  Shared.addServers("orders", 2, UsualWork);
  if (!Shared.start(5))
    return Scene::CouldNotRun;
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < Requesters; ++Index)
    Threads.emplace_back(request, std::ref(Shared), Index);
  std::mt19937 Random{std::random_device{}()};
  std::this_thread::sleep_for(FirstPause);
  for (int Round = 0; Round < Rounds; ++Round) {
    const int SlowZone = Round % Zones;
    const std::string Slow = ZoneNames[SlowZone];
    const std::string Other =
        ZoneNames[(SlowZone + 1 + static_cast<int>(Random() % (Zones - 1))) %
                  Zones];
    moveBusyKeys(Shared, Slow, Random);
    if (Shared.hasTrouble())
      setWork(Shared, Slow, SlowWork);
    std::this_thread::sleep_for(Milliseconds(1500 + Random() % 500));
    if (Shared.hasTrouble())
      Shared.setEvacuated(Other, true);
    std::this_thread::sleep_for(BetweenZones);
    if (Shared.hasTrouble())
      Shared.setEvacuated(Slow, true);
    std::this_thread::sleep_for(EmptyFor);
    if (Shared.hasTrouble()) {
      setWork(Shared, Slow, UsualWork);
      Shared.setEvacuated(Other, false);
      Shared.setEvacuated(Slow, false);
    }
    std::this_thread::sleep_for(CalmFor);
  }
  IsOver = true;
  for (std::thread &Each : Threads)
    Each.join();
  return Shared.finish();
}
