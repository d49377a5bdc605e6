#include "platform/grantclient.h"

#include "codec/jsontext.h"
#include "net/acceptor.h"
#include "program/boottimeclock.h"

#include <doctest.h>

using namespace monsoon;

namespace {

/// A server that notes what it is asked and answers as told.
class NotingServer : public RequestHandler {
public:
  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override {
    m_Seen.push_back(std::move(Request));
    if (m_Answer.m_Status != 0)
      Done(m_Answer);
    return nullptr;
  }
  HttpAnswer refuse(ErrorKind /*Kind*/, const std::string &Detail) override {
    HttpAnswer Answer;
    Answer.m_Status = 400;
    Answer.m_Body = Detail;
    return Answer;
  }
  RequestLimits limits() const override { return {}; }

  std::vector<HttpRequest> m_Seen;
  /// Status 0: no answer is given.
  HttpAnswer m_Answer;
};

struct GrantBench {
  GrantBench()
      : m_Acceptor(m_Loop, m_Time, m_Server), m_Client(m_Loop, m_Time) {
    REQUIRE(m_Acceptor.listen({"127.0.0.1", 0}).has_value());
    m_Target.m_Id = "i-1";
    m_Target.m_Address = m_Acceptor.address();
    m_Order.m_Keys = {4096, 8191};
    m_Order.m_Fence = 12;
    m_Order.m_Hold = Milliseconds(4000);
  }

  OrderResult grant(int Status) {
    m_Server.m_Answer.m_Status = Status;
    std::optional<OrderResult> Result;
    m_Client.grant(m_Target, m_Order,
                   [&](OrderResult Value) { Result = Value; });
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Result && std::chrono::steady_clock::now() < End)
      m_Loop.run_one_for(std::chrono::milliseconds(50));
    REQUIRE(Result.has_value());
    return *Result;
  }

  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  NotingServer m_Server;
  Acceptor m_Acceptor;
  GrantClient m_Client;
  TargetInfo m_Target;
  GrantOrder m_Order;
};

} // namespace

TEST_SUITE("one-owner") {
  TEST_CASE("a grant names the target that it is for") {
    // Without it, the next server at the address would take the keys.
    GrantBench Bench;
    CHECK(Bench.grant(200) == OrderResult::Accepted);
    REQUIRE(Bench.m_Server.m_Seen.size() == 1);
    const HttpRequest &Seen = Bench.m_Server.m_Seen.front();
    REQUIRE(Seen.m_Fields.find("X-Monsoonstand-Expect-Instance"));
    CHECK(*Seen.m_Fields.find("X-Monsoonstand-Expect-Instance") == "i-1");
    const auto Body = parseJson(Seen.m_Body, "grant", ErrorKind::BadRequest);
    REQUIRE(Body.has_value());
    CHECK(Body.value()["from"].asUInt() == 4096);
    CHECK(Body.value()["target"].asUInt() == 8191);
    CHECK(Body.value()["fence"].asUInt() == 12);
    CHECK(Body.value()["hold_ms"].asUInt() == 4000);
    CHECK(!Body.value().isMember("handover"));
  }

  TEST_CASE("what a server's answer to a grant proves") {
    GrantBench Bench;
    CHECK(Bench.grant(409) == OrderResult::Fenced);
    CHECK(Bench.grant(421) == OrderResult::OtherTarget);
    CHECK(Bench.grant(400) == OrderResult::Rejected);
    CHECK(Bench.grant(503) == OrderResult::Unanswered);
    CHECK(Bench.grant(0) == OrderResult::Unanswered);
  }

  TEST_CASE("an address where nobody listens can't have taken a grant") {
    GrantBench Bench;
    Bench.m_Acceptor.close();
    CHECK(Bench.grant(200) == OrderResult::Unreachable);
  }
}
