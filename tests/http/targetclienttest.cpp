#include "http/targetclient.h"
#include "codec/jsontext.h"
#include "standin/standinhttp.h"
#include "standin/targetstandin.h"

#include <doctest.h>

#include <memory>
#include <thread>

using namespace monsoon;

namespace {

constexpr int Port = 7960;

/// A target stand-in on a real port, and a client that talks to it.
class ClientBench {
public:
  explicit ClientBench(const TargetBehaviour &Behaviour = TargetBehaviour()) {
    m_Target = {"t1", "127.0.0.1", Port, "d1", 2, 100};
    m_StandIn = std::make_unique<TargetStandIn>(m_Target, Behaviour);
    m_Server = startServer(
        Port, 8,
        [this](const httplib::Request &Request, httplib::Response &Response) {
          m_StandIn->handle(Request, Response);
        });
  }

  void control(const std::string &Body) {
    httplib::Client Client("127.0.0.1", Port);
    REQUIRE(Client.Post("/control", Body, "application/json"));
  }

  /// Executions of a request id, by the stand-in's count.
  int executions(const std::string &Id) {
    httplib::Client Client("127.0.0.1", Port);
    const auto Answer = Client.Get("/stats?ids=1");
    REQUIRE(Answer);
    const auto Stats =
        parseJson(Answer->body, "stats", ErrorKind::AnswerMismatch);
    return Stats.value()["executions"][Id].asInt();
  }

  AttemptResult send(const std::string &Id, Milliseconds Limit,
                     const std::string &Uri = "/work",
                     AnswerSink *Sink = nullptr) {
    CallerRequest Request;
    Request.m_Method = "GET";
    Request.m_Uri = Uri;
    Request.m_RequestId = Id;
    Attempt Order;
    Order.m_Request = &Request;
    Order.m_Target = m_Target;
    Order.m_CorrelationId = "c-" + Id;
    Order.m_Deadline = std::chrono::steady_clock::now() + Limit;
    Order.m_ConnectionShare = 10;
    return m_Client.send(
        Order, [this] { return m_MaySend; }, Sink);
  }

  void stopServer() { m_Server.reset(); }

  bool m_MaySend = true;

private:
  Target m_Target;
  std::unique_ptr<TargetStandIn> m_StandIn;
  std::unique_ptr<HttpServer> m_Server;
  TargetClient m_Client;
};

class Collector : public AnswerSink {
public:
  bool head(const TargetAnswer &Head) override {
    m_Status = Head.m_Status;
    return true;
  }
  bool body(std::string_view Piece) override {
    m_Size += Piece.size();
    return true;
  }
  int m_Status = 0;
  size_t m_Size = 0;
};

const Milliseconds Long{5000};

} // namespace

TEST_SUITE("whole-answer") {
  TEST_CASE("an answer is whole and belongs to its request") {
    ClientBench Bench;
    const auto Result = Bench.send("a", Long);
    REQUIRE(Result.isAnswered());
    CHECK(Result.m_Answer->m_Body.find("\"request_id\":\"a\"") !=
          std::string::npos);
    CHECK_FALSE(Result.m_Instance.empty());
  }

  TEST_CASE("a crossed answer is recognized, and the next one is right") {
    ClientBench Bench;
    Bench.control(R"({"answer": "crossed"})");
    CHECK(Bench.send("a", Long).m_Error == ErrorKind::AnswerMismatch);
    Bench.control(R"({"answer": "whole"})");
    const auto Result = Bench.send("b", Long);
    REQUIRE(Result.isAnswered());
    CHECK(Result.m_Answer->m_Body.find("\"request_id\":\"b\"") !=
          std::string::npos);
  }

  TEST_CASE("a late answer does not reach a later request") {
    ClientBench Bench;
    Bench.control(R"({"delay_ms": 400})");
    CHECK(Bench.send("a", Milliseconds(100)).m_Error ==
          ErrorKind::DeadlineExceeded);
    Bench.control(R"({"delay_ms": 0})");
    for (int Each = 0; Each < 20; ++Each) {
      const std::string Id = "b" + std::to_string(Each);
      const auto Result = Bench.send(Id, Long);
      REQUIRE(Result.isAnswered());
      CHECK(Result.m_Answer->m_Body.find("\"" + Id + "\"") !=
            std::string::npos);
    }
  }

  TEST_CASE("a body that is cut short is a failure") {
    ClientBench Bench;
    Bench.control(R"({"answer": "cut"})");
    CHECK(Bench.send("a", Long, "/work?size=100000").m_Error ==
          ErrorKind::AnswerCutShort);
    Collector Sink;
    CHECK(Bench.send("b", Long, "/work?size=1000000", &Sink).m_Error ==
          ErrorKind::AnswerCutShort);
    CHECK(Sink.m_Size < 1000000);
  }

  TEST_CASE("a long answer is streamed whole") {
    ClientBench Bench;
    Collector Sink;
    CHECK(Bench.send("a", Long, "/work?size=20000000", &Sink).isAnswered());
    CHECK(Sink.m_Status == 200);
    CHECK(Sink.m_Size == 20000000);
  }
}

TEST_SUITE("not-run") {
  TEST_CASE("a refused connection proves that nothing ran") {
    ClientBench Bench;
    Bench.stopServer();
    const auto Result = Bench.send("a", Long);
    CHECK(Result.m_Error == ErrorKind::ConnectFailed);
    CHECK(Result.ran() == RunState::No);
  }

  TEST_CASE("a shed request did not run") {
    ClientBench Bench;
    Bench.control(R"({"shed": true})");
    const auto Result = Bench.send("a", Long);
    CHECK(Result.m_Error == ErrorKind::TargetRefused);
    CHECK(Result.m_Refusal == "shed");
    CHECK(Bench.executions("a") == 0);
  }

  TEST_CASE("a connection that breaks after the send proves nothing") {
    ClientBench Bench;
    Bench.control(R"({"answer": "none"})");
    const auto Result = Bench.send("a", Long);
    CHECK(Result.m_Error == ErrorKind::AnswerLost);
    CHECK(Result.ran() == RunState::Unknown);
    CHECK(Bench.executions("a") == 1);
  }

  TEST_CASE("nothing is sent once the right to send is gone") {
    ClientBench Bench;
    Bench.m_MaySend = false;
    CHECK(Bench.send("a", Long).m_Error == ErrorKind::ViewStale);
    CHECK(Bench.executions("a") == 0);
  }
}

TEST_SUITE("at-most-once") {
  TEST_CASE("a target does not start late work") {
    ClientBench Bench;
    CHECK(Bench.send("first", Long).isAnswered());
    Bench.control(R"({"freeze_ms": 300})");
    CHECK(Bench.send("a", Milliseconds(100)).m_Error ==
          ErrorKind::DeadlineExceeded);
    std::this_thread::sleep_for(Milliseconds(500));
    CHECK(Bench.executions("a") == 0);
  }
}
