#include "support/requestbench.h"

#include <doctest.h>

using namespace monsoon;

namespace {

auto always(TargetMove Move) {
  return [Move](const Attempt &) { return Move; };
}

/// The first try ends like this, later ones are answered.
auto firstThenAnswer(TargetMove Move) {
  return [Move, Tries = 0](const Attempt &) mutable {
    return Tries++ == 0 ? Move : TargetMove::Answer;
  };
}

RunState ranOf(const Answer &Result) {
  return Result.m_Error ? errorRule(*Result.m_Error).m_Ran : RunState::Yes;
}

} // namespace

TEST_SUITE("at-most-once") {
  TEST_CASE("an order is not sent again once it may have run") {
    for (const TargetMove Move :
         {TargetMove::LoseBeforeRun, TargetMove::LoseAfterRun,
          TargetMove::Cross, TargetMove::TimeOutAfterRun,
          TargetMove::TimeOutBeforeRun, TargetMove::CutShort}) {
      RequestBench Bench;
      Bench.m_Targets.m_Script = firstThenAnswer(Move);
      const Answer Result = Bench.call("POST", "/orders", "a");
      CHECK(Result.m_Error.has_value());
      CHECK(Bench.m_Targets.m_Tried.size() == 1);
      CHECK(ranOf(Result) != RunState::No);
    }
  }

  TEST_CASE("an order goes to another target if it provably did not run") {
    for (const TargetMove Move :
         {TargetMove::Refuse, TargetMove::FailToConnect}) {
      RequestBench Bench;
      Bench.m_Targets.m_Script = firstThenAnswer(Move);
      const Answer Result = Bench.call("POST", "/orders", "a");
      CHECK(Result.m_Status == 200);
      REQUIRE(Bench.m_Targets.m_Tried.size() == 2);
      CHECK(Bench.m_Targets.m_Tried[0] != Bench.m_Targets.m_Tried[1]);
      CHECK(Bench.m_Targets.executions("a") == 1);
    }
  }

  TEST_CASE("a lookup is repeated, but not at the target that failed") {
    RequestBench Bench;
    Bench.m_Targets.m_Script = firstThenAnswer(TargetMove::LoseAfterRun);
    CHECK(Bench.call("GET", "/orders/7", "a").m_Status == 200);
    REQUIRE(Bench.m_Targets.m_Tried.size() == 2);
    CHECK(Bench.m_Targets.m_Tried[0] != Bench.m_Targets.m_Tried[1]);
  }

  TEST_CASE("retries can't multiply the load") {
    RequestBench Bench;
    Bench.m_Targets.m_Script = always(TargetMove::Refuse);
    for (int Request = 0; Request < 500; ++Request)
      Bench.call("GET", "/orders/7", std::to_string(Request));
    CHECK(Bench.m_Targets.m_Tried.size() <= 500 + 50 + RetryBudget::MaxSaved);
  }
}

TEST_SUITE("not-run") {
  TEST_CASE("a request that no target took is reported as not run") {
    for (const TargetMove Move :
         {TargetMove::Refuse, TargetMove::FailToConnect}) {
      RequestBench Bench;
      Bench.m_Targets.m_Script = always(Move);
      const Answer Result = Bench.call("POST", "/orders", "a");
      CHECK(ranOf(Result) == RunState::No);
      CHECK(Bench.m_Targets.executions("a") == 0);
    }
  }

  TEST_CASE("a host that lost touch says so instead of guessing") {
    RequestBench Bench;
    Bench.grantView("ledger1", false, Milliseconds(50));
    CHECK(Bench.call("POST", "/ledger/7", "a").m_Status == 200);
    Bench.m_Time.advance(Milliseconds(60));
    const Answer Result = Bench.call("POST", "/ledger/7", "b");
    CHECK(Result.m_Error == ErrorKind::ViewStale);
    CHECK(ranOf(Result) == RunState::No);
    CHECK(Bench.m_Targets.m_Tried.size() == 1);
  }

  TEST_CASE("the right to route is tested right before the send") {
    RequestBench Bench;
    Bench.grantView("ledger1", false, Milliseconds(1));
    // The clock moves past the right between the choice and the send, as it
    // does while a process is paused.
    Bench.m_Targets.m_Latency = Milliseconds(0);
    int Asked = 0;
    struct Pausing : TargetService {
      RequestBench &m_Bench;
      int &m_Asked;
      Pausing(RequestBench &Bench, int &Asked)
          : m_Bench(Bench), m_Asked(Asked) {}
      AttemptResult send(const Attempt &Order,
                         const std::function<bool()> &MaySend,
                         AnswerSink *Sink) override {
        ++m_Asked;
        m_Bench.m_Time.advance(Milliseconds(5));
        return m_Bench.m_Targets.send(Order, MaySend, Sink);
      }
      void cancel(const Target &, const std::string &) override {}
    } Slow(Bench, Asked);
    RequestPath Path("e1", Bench.m_Routes, Bench.m_Gate, Slow, Bench.m_Time,
                     Bench.m_Reports);
    CallerRequest Request;
    Request.m_Method = "POST";
    Request.m_Uri = Request.m_Path = "/ledger/7";
    Request.m_ReceivedAt = Bench.m_Time.now();
    const Answer Result = Path.handle(Request, nullptr);
    CHECK(Asked == 1);
    CHECK(Result.m_Error == ErrorKind::ViewStale);
    CHECK(Bench.m_Targets.m_Tried.empty());
  }

  TEST_CASE("errors found before a target is chosen") {
    RequestBench Bench;
    CHECK(Bench.call("GET", "/nowhere", "a").m_Error ==
          ErrorKind::RouteUnknown);
    CHECK(Bench.call("DELETE", "/orders", "a").m_Error ==
          ErrorKind::RouteUnknown);
    Bench.m_Path.refuseAll();
    CHECK(Bench.call("POST", "/orders", "a").m_Error == ErrorKind::Stopping);
    CHECK(Bench.m_Targets.m_Tried.empty());
  }

  TEST_CASE("no configuration yet") {
    RequestBench Bench;
    Router Empty;
    RequestPath Path("e1", Empty, Bench.m_Gate, Bench.m_Targets, Bench.m_Time,
                     Bench.m_Reports);
    CHECK(Path.handle(CallerRequest(), nullptr).m_Error ==
          ErrorKind::NoConfiguration);
  }
}

TEST_SUITE("whole-answer") {
  TEST_CASE("a stream that has begun is not started again elsewhere") {
    struct Collector : AnswerSink {
      int m_Heads = 0;
      std::string m_Text;
      bool head(const TargetAnswer &) override { return ++m_Heads > 0; }
      bool body(std::string_view Piece) override {
        m_Text.append(Piece);
        return true;
      }
    } Sink;
    RequestBench Bench;
    Bench.m_Targets.m_Script = firstThenAnswer(TargetMove::CutShort);
    const Answer Result = Bench.call("GET", "/orders/7", "a", &Sink);
    CHECK(Result.m_Error == ErrorKind::AnswerCutShort);
    CHECK(Sink.m_Heads == 1);
    CHECK(Bench.m_Targets.m_Tried.size() == 1);
  }

  TEST_CASE("a crossed answer is never passed on") {
    RequestBench Bench;
    Bench.m_Targets.m_Script = always(TargetMove::Cross);
    const Answer Result = Bench.call("GET", "/orders/7", "a");
    CHECK(Result.m_Error == ErrorKind::AnswerMismatch);
    CHECK(Result.m_Body.empty());
  }

  TEST_CASE("work that the caller has given up is cancelled") {
    RequestBench Bench;
    Bench.m_Targets.m_Script = always(TargetMove::TimeOutAfterRun);
    Bench.call("POST", "/orders", "a");
    CHECK(Bench.m_Targets.m_Cancelled.size() == 1);
  }
}

TEST_SUITE("domain-out") {
  TEST_CASE("a failure domain that is taken out gets no more requests") {
    RequestBench Bench;
    Bench.publish({"d1"});
    for (int Request = 0; Request < 50; ++Request)
      CHECK(Bench.call("POST", "/orders", std::to_string(Request)).m_Status ==
            200);
    for (const std::string &Name : Bench.m_Targets.m_Tried)
      CHECK((Name == "orders0" || Name == "orders2"));
  }
}

TEST_CASE("a request waits while its range changes hands") {
  RequestBench Bench;
  Bench.grantView("ledger1", true, Milliseconds(1000));
  struct Granting : FakeClock {};
  // The handover ends after a while: the clock's sleeper grants the view.
  class AnsweringClock : public WaitingClock {
  public:
    explicit AnsweringClock(RequestBench &Bench) : m_Bench(Bench) {}
    TimePoint now() const override { return m_Bench.m_Time.now(); }
    void sleepFor(Duration Length) override {
      m_Bench.m_Time.advance(Length);
      if (++m_Sleeps == 10)
        m_Bench.grantView("ledger2", false, Milliseconds(1000));
    }

  private:
    RequestBench &m_Bench;
    int m_Sleeps = 0;
  } Time(Bench);
  RequestPath Path("e1", Bench.m_Routes, Bench.m_Gate, Bench.m_Targets, Time,
                   Bench.m_Reports);
  CallerRequest Request;
  Request.m_Method = "POST";
  Request.m_Uri = Request.m_Path = "/ledger/7";
  Request.m_ReceivedAt = Time.now();
  CHECK(Path.handle(Request, nullptr).m_Status == 200);
  CHECK(Bench.m_Targets.m_Tried == std::vector<std::string>{"ledger2"});
}
