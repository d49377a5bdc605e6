#include "caller.h"
#include "cases.h"
#include "server.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace review {

namespace {

constexpr Milliseconds Work{1400};
/// Between the starts of two callers, so that some work is always under way.
constexpr Milliseconds Stagger{60};
constexpr int Callers = 24;

} // namespace

int runGrantCopy(const Setup &Given) {
  Store Platform;
  std::vector<std::unique_ptr<Server>> Servers;
  std::atomic<int> Violations{0};
  std::atomic<int> Copies{0};
  const auto Serve = [&](Server &Self, ServerConnection &Peer,
                         const ServerRequest &Request) {
    const std::string Body = Peer.read(Request.m_BodyBytes);
    if (Request.m_Path == "/v1/grant" || Request.m_Path == "/v1/release") {
      if (!Peer.m_Note.empty() && Request.m_Path == "/v1/release" &&
          Self.isAtWorkOn(Body) && Copies++ == 0) {
        Given.m_Record.write(Self.id() + " sends the second copy of its answer "
                                         "to a grant, late");
        Peer.write(Peer.m_Note);
      }
      Peer.m_Note.clear();
      const std::string Answer = Self.carryOutOrder(Request, Body);
      Peer.write(Answer);
      if (Given.m_HasTrouble && Request.m_Path == "/v1/grant")
        Peer.m_Note = Answer;
      return true;
    }
    const int Key = std::stoi(Request.field("x-monsoonstand-shard-key"));
    if (!Self.holds(Key)) {
      Peer.write(rejectionText(Request.id(), 421));
      return true;
    }
    Self.beginWork(Key);
    std::this_thread::sleep_for(Work);
    Self.endWork(Key);
    Peer.write(answerText(200, Request.id(), "done"));
    return true;
  };
  for (int Index = 1; Index <= 3; ++Index)
    Servers.push_back(
        std::make_unique<Server>("i-ledger-" + std::to_string(Index), "ledger",
                                 "zone-a", Platform, Given.m_Record, Serve));
  for (const auto &Each : Servers)
    Each->m_OnGrant = [&](Server &To, const Server::Held &Next) {
      for (const auto &Other : Servers) {
        if (Other.get() == &To)
          continue;
        for (const int Key : Other->busyKeys(Next.m_First, Next.m_Last)) {
          ++Violations;
          Given.m_Record.write("OWNER: " + To.id() + " is given key " +
                               std::to_string(Key) + " on which " +
                               Other->id() + " is still at work");
        }
      }
    };
  Json::Value Config = emptyConfig(7);
  addService(Config, "ledger", true);
  addRoute(Config, "ledger.example", "ledger", "safe", 3000, 2);
  Platform.publish(Config);
  Deployment Hosts(Given, Platform);
  if (!Hosts.start())
    return CouldNotRun;
  // The keys of a holder whose term has just begun are not moved for 2.4 s.
  std::this_thread::sleep_for(Milliseconds(4000));
  std::atomic<bool> IsOver{false};
  std::atomic<int> Served{0};
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < Callers; ++Index)
    Threads.emplace_back([&, Index]() {
      std::this_thread::sleep_for(Stagger * Index);
      for (int Round = 0; !IsOver; ++Round) {
        const std::string Id =
            "r-" + std::to_string(Index) + "-" + std::to_string(Round);
        Connection Caller(
            Hosts.hosts()[static_cast<size_t>(Index) % 5]->callerPort());
        const int Key = (Index * 2741 + Round * 977) % 65536;
        const Answer Got =
            Caller.exchange(requestHead("ledger.example", Id, 4, 3000, Key),
                            "item", Milliseconds(4000));
        Served += Got.m_Status == 200 ? 1 : 0;
        if (Got.m_Status != 200)
          std::this_thread::sleep_for(Milliseconds(200));
      }
    });
  std::this_thread::sleep_for(Milliseconds(3000));
  Given.m_Record.write("i-ledger-1 reports that it is draining");
  Servers.front()->drain();
  std::this_thread::sleep_for(Milliseconds(6000));
  IsOver = true;
  for (std::thread &Each : Threads)
    Each.join();
  Given.m_Record.write(std::to_string(Served) + " requests served, " +
                       std::to_string(Violations) +
                       " keys given away while they were worked on");
  if (Served == 0)
    return CouldNotRun;
  return Violations > 0 ? RuleBroken : RuleHeld;
}

} // namespace review
