#include "core/targetbalancer.h"
#include "core/membership.h"

#include <doctest.h>

#include <map>
#include <random>

using namespace monsoon;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
const std::set<std::string> FiveHosts = {"e1", "e2", "e3", "e4", "e5"};

Pool pool(int Targets, int ColdLimit, std::vector<std::string> Out = {}) {
  PoolPolicy Policy;
  Policy.m_ColdLimit = ColdLimit;
  Policy.m_WarmStep = Milliseconds(500);
  Pool::Builder Builder("orders");
  Builder.policy(Policy).domainsOut(std::move(Out));
  for (int Index = 0; Index < Targets; ++Index)
    Builder.addTarget({"t" + std::to_string(Index), "127.0.0.1", 1 + Index,
                       "d" + std::to_string(Index % 3), 4, 100});
  return Builder.build();
}

AttemptResult answeredBy(const std::string &Instance) {
  TargetAnswer Answer;
  Answer.m_Status = 200;
  Answer.m_Instance = Instance;
  return AttemptResult::answered(Answer);
}

/// Reserves until the targets have no capacity left.
std::vector<Reservation> reserveAll(TargetBalancer &Book, TimePoint Now) {
  std::vector<Reservation> Result;
  while (true) {
    auto Reserved = Book.reserve({}, Now);
    if (!std::holds_alternative<Reservation>(Reserved))
      return Result;
    Result.push_back(std::get<Reservation>(Reserved));
  }
}

/// Returns a TargetBalancer whose targets are all warm.
std::unique_ptr<TargetBalancer> warmBook(const Pool &Value) {
  auto Book = std::make_unique<TargetBalancer>(Value);
  for (const Target &Each : Value.targets())
    Book->learnWarmth({Value.name(), Each.m_Name, "i", 0, true, {}}, Start);
  return Book;
}

} // namespace

TEST_SUITE("cold-start") {
  TEST_CASE("the hosts' shares of a limit add up to the limit") {
    for (int Limit = 0; Limit <= 12; ++Limit) {
      for (int Target = 0; Target < 20; ++Target) {
        int Sum = 0;
        for (const std::string &Host : FiveHosts)
          Sum += HostShare(Host, FiveHosts, true)
                     .of(Limit, "t" + std::to_string(Target));
        CHECK(Sum == Limit);
      }
    }
  }

  TEST_CASE("the cold limit applies to the sum over all hosts") {
    const Pool Cold = pool(1, 3);
    int Sum = 0;
    for (const std::string &Host : FiveHosts) {
      TargetBalancer Book(Cold);
      Book.setShare(HostShare(Host, FiveHosts, true));
      Sum += static_cast<int>(reserveAll(Book, Start).size());
    }
    CHECK(Sum == 3);
  }

  TEST_CASE("the limit holds while hosts join, leave and are cut off") {
    // Each host computes its share from the gossip that it hears. The shares of
    // the hosts that still send must never add up to more than the limit.
    for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
      std::mt19937_64 Random(Seed);
      std::map<std::string, Membership> Views;
      std::map<std::pair<std::string, std::string>, TimePoint> CutUntil;
      std::map<std::string, TimePoint> DeadUntil;
      for (const std::string &Host : FiveHosts) {
        std::set<std::string> Peers = FiveHosts;
        Peers.erase(Host);
        Views.emplace(Host, Membership(Host, Peers, Start));
      }
      for (int Tick = 0; Tick < 200; ++Tick) {
        const TimePoint Now = Start + Tick * Milliseconds(250);
        if (Random() % 10 == 0) {
          const std::string A = "e" + std::to_string(1 + Random() % 5);
          const auto Until = Now + Milliseconds(Random() % 8000);
          if (Random() % 2 == 0)
            DeadUntil[A] = Until;
          else
            for (const std::string &B : FiveHosts)
              CutUntil[{A, B}] = CutUntil[{B, A}] = Until;
        }
        for (auto &[From, Own] : Views)
          for (auto &[To, Other] : Views) {
            const bool Works = DeadUntil[From] <= Now && DeadUntil[To] <= Now &&
                               CutUntil[{From, To}] <= Now;
            if (From == To || !Works)
              continue;
            Hello Message;
            Message.m_Name = From;
            Message.m_Id = From + "#1";
            Message.m_Heard = Own.recentlyHeard(Now);
            Other.heard(Message, Now);
          }
        int Sum = 0;
        for (auto &[Host, Own] : Views)
          if (DeadUntil[Host] <= Now)
            Sum += Own.share(Now).of(1, "t0");
        CHECK_MESSAGE(Sum <= 1, "seed ", Seed, " tick ", Tick);
      }
    }
  }

  TEST_CASE("a target warms up in steps while it answers") {
    TargetBalancer Book(pool(1, 1));
    TimePoint Now = Start;
    std::vector<size_t> Limits;
    for (int Step = 0; Step < 6; ++Step) {
      for (int Each = 0; Each < 6; ++Each) {
        const auto Reserved = std::get<Reservation>(Book.reserve({}, Now));
        Now += Milliseconds(100);
        Book.finish(Reserved, answeredBy("i"), Now);
      }
      const auto Reservations = reserveAll(Book, Now);
      Limits.push_back(Reservations.size());
      for (const Reservation &Reserved : Reservations)
        Book.finish(Reserved, answeredBy("i"), Now);
    }
    CHECK(Limits.front() == 2);
    CHECK(Limits.back() == 8);
  }

  TEST_CASE("a restarted target is cold again, whatever it reports") {
    auto Book = warmBook(pool(1, 1));
    CHECK(reserveAll(*Book, Start).size() == 8);
    auto Another = warmBook(pool(1, 1));
    const auto Reserved = std::get<Reservation>(Another->reserve({}, Start));
    SUBCASE("a new process answers") {
      Another->finish(Reserved, answeredBy("j"), Start);
    }
    SUBCASE("it refuses because it is cold") {
      AttemptResult Refused = AttemptResult::failed(ErrorKind::TargetRefused);
      Refused.m_Refusal = "cold";
      Another->finish(Reserved, Refused, Start);
    }
    CHECK(reserveAll(*Another, Start).size() == 1);
  }

  TEST_CASE("a target that was down counts as cold") {
    auto Book = warmBook(pool(1, 1));
    const auto Reserved = std::get<Reservation>(Book->reserve({}, Start));
    Book->finish(Reserved, AttemptResult::failed(ErrorKind::ConnectFailed),
                 Start);
    CHECK(std::get<ErrorKind>(Book->reserve({}, Start)) == ErrorKind::NoTarget);
    CHECK(reserveAll(*Book, Start + Milliseconds(150)).size() == 1);
  }
}

TEST_SUITE("cold-start") {
  TEST_CASE("warm-up state spreads from one host to the others") {
    const Pool Value = pool(1, 1);
    auto First = warmBook(Value);
    auto Second = warmBook(Value);
    const auto Gossip = [](TargetBalancer &From, TargetBalancer &To,
                           TimePoint Now) {
      for (const TargetWarmth &Each : From.warmth(Now))
        To.learnWarmth(Each, Now);
    };
    TimePoint Now = Start + Milliseconds(1000);
    // The first host sees a new incarnation of the target.
    const auto Reserved = std::get<Reservation>(First->reserve({}, Now));
    First->finish(Reserved, answeredBy("j"), Now);
    Gossip(*First, *Second, Now + Milliseconds(100));
    CHECK(reserveAll(*Second, Now + Milliseconds(100)).size() == 1);
    // An update about the former incarnation changes nothing.
    auto Outdated = warmBook(Value);
    Gossip(*Outdated, *First, Now + Milliseconds(200));
    CHECK(reserveAll(*First, Now + Milliseconds(200)).size() == 1);
  }

  TEST_CASE("a cold start that one host notices applies to the others") {
    const Pool Value = pool(1, 1);
    auto First = warmBook(Value);
    auto Second = warmBook(Value);
    AttemptResult Refused = AttemptResult::failed(ErrorKind::TargetRefused);
    Refused.m_Refusal = "cold";
    Refused.m_Instance = "i";
    First->finish(std::get<Reservation>(First->reserve({}, Start)), Refused,
                  Start);
    for (const TargetWarmth &Each : First->warmth(Start))
      Second->learnWarmth(Each, Start);
    CHECK(reserveAll(*Second, Start).size() == 1);
    // In the other direction, an outdated update does not end the cold start.
    auto Third = warmBook(Value);
    for (const TargetWarmth &Each : Third->warmth(Start))
      First->learnWarmth(Each, Start);
    CHECK(reserveAll(*First, Start).size() == 1);
  }
}

TEST_SUITE("domain-out") {
  TEST_CASE("a failure domain that is out gets no new work") {
    auto Book = warmBook(pool(6, 1));
    Book->setPool(pool(6, 1, {"d1"}));
    for (const Reservation &Reserved : reserveAll(*Book, Start))
      CHECK(Reserved.m_Target.m_FailureDomain != "d1");
    CHECK_FALSE(Book->mayStillSend("t1"));
    CHECK(Book->mayStillSend("t0"));
  }
}

TEST_SUITE("leaving-target") {
  TEST_CASE("a leaving target gets no new work") {
    auto Book = warmBook(pool(2, 1));
    Book->setLeaving({"t0"});
    const auto Reservations = reserveAll(*Book, Start);
    CHECK(Reservations.size() == 8);
    for (const Reservation &Reserved : Reservations)
      CHECK(Reserved.m_Target.m_Name == "t1");
    CHECK_FALSE(Book->mayStillSend("t0"));
  }
}

TEST_CASE("a straggling target loses requests at once and gets them back") {
  auto Book = warmBook(pool(2, 1));
  TimePoint Now = Start;
  for (int Each = 0; Each < 20; ++Each) {
    const auto Reserved = std::get<Reservation>(Book->reserve({}, Now));
    Now += Milliseconds(2);
    Book->finish(Reserved, answeredBy("i"), Now);
  }
  const auto Stuck = std::get<Reservation>(Book->reserve({}, Now));
  Now += Milliseconds(30);
  for (int Each = 0; Each < 6; ++Each) {
    const auto Reserved = std::get<Reservation>(Book->reserve({}, Now));
    CHECK(Reserved.m_Target.m_Name != Stuck.m_Target.m_Name);
  }
  Now += Milliseconds(170);
  Book->finish(Stuck, answeredBy("i"), Now);
  Now += Milliseconds(600);
  const auto Next = std::get<Reservation>(Book->reserve({}, Now));
  CHECK(Next.m_Target.m_Name == Stuck.m_Target.m_Name);
}

TEST_CASE("a target that was slightly slower once is not starved") {
  auto Book = warmBook(pool(3, 1));
  TimePoint Now = Start;
  std::map<std::string, int> Counts;
  for (int Each = 0; Each < 300; ++Each) {
    const auto Reserved = std::get<Reservation>(Book->reserve({}, Now));
    const std::string &Name = Reserved.m_Target.m_Name;
    ++Counts[Name];
    // Only the first answer of t1 is slow; all others take the same time.
    const bool Slow = Name == "t1" && Counts[Name] == 1;
    Now += Slow ? Milliseconds(3) : Milliseconds(2);
    Book->finish(Reserved, answeredBy("i"), Now);
  }
  for (const auto &[Name, Count] : Counts)
    CHECK_MESSAGE(Count >= 80, Name);
  CHECK(Counts.size() == 3);
}

TEST_SUITE("fractions") {
  // Guards against a queue length of 1.5 per slot that counts as 1 or 2.
  TEST_CASE("a warm target takes queue_per_slot times its slots as given") {
    for (const auto &[PerSlot, Full] :
         std::map<double, size_t>{{1, 4}, {1.5, 6}, {1.7, 6}, {2, 8}}) {
      PoolPolicy Policy;
      Policy.m_QueuePerSlot = PerSlot;
      const Pool Orders = Pool::Builder("orders")
                              .policy(Policy)
                              .addTarget({"t0", "127.0.0.1", 1, "d0", 4, 100})
                              .build();
      CHECK(reserveAll(*warmBook(Orders), Start).size() == Full);
    }
  }
}
