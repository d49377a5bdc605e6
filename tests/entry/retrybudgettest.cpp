#include "membership/hostmembership.h"
#include "policy/retrywindow.h"
#include "support/repeatcount.h"
#include "support/simtime.h"

#include "absl/strings/str_cat.h"

#include <doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace monsoon;
using std::chrono::seconds;

namespace {

constexpr Milliseconds TickInterval{50};
/// Of many hosts, to save time.
constexpr Milliseconds LargeTickInterval{150};
constexpr Milliseconds StoreDelay{4};
constexpr Milliseconds StoreTimeout{600};
constexpr Milliseconds WorkTime{60};
constexpr Milliseconds ConnectTimeout{400};
constexpr int MaxAttempts = 3;

class NoEvents : public EventSink {
public:
  void event(Severity /*Level*/, const char * /*Name*/,
             const Details & /*Fields*/) override {}
};

/// Entry hosts with real membership and real retry windows, on a simulated
/// store and simulated targets. What counts is what arrives at the targets.
class BudgetSimulation {
public:
  BudgetSimulation(int Machines, double RequestsPerSecond, uint64_t Seed)
      : m_Random(Seed), m_Rate(RequestsPerSecond), m_Machines(Machines) {
    m_Time.after(Duration::zero(), [this]() { expireMembers(); });
    m_Time.after(Duration::zero(), [this]() { sendRequest(); });
  }

  void run(Duration Length) { m_Time.run(Length); }
  int machines() const { return m_Machines; }
  Duration upTo(Milliseconds Most) {
    return Milliseconds(m_Random() % (static_cast<uint64_t>(Most.count()) + 1));
  }

  /// Starts a new process on the machine, which takes requests at once.
  void start(int Machine) {
    const std::string Name =
        absl::StrCat("m", Machine, "#", ++m_Starts[Machine]);
    auto Started = std::make_shared<Host>(Name, *this);
    m_Running[Machine] = Started;
    tick(Started);
  }
  void startAll(Milliseconds Spread) {
    for (int Machine = 0; Machine < m_Machines; ++Machine)
      m_Time.after(upTo(Spread), [this, Machine]() { start(Machine); });
  }
  void kill(int Machine) { m_Running.erase(Machine); }

  /// What callers send and targets do from now on.
  double m_FailedPart = 0;
  double m_UnreachablePart = 0;
  /// Part of the retries that wait, for up to 3 s.
  double m_QueuedPart = 0.3;
  void setRate(double PerSecond) { m_Rate = PerSecond; }
  bool m_IsStoreDown = false;
  std::set<int> m_CutFromStore;
  std::set<int> m_CutFromPeers;

  RepeatCount m_Count;
  const RetryAllowance m_Allowance{0.2, 218, seconds(10)};

  double worstUse() const { return m_Count.worst(m_Allowance).used(); }
  TimePoint now() const { return m_Time.now(); }

private:
  /// The group as one process reaches it.
  class Group : public HostGroup {
  public:
    Group(std::string Name, BudgetSimulation &Sim)
        : m_Name(std::move(Name)), m_Sim(Sim) {}
    uint32_t duties() const override { return 120; }
    void join(const std::string &Member, Milliseconds TimeToLive,
              uint64_t /*Generation*/, JoinDone Done) override {
      m_Sim.call(m_Name, [this, Member, TimeToLive, Done](bool IsReached) {
        if (!IsReached) {
          Done(Failure{ErrorKind::LogUnavailable, ""});
          return;
        }
        const bool IsNew =
            m_Sim.m_Members
                .insert_or_assign(Member, m_Sim.m_Time.now() + TimeToLive)
                .second;
        m_Sim.m_Generation += IsNew ? 1 : 0;
        Done(GroupAssignment{m_Sim.m_Generation, {}});
      });
    }
    void leave(const std::string & /*Member*/) override {}
    void members(MembersDone Done) override {
      m_Sim.call(m_Name, [this, Done](bool IsReached) {
        if (!IsReached) {
          Done(Failure{ErrorKind::LogUnavailable, ""});
          return;
        }
        std::set<std::string> Names;
        for (const auto &[Name, Until] : m_Sim.m_Members)
          Names.insert(Name);
        Done(Names);
      });
    }

  private:
    const std::string m_Name;
    BudgetSimulation &m_Sim;
  };

  struct Host {
    Host(const std::string &Name, BudgetSimulation &Sim)
        : m_Name(Name), m_Group(Name, Sim),
          m_Membership(Name, m_Group, Sim.m_Time, Sim.m_Events),
          m_Retries(Sim.m_Allowance, Sim.now()) {}
    const std::string m_Name;
    Group m_Group;
    HostMembership m_Membership;
    RetryWindow m_Retries;
  };
  using HostPtr = std::shared_ptr<Host>;

  double chance() { return std::uniform_real_distribution<>(0, 1)(m_Random); }

  static int machineOf(const std::string &Name) {
    return std::stoi(Name.substr(1));
  }
  bool isRunning(const HostPtr &Which) const {
    const auto Found = m_Running.find(machineOf(Which->m_Name));
    return Found != m_Running.end() && Found->second == Which;
  }

  /// Makes a call to the store; the process may have ended meanwhile.
  void call(const std::string &Name, std::function<void(bool)> Done) {
    const auto Found = m_Running.find(machineOf(Name));
    if (Found == m_Running.end() || Found->second->m_Name != Name)
      return;
    const bool IsReached =
        !m_IsStoreDown && m_CutFromStore.count(machineOf(Name)) == 0;
    m_Time.after(
        IsReached ? StoreDelay : StoreTimeout,
        [this, Caller = Found->second, IsReached, Done = std::move(Done)]() {
          if (isRunning(Caller))
            Done(IsReached);
        });
  }

  void expireMembers() {
    for (auto It = m_Members.begin(); It != m_Members.end();) {
      if (m_IsStoreDown || m_Time.now() < It->second) {
        ++It;
        continue;
      }
      It = m_Members.erase(It);
      ++m_Generation;
    }
    m_Time.after(Milliseconds(100), [this]() { expireMembers(); });
  }

  void tick(const HostPtr &Which) {
    if (!isRunning(Which))
      return;
    Which->m_Membership.tick();
    if (const auto News = Which->m_Membership.takeMembers())
      for (const auto &[Machine, Other] : m_Running)
        if (m_CutFromPeers.count(Machine) == 0 &&
            m_CutFromPeers.count(machineOf(Which->m_Name)) == 0)
          m_Time.after(upTo(Milliseconds(600)),
                       [this, To = Other, Members = *News]() {
                         if (isRunning(To))
                           To->m_Membership.applyPeerMembers(Members);
                       });
    m_Time.after(m_Machines > 20 ? LargeTickInterval : TickInterval,
                 [this, Which]() { tick(Which); });
  }

  void sendRequest() {
    m_Time.after(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(1 / m_Rate)),
                 [this]() { sendRequest(); });
    const std::string Id = absl::StrCat(m_LastRequest++);
    m_Count.noteRequest(m_Time.now());
    if (m_Running.empty())
      return;
    const auto At =
        std::next(m_Running.begin(),
                  static_cast<std::ptrdiff_t>(m_Random() % m_Running.size()));
    At->second->m_Retries.noteRequest(m_Time.now());
    send(At->second, Id, 1, false);
  }

  /// Sends a request for the Attempt-th time, as PoolDispatcher does.
  void send(const HostPtr &From, const std::string &Id, int Attempt,
            bool IsRetry) {
    if (!isRunning(From))
      return;
    const TimePoint SentAt = m_Time.now();
    if (IsRetry)
      From->m_Retries.noteSent(SentAt);
    if (chance() < m_UnreachablePart) {
      m_Time.after(ConnectTimeout,
                   [this, From, Id, Attempt, IsRetry, SentAt]() {
                     if (IsRetry)
                       From->m_Retries.noteNotSent(SentAt);
                     send(From, Id, Attempt, IsRetry);
                   });
      return;
    }
    // A new connection has to be opened for some.
    const Duration Delay =
        chance() < 0.1 ? upTo(ConnectTimeout) : upTo(Milliseconds(5));
    m_Time.after(Delay, [this, From, Id, Attempt]() {
      m_Count.noteArrival(m_Time.now(), Id);
      if (chance() >= m_FailedPart || Attempt >= MaxAttempts)
        return;
      m_Time.after(WorkTime,
                   [this, From, Id, Attempt]() { retry(From, Id, Attempt); });
    });
  }

  void retry(const HostPtr &From, const std::string &Id, int Attempt) {
    if (!isRunning(From))
      return;
    const RetryShare Share{From->m_Membership.windowShare(m_Allowance.m_Window),
                           From->m_Membership.newHosts(m_Allowance.m_Window)};
    if (!From->m_Retries.reserve(m_Time.now(), Share))
      return;
    const Duration Wait =
        chance() < m_QueuedPart ? upTo(Milliseconds(3000)) : Duration::zero();
    m_Time.after(Wait, [this, From, Id, Attempt]() {
      send(From, Id, Attempt + 1, true);
    });
  }

  SimTime m_Time;
  NoEvents m_Events;
  std::mt19937_64 m_Random;
  double m_Rate;
  const int m_Machines;
  std::map<int, HostPtr> m_Running;
  std::map<int, int> m_Starts;
  std::map<std::string, TimePoint> m_Members;
  uint64_t m_Generation = 1;
  int m_LastRequest = 0;
};

/// Calls Play for groups of 1, 5 and 89 hosts; the large one takes long.
template <typename Function> void forEachSize(Function Play) {
  for (const int Hosts : {1, 5, 89})
    for (uint64_t Seed = 1; Seed <= (Hosts == 89 ? 1 : 3); ++Seed) {
      CAPTURE(Hosts);
      CAPTURE(Seed);
      Play(Hosts, Hosts == 89 ? 396.0 : 60.0 * Hosts, Seed);
    }
}

} // namespace

TEST_SUITE("retry-budget") {
  // Guards against hosts that spend the whole slack each, since they don't know
  // each other yet.
  TEST_CASE("repeats stay within the allowance while all hosts start") {
    forEachSize([](int Hosts, double Rate, uint64_t Seed) {
      BudgetSimulation Sim(Hosts, Rate, Seed);
      Sim.m_FailedPart = 1;
      Sim.startAll(Milliseconds(4000));
      Sim.run(seconds(30));
      CHECK(Sim.worstUse() <= 1);
    });
  }

  TEST_CASE(
      "repeats stay within the allowance while the group can't be reached "
      "after the start") {
    forEachSize([](int Hosts, double Rate, uint64_t Seed) {
      BudgetSimulation Sim(Hosts, Rate, Seed);
      Sim.m_FailedPart = 1;
      Sim.m_IsStoreDown = true;
      Sim.startAll(Milliseconds(1000));
      Sim.run(seconds(14));
      Sim.m_IsStoreDown = false;
      Sim.run(seconds(16));
      CHECK(Sim.worstUse() <= 1);
    });
  }

  // Guards against a limit that only denies more.
  TEST_CASE("hosts that know each other use most of the allowance") {
    forEachSize([](int Hosts, double Rate, uint64_t Seed) {
      BudgetSimulation Sim(Hosts, Rate, Seed);
      Sim.startAll(Milliseconds(300));
      Sim.run(seconds(25));
      Sim.m_FailedPart = 1;
      Sim.run(seconds(25));
      const RepeatCount::Worst Worst = Sim.m_Count.worst(Sim.m_Allowance);
      CHECK(Worst.used() <= 1);
      CHECK(Worst.used() >= 0.7);
    });
  }

  // Guards against retries that are forgotten with the process that sent them.
  TEST_CASE("repeats stay within the allowance when all hosts are killed and "
            "start again") {
    forEachSize([](int Hosts, double Rate, uint64_t Seed) {
      BudgetSimulation Sim(Hosts, Rate, Seed);
      Sim.startAll(Milliseconds(300));
      Sim.run(seconds(20));
      Sim.m_FailedPart = 1;
      for (int Round = 0; Round < 4; ++Round) {
        Sim.run(Milliseconds(3000 + 1500 * Round));
        for (int Machine = 0; Machine < Hosts; ++Machine)
          Sim.kill(Machine);
        Sim.startAll(Milliseconds(1500));
      }
      Sim.run(seconds(20));
      CHECK(Sim.worstUse() <= 1);
    });
  }

  TEST_CASE("repeats stay within the allowance while hosts are replaced in "
            "turn") {
    forEachSize([](int Hosts, double Rate, uint64_t Seed) {
      BudgetSimulation Sim(Hosts, Rate, Seed);
      Sim.startAll(Milliseconds(300));
      Sim.run(seconds(20));
      Sim.m_FailedPart = 1;
      for (int Machine = 0; Machine < Hosts; ++Machine) {
        Sim.kill(Machine);
        Sim.run(Milliseconds(200));
        Sim.start(Machine);
        Sim.run(Milliseconds(200));
      }
      Sim.run(seconds(15));
      CHECK(Sim.worstUse() <= 1);
    });
  }

  // Guards against hosts that spend a share which the others have divided among
  // themselves.
  TEST_CASE("repeats stay within the allowance while hosts lose the store and "
            "each other") {
    forEachSize([](int Hosts, double Rate, uint64_t Seed) {
      BudgetSimulation Sim(Hosts, Rate, Seed);
      Sim.startAll(Milliseconds(300));
      Sim.run(seconds(20));
      Sim.m_FailedPart = 1;
      for (int Round = 0; Round < 3; ++Round) {
        for (int Machine = 0; Machine < Hosts; Machine += 2) {
          Sim.m_CutFromStore.insert(Machine);
          Sim.m_CutFromPeers.insert(Machine);
        }
        Sim.run(seconds(4 + 9 * Round));
        Sim.m_CutFromStore.clear();
        Sim.m_CutFromPeers.clear();
        Sim.run(seconds(4));
        Sim.m_IsStoreDown = true;
        Sim.run(seconds(2 + 5 * Round));
        Sim.kill(0);
        Sim.start(0);
        Sim.m_IsStoreDown = false;
        Sim.run(seconds(6));
      }
      CHECK(Sim.worstUse() <= 1);
    });
  }

  // Guards against retries that are allowed over a longer time than they are
  // sent in.
  TEST_CASE("repeats stay within the allowance when they wait before they are "
            "sent") {
    forEachSize([](int Hosts, double Rate, uint64_t Seed) {
      BudgetSimulation Sim(Hosts, Rate, Seed);
      Sim.m_QueuedPart = 1;
      Sim.startAll(Milliseconds(300));
      Sim.run(seconds(20));
      for (int Round = 0; Round < 6; ++Round) {
        Sim.m_FailedPart = Round % 2 == 0 ? 1 : 0.1;
        Sim.run(Milliseconds(2500));
      }
      Sim.run(seconds(10));
      CHECK(Sim.worstUse() <= 1);
    });
  }

  TEST_CASE("repeats stay within the allowance at the end of a crest") {
    for (const int CrestSeconds : {3, 5, 8, 10, 15})
      for (const int Pause : {0, 1000, 2500, 4000})
        forEachSize([&](int Hosts, double Rate, uint64_t Seed) {
          if (Seed > 1 || (Hosts == 89 && (CrestSeconds != 8 || Pause != 1000)))
            return;
          CAPTURE(CrestSeconds);
          CAPTURE(Pause);
          BudgetSimulation Sim(Hosts, Rate, Seed);
          Sim.startAll(Milliseconds(300));
          Sim.run(seconds(16));
          Sim.setRate(6 * Rate);
          Sim.run(seconds(CrestSeconds));
          Sim.setRate(Rate);
          Sim.run(Milliseconds(Pause));
          Sim.m_FailedPart = 1;
          Sim.run(seconds(16));
          CHECK(Sim.worstUse() <= 1);
        });
  }

  TEST_CASE("repeats stay within the allowance when targets can't be reached "
            "and fail") {
    forEachSize([](int Hosts, double Rate, uint64_t Seed) {
      BudgetSimulation Sim(Hosts, Rate, Seed);
      Sim.startAll(Milliseconds(300));
      Sim.run(seconds(16));
      Sim.m_FailedPart = 0.8;
      Sim.m_UnreachablePart = 0.4;
      Sim.run(seconds(20));
      CHECK(Sim.worstUse() <= 1);
    });
  }
}
