#include "caller.h"
#include "cases.h"
#include "server.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace review {

namespace {

constexpr int ServerCount = 3;
/// Only this server sends copies; at most 0.6 of the servers may.
constexpr const char *FaultyServer = "i-ledger-1";
/// At most this fraction of the answers of a faulty server is sent twice.
constexpr double MaxCopied = 0.05;
/// Copies are sent in spells of this length, with pauses of the same length.
constexpr std::chrono::seconds Spell{5};
constexpr int Slots = 4;
constexpr int QueueLength = 3;
constexpr Milliseconds Work{50};
constexpr int DeadlineMs = 2000;
constexpr int Waves = 40;
/// Requests sent one after another between two waves.
constexpr int Between = 16;
/// The last request of a wave finds the server full.
constexpr Milliseconds LastOfWave{15};

/// A server with slots and a short queue that rejects what does not fit.
class Orders {
public:
  Orders(const Setup &Given) : m_Given(Given) {}

  bool serve(Server &Self, ServerConnection &Peer,
             const ServerRequest &Request) {
    const std::string Body = Peer.read(Request.m_BodyBytes);
    if (Request.m_Path == "/v1/grant" || Request.m_Path == "/v1/release") {
      Peer.write(Self.carryOutOrder(Request, Body));
      return true;
    }
    if (!Peer.m_Note.empty()) {
      m_Given.m_Record.write(Self.id() + " sends the second copy of its last "
                                         "answer on this connection");
      Peer.write(std::exchange(Peer.m_Note, ""));
    }
    State &Own = stateOf(Self);
    const int Key = std::stoi(Request.field("x-monsoonstand-shard-key"));
    const bool Holds = Self.holds(Key);
    std::string Load;
    if (!Holds || !enter(Own, Load)) {
      const std::string Answer =
          rejectionText(Request.id(), Holds ? 503 : 421, Load);
      m_Given.m_Record.write(
          Self.id() + " rejects " + Request.id() +
          (Holds ? ", since it is full" : ", since it does not hold the key"));
      ++Own.m_Answers;
      if (m_Given.m_HasTrouble && Own.m_IsFaulty && isSpell() &&
          Own.m_Copies + 1 <= MaxCopied * Own.m_Answers) {
        ++Own.m_Copies;
        Peer.m_Note = Answer;
      }
      Peer.write(Answer);
      return true;
    }
    {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      ++m_Runs[Request.id()];
    }
    m_Given.m_Record.write(Self.id() + " runs " + Request.id());
    std::this_thread::sleep_for(
        Request.m_Path == "/order/short" ? Milliseconds(2) : Work);
    Load = leave(Own);
    ++Own.m_Answers;
    Peer.write(answerText(200, Request.id(), "done", Load));
    return true;
  }

  int runs(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    const auto Found = m_Runs.find(Id);
    return Found == m_Runs.end() ? 0 : Found->second;
  }

  std::string summary() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    std::string Text;
    for (const auto &[Id, Each] : m_States)
      Text += Id + " sent " + std::to_string(Each->m_Answers) +
              " answers and " + std::to_string(Each->m_Copies) + " copies; ";
    return Text;
  }

private:
  struct State {
    std::mutex m_Mutex;
    std::condition_variable m_SlotFree;
    int m_Running = 0;
    int m_Waiting = 0;
    bool m_IsFaulty = false;
    std::atomic<int> m_Answers{0};
    std::atomic<int> m_Copies{0};
  };

  bool isSpell() const { return (Clock::now() - m_Start) / Spell % 2 == 0; }

  State &stateOf(const Server &Self) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    auto &Found = m_States[Self.id()];
    if (!Found) {
      Found = std::make_unique<State>();
      Found->m_IsFaulty = Self.id() == FaultyServer;
    }
    return *Found;
  }

  static std::string load(const State &Own) {
    return "X-Monsoonstand-Server-Load: " + std::to_string(Own.m_Running) +
           "," + std::to_string(Own.m_Waiting) + "," + std::to_string(Slots) +
           ",100\r\n";
  }

  /// Takes a slot, after a wait in the queue if there is room in it.
  static bool enter(State &Own, std::string &Load) {
    std::unique_lock<std::mutex> Lock(Own.m_Mutex);
    if (Own.m_Running == Slots && Own.m_Waiting == QueueLength) {
      Load = load(Own);
      return false;
    }
    ++Own.m_Waiting;
    Own.m_SlotFree.wait(Lock, [&Own]() { return Own.m_Running < Slots; });
    --Own.m_Waiting;
    ++Own.m_Running;
    return true;
  }

  static std::string leave(State &Own) {
    const std::lock_guard<std::mutex> Lock(Own.m_Mutex);
    --Own.m_Running;
    Own.m_SlotFree.notify_one();
    return load(Own);
  }

  const Setup &m_Given;
  const Clock::time_point m_Start = Clock::now();
  std::mutex m_Mutex;
  std::map<std::string, std::unique_ptr<State>> m_States;
  std::map<std::string, int> m_Runs;
};

} // namespace

int runRejectionCopy(const Setup &Given) {
  Store Platform;
  Orders Service(Given);
  std::vector<std::unique_ptr<Server>> Servers;
  for (int Index = 1; Index <= ServerCount; ++Index)
    Servers.push_back(std::make_unique<Server>(
        "i-ledger-" + std::to_string(Index), "ledger", "zone-a", Platform,
        Given.m_Record,
        [&Service](Server &Self, ServerConnection &Peer,
                   const ServerRequest &Request) {
          return Service.serve(Self, Peer, Request);
        }));
  Json::Value Config = emptyConfig(7);
  addService(Config, "ledger", true);
  // With two attempts, as in the pages' example of a config, and with three.
  addRoute(Config, "two.example", "ledger", "unsafe", DeadlineMs, 2);
  addRoute(Config, "three.example", "ledger", "unsafe", DeadlineMs, 3);
  Platform.publish(Config);
  Deployment Hosts(Given, Platform);
  if (!Hosts.start())
    return CouldNotRun;
  std::this_thread::sleep_for(Milliseconds(1500));
  std::mutex Mutex;
  std::map<std::string, int> Statuses;
  const auto Send = [&](size_t Host, const std::string &Route,
                        const std::string &Id, int Key,
                        const std::string &Path) {
    Connection Caller(Hosts.hosts()[Host]->callerPort());
    const Answer Got =
        Caller.exchange(requestHead(Route, Id, 4, DeadlineMs, Key, Path),
                        "item", Milliseconds(DeadlineMs + 1000));
    Given.m_Record.write(Id + " through " + Hosts.hosts()[Host]->name() +
                         " was answered " + std::to_string(Got.m_Status));
    const std::lock_guard<std::mutex> Lock(Mutex);
    Statuses[Id] = Got.m_Status;
  };
  for (int Wave = 0; Wave < Waves; ++Wave) {
    int Key = 0;
    while (Key < 65536 && !Servers.front()->holds(Key))
      Key += 16;
    if (Key >= 65536)
      return CouldNotRun;
    const std::string Name = "order-" + std::to_string(Wave) + "-";
    const std::string Route = Wave % 3 == 2 ? "three.example" : "two.example";
    for (int Index = 0; Index < Between; ++Index)
      Send(static_cast<size_t>(Index) % 3, Route,
           Name + "s" + std::to_string(Index), Key, "/order/short");
    // Eight orders for one owner, which has four slots and queues three.
    std::vector<std::thread> Threads;
    for (int Index = 0; Index < Slots + QueueLength; ++Index)
      Threads.emplace_back([&, Index]() {
        Send(static_cast<size_t>(Index) % 3, Route,
             Name + std::to_string(Index), Key + Index, "/order/order");
      });
    std::this_thread::sleep_for(LastOfWave);
    Send(4, Route, Name + "last", Key, "/order/order");
    for (std::thread &Each : Threads)
      Each.join();
    std::this_thread::sleep_for(Milliseconds(500));
  }
  std::this_thread::sleep_for(Milliseconds(1500));
  int Served = 0;
  int Twice = 0;
  int FalseRefusals = 0;
  for (const auto &[Id, Status] : Statuses) {
    Served += Status == 200 ? 1 : 0;
    const int Runs = Service.runs(Id);
    if (Runs > 1) {
      ++Twice;
      Given.m_Record.write("TWICE: " + Id + " ran " + std::to_string(Runs) +
                           " times");
    }
    if (Runs > 0 && (Status == 503 || Status == 429)) {
      ++FalseRefusals;
      Given.m_Record.write("REFUSED: " + Id + " was answered " +
                           std::to_string(Status) + " and has run");
    }
  }
  Given.m_Record.write(Service.summary());
  Given.m_Record.write(std::to_string(Statuses.size()) + " requests, " +
                       std::to_string(Served) + " served, " +
                       std::to_string(Twice) + " ran twice, " +
                       std::to_string(FalseRefusals) + " refused though run");
  if (Served == 0)
    return CouldNotRun;
  return FalseRefusals > 0 ? RuleBroken : RuleHeld;
}

} // namespace review
