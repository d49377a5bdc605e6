#include "caller.h"
#include "cases.h"
#include "server.h"

#include <sys/wait.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace review {

namespace {

constexpr Milliseconds Work{100};
constexpr int CallersPerHost = 4;
constexpr int DeadlineMs = 2000;
/// The pause before the platform starts a process again that has ended.
constexpr Milliseconds RestartDelay{1000};
/// Longer than stable_window_ms, so that all machines are in touch.
constexpr Milliseconds CalmTime{6000};
constexpr std::chrono::seconds Watched{25};
/// LOST allows this many requests without an answer.
constexpr int AllowedLosses = 3;

Json::Value makeConfig(int Version, bool HasRoute, bool HasService) {
  Json::Value Config = emptyConfig(Version);
  addService(Config, "orders", false);
  addRoute(Config, "orders.example", "orders", "unsafe", DeadlineMs, 2);
  if (HasService)
    addService(Config, "ledger", true);
  if (HasRoute)
    addRoute(Config, "ledger.example", "ledger", "safe", DeadlineMs, 2);
  return Config;
}

} // namespace

int runPoolRemoval(const Setup &Given) {
  Store Platform;
  std::mutex Mutex;
  std::set<std::string> PassedOn;
  const auto Serve = [&](Server &Self, ServerConnection &Peer,
                         const ServerRequest &Request) {
    const std::string Body = Peer.read(Request.m_BodyBytes);
    if (Request.m_Path == "/v1/grant" || Request.m_Path == "/v1/release") {
      Peer.write(Self.carryOutOrder(Request, Body));
      return true;
    }
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      PassedOn.insert(Request.id());
    }
    std::this_thread::sleep_for(Work);
    Peer.write(answerText(200, Request.id(), "done"));
    return true;
  };
  std::vector<std::unique_ptr<Server>> Servers;
  for (int Index = 1; Index <= 3; ++Index)
    Servers.push_back(
        std::make_unique<Server>("i-ledger-" + std::to_string(Index), "ledger",
                                 "zone-a", Platform, Given.m_Record, Serve));
  for (int Index = 1; Index <= 8; ++Index)
    Servers.push_back(
        std::make_unique<Server>("i-orders-" + std::to_string(Index), "orders",
                                 "zone-b", Platform, Given.m_Record, Serve));
  Platform.publish(makeConfig(7, true, true));
  Deployment Hosts(Given, Platform);
  if (!Hosts.start())
    return CouldNotRun;
  std::atomic<bool> IsOver{false};
  std::atomic<int> Served{0};
  std::atomic<int> Lost{0};
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < CallersPerHost * 5; ++Index)
    Threads.emplace_back([&, Index]() {
      const Host &Entry = *Hosts.hosts()[static_cast<size_t>(Index) % 5];
      std::unique_ptr<Connection> Kept;
      for (int Round = 0; !IsOver; ++Round) {
        if (!Kept)
          Kept = std::make_unique<Connection>(Entry.callerPort());
        const std::string Id =
            "order-" + std::to_string(Index) + "-" + std::to_string(Round);
        const Answer Got =
            Kept->exchange(requestHead("orders.example", Id, 4, DeadlineMs),
                           "item", Milliseconds(DeadlineMs + 1000));
        Served += Got.m_Status == 200 ? 1 : 0;
        if (Got.m_Status != 0)
          continue;
        Kept = nullptr;
        const std::lock_guard<std::mutex> Lock(Mutex);
        if (PassedOn.count(Id) > 0) {
          ++Lost;
          Given.m_Record.write("LOST: " + Id +
                               " was passed on to a server by " + Entry.name() +
                               ", and its connection ended without an answer");
        }
        std::this_thread::sleep_for(Milliseconds(300));
      }
    });
  std::this_thread::sleep_for(CalmTime);
  Given.m_Record.write(std::to_string(Served) + " orders served, " +
                       std::to_string(Lost) + " lost before the change");
  Platform.publish(makeConfig(9, false, !Given.m_HasTrouble));
  Given.m_Record.write(
      Given.m_HasTrouble ? "version 9 without the service ledger was published"
                         : "version 9 without the route to the service ledger "
                           "was published");
  int Ended = 0;
  std::vector<std::pair<Clock::time_point, Host *>> ToStart;
  const auto End = Clock::now() + Watched;
  while (Clock::now() < End) {
    std::this_thread::sleep_for(Milliseconds(20));
    for (const auto &Each : Hosts.hosts()) {
      const int Status = Each->pollExit();
      if (Status < 0)
        continue;
      ++Ended;
      Given.m_Record.write(
          Each->name() + " ended by itself" +
          (WIFSIGNALED(Status)
               ? " by signal " + std::to_string(WTERMSIG(Status))
               : " with " + std::to_string(WEXITSTATUS(Status))));
      ToStart.emplace_back(Clock::now() + RestartDelay, Each.get());
    }
    while (!ToStart.empty() && Clock::now() >= ToStart.front().first) {
      ToStart.front().second->start();
      Given.m_Record.write("the platform starts " +
                           ToStart.front().second->name() + " again");
      ToStart.erase(ToStart.begin());
    }
  }
  IsOver = true;
  for (std::thread &Each : Threads)
    Each.join();
  Given.m_Record.write(std::to_string(Served) + " served, " +
                       std::to_string(Lost) + " lost, " +
                       std::to_string(Ended) + " processes ended");
  if (Served == 0)
    return CouldNotRun;
  return Lost > AllowedLosses ? RuleBroken : RuleHeld;
}

} // namespace review
