#include "support/requestpathfixture.h"

#include <doctest.h>

using namespace monsoon;

namespace {

auto always(FakeTargetAction Move) {
  return [Move](const Attempt &) { return Move; };
}

/// The first attempt fails with Move; later ones are answered.
auto firstThenAnswer(FakeTargetAction Move) {
  return [Move, Attempts = 0](const Attempt &) mutable {
    return Attempts++ == 0 ? Move : FakeTargetAction::Answer;
  };
}

RunState ranOf(const Answer &Result) {
  return Result.m_Error ? errorRule(*Result.m_Error).m_Ran : RunState::Yes;
}

} // namespace

TEST_SUITE("at-most-once") {
  TEST_CASE("a non-idempotent request that may have run is not retried") {
    for (const FakeTargetAction Move :
         {FakeTargetAction::LoseBeforeRun, FakeTargetAction::LoseAfterRun,
          FakeTargetAction::MismatchAnswer, FakeTargetAction::TimeOutAfterRun,
          FakeTargetAction::TimeOutBeforeRun, FakeTargetAction::CutShort}) {
      RequestPathFixture Bench;
      Bench.m_Targets.m_Script = firstThenAnswer(Move);
      const Answer Result = Bench.call("POST", "/orders", "a");
      CHECK(Result.m_Error.has_value());
      CHECK(Bench.m_Targets.m_AttemptedTargets.size() == 1);
      CHECK(ranOf(Result) != RunState::No);
    }
  }

  TEST_CASE("a request that provably did not run goes to another target") {
    for (const FakeTargetAction Move :
         {FakeTargetAction::Refuse, FakeTargetAction::FailToConnect}) {
      RequestPathFixture Bench;
      Bench.m_Targets.m_Script = firstThenAnswer(Move);
      const Answer Result = Bench.call("POST", "/orders", "a");
      CHECK(Result.m_Status == 200);
      REQUIRE(Bench.m_Targets.m_AttemptedTargets.size() == 2);
      CHECK(Bench.m_Targets.m_AttemptedTargets[0] !=
            Bench.m_Targets.m_AttemptedTargets[1]);
      CHECK(Bench.m_Targets.executions("a") == 1);
    }
  }

  TEST_CASE("an idempotent request is retried at another target") {
    RequestPathFixture Bench;
    Bench.m_Targets.m_Script = firstThenAnswer(FakeTargetAction::LoseAfterRun);
    CHECK(Bench.call("GET", "/orders/7", "a").m_Status == 200);
    REQUIRE(Bench.m_Targets.m_AttemptedTargets.size() == 2);
    CHECK(Bench.m_Targets.m_AttemptedTargets[0] !=
          Bench.m_Targets.m_AttemptedTargets[1]);
  }

  TEST_CASE("the retry budget limits the load from retries") {
    RequestPathFixture Bench;
    Bench.m_Targets.m_Script = always(FakeTargetAction::Refuse);
    for (int Request = 0; Request < 500; ++Request)
      Bench.call("GET", "/orders/7", std::to_string(Request));
    CHECK(Bench.m_Targets.m_AttemptedTargets.size() <=
          500 + 50 + RetryBudget::MaxSaved);
  }
}

TEST_SUITE("not-run") {
  TEST_CASE("a request that no target accepted is reported as not run") {
    for (const FakeTargetAction Move :
         {FakeTargetAction::Refuse, FakeTargetAction::FailToConnect}) {
      RequestPathFixture Bench;
      Bench.m_Targets.m_Script = always(Move);
      const Answer Result = Bench.call("POST", "/orders", "a");
      CHECK(ranOf(Result) == RunState::No);
      CHECK(Bench.m_Targets.executions("a") == 0);
    }
  }

  TEST_CASE("a host with a stale view rejects requests as not run") {
    RequestPathFixture Bench;
    Bench.applyView("ledger1", false, Milliseconds(50));
    CHECK(Bench.call("POST", "/ledger/7", "a").m_Status == 200);
    Bench.m_Time.advance(Milliseconds(60));
    const Answer Result = Bench.call("POST", "/ledger/7", "b");
    CHECK(Result.m_Error == ErrorKind::ViewStale);
    CHECK(ranOf(Result) == RunState::No);
    CHECK(Bench.m_Targets.m_AttemptedTargets.size() == 1);
  }

  TEST_CASE("the right to route is checked right before the send") {
    RequestPathFixture Bench;
    Bench.applyView("ledger1", false, Milliseconds(1));
    // The right expires between the choice of the target and the send, as it
    // can when the process is paused.
    Bench.m_Targets.m_Latency = Milliseconds(0);
    int Sends = 0;
    struct Pausing : TargetService {
      RequestPathFixture &m_Bench;
      int &m_Sends;
      Pausing(RequestPathFixture &Bench, int &Sends)
          : m_Bench(Bench), m_Sends(Sends) {}
      AttemptResult send(const Attempt &Order,
                         const std::function<bool()> &MaySend,
                         AnswerSink *Sink) override {
        ++m_Sends;
        m_Bench.m_Time.advance(Milliseconds(5));
        return m_Bench.m_Targets.send(Order, MaySend, Sink);
      }
      void cancel(const Target &, const std::string &) override {}
    } Slow(Bench, Sends);
    RequestPath Path("e1", Bench.m_Routes, Bench.m_Admission, Slow,
                     Bench.m_Time, Bench.m_Reports);
    CallerRequest Request;
    Request.m_Method = "POST";
    Request.m_Uri = Request.m_Path = "/ledger/7";
    Request.m_ReceivedAt = Bench.m_Time.now();
    const Answer Result = Path.handle(Request, nullptr);
    CHECK(Sends == 1);
    CHECK(Result.m_Error == ErrorKind::ViewStale);
    CHECK(Bench.m_Targets.m_AttemptedTargets.empty());
  }

  TEST_CASE("errors before a target is chosen") {
    RequestPathFixture Bench;
    CHECK(Bench.call("GET", "/nowhere", "a").m_Error ==
          ErrorKind::RouteUnknown);
    CHECK(Bench.call("DELETE", "/orders", "a").m_Error ==
          ErrorKind::RouteUnknown);
    Bench.m_Path.refuseAll();
    CHECK(Bench.call("POST", "/orders", "a").m_Error == ErrorKind::Stopping);
    CHECK(Bench.m_Targets.m_AttemptedTargets.empty());
  }

  TEST_CASE("requests fail while no configuration is loaded") {
    RequestPathFixture Bench;
    Router Empty;
    RequestPath Path("e1", Empty, Bench.m_Admission, Bench.m_Targets,
                     Bench.m_Time, Bench.m_Reports);
    CHECK(Path.handle(CallerRequest(), nullptr).m_Error ==
          ErrorKind::NoConfiguration);
  }
}

TEST_SUITE("whole-answer") {
  TEST_CASE("a streamed answer that has started is not retried") {
    struct Collector : AnswerSink {
      int m_Heads = 0;
      std::string m_Text;
      bool head(const TargetAnswer &) override { return ++m_Heads > 0; }
      bool body(std::string_view Piece) override {
        m_Text.append(Piece);
        return true;
      }
    } Sink;
    RequestPathFixture Bench;
    Bench.m_Targets.m_Script = firstThenAnswer(FakeTargetAction::CutShort);
    const Answer Result = Bench.call("GET", "/orders/7", "a", &Sink);
    CHECK(Result.m_Error == ErrorKind::AnswerCutShort);
    CHECK(Sink.m_Heads == 1);
    CHECK(Bench.m_Targets.m_AttemptedTargets.size() == 1);
  }

  TEST_CASE("an answer to another request is never passed on") {
    RequestPathFixture Bench;
    Bench.m_Targets.m_Script = always(FakeTargetAction::MismatchAnswer);
    const Answer Result = Bench.call("GET", "/orders/7", "a");
    CHECK(Result.m_Error == ErrorKind::AnswerMismatch);
    CHECK(Result.m_Body.empty());
  }

  TEST_CASE("a request that timed out is cancelled at the target") {
    RequestPathFixture Bench;
    Bench.m_Targets.m_Script = always(FakeTargetAction::TimeOutAfterRun);
    Bench.call("POST", "/orders", "a");
    CHECK(Bench.m_Targets.m_Cancelled.size() == 1);
  }
}

TEST_SUITE("domain-out") {
  TEST_CASE("a disabled failure domain gets no requests") {
    RequestPathFixture Bench;
    Bench.publish({"d1"});
    for (int Request = 0; Request < 50; ++Request)
      CHECK(Bench.call("POST", "/orders", std::to_string(Request)).m_Status ==
            200);
    for (const std::string &Name : Bench.m_Targets.m_AttemptedTargets)
      CHECK((Name == "orders0" || Name == "orders2"));
  }
}

TEST_CASE("a request waits during the handover of its range") {
  RequestPathFixture Bench;
  Bench.applyView("ledger1", true, Milliseconds(1000));
  struct Granting : FakeClock {};
  // The handover completes during the tenth sleep of the request path.
  class HandoverClock : public WaitingClock {
  public:
    explicit HandoverClock(RequestPathFixture &Bench) : m_Bench(Bench) {}
    TimePoint now() const override { return m_Bench.m_Time.now(); }
    void sleepFor(Duration Length) override {
      m_Bench.m_Time.advance(Length);
      if (++m_Sleeps == 10)
        m_Bench.applyView("ledger2", false, Milliseconds(1000));
    }

  private:
    RequestPathFixture &m_Bench;
    int m_Sleeps = 0;
  } Time(Bench);
  RequestPath Path("e1", Bench.m_Routes, Bench.m_Admission, Bench.m_Targets,
                   Time, Bench.m_Reports);
  CallerRequest Request;
  Request.m_Method = "POST";
  Request.m_Uri = Request.m_Path = "/ledger/7";
  Request.m_ReceivedAt = Time.now();
  CHECK(Path.handle(Request, nullptr).m_Status == 200);
  CHECK(Bench.m_Targets.m_AttemptedTargets ==
        std::vector<std::string>{"ledger2"});
}

TEST_SUITE("fractions") {
  // Guards against the former program, which took no notice of a caller's limit
  // with a fraction.
  TEST_CASE("a caller's limit with a fraction of a millisecond is kept") {
    for (const auto &[Text, Limit] :
         std::vector<std::pair<std::string, Duration>>{
             {"150.5", std::chrono::microseconds(150'500)},
             {"-1", Milliseconds(1000)},
             {"soon", Milliseconds(1000)}}) {
      RequestPathFixture Bench;
      const TimePoint Arrival = Bench.m_Time.now();
      Duration Given{};
      Bench.m_Targets.m_Script = [&](const Attempt &Order) {
        Given = Order.m_Deadline - Arrival;
        return FakeTargetAction::Answer;
      };
      CallerRequest Request;
      Request.m_Method = "POST";
      Request.m_Uri = Request.m_Path = "/orders";
      Request.m_RequestId = "a";
      Request.m_Headers = {{"X-Deadline-Ms", Text}};
      Request.m_ReceivedAt = Arrival;
      CHECK(Bench.m_Path.handle(Request, nullptr).m_Status == 200);
      CHECK(Given == Limit);
    }
  }
}
