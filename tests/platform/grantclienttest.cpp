#include "platform/grantclient.h"

#include "codec/jsontext.h"
#include "net/acceptor.h"
#include "program/boottimeclock.h"

#include <doctest.h>

using namespace monsoon;

namespace {

/// A server that records requests and gives the configured answer.
class RecordingServer : public RequestHandler {
public:
  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override {
    m_Requests.push_back(std::move(Request));
    if (m_Answer.m_Status != 0)
      Done(m_Answer);
    return nullptr;
  }
  HttpResponse refuse(ErrorKind /*Kind*/, const std::string &Detail) override {
    HttpResponse Answer;
    Answer.m_Status = 400;
    Answer.m_Body = Detail;
    return Answer;
  }
  RequestLimits limits() const override { return {}; }

  std::vector<HttpRequest> m_Requests;
  /// With status 0 no answer is sent.
  HttpResponse m_Answer;
};

struct GrantFixture {
  GrantFixture()
      : m_Acceptor(m_Loop, m_Time, m_Server), m_Client(m_Loop, m_Time) {
    REQUIRE(m_Acceptor.listen({"127.0.0.1", 0}).has_value());
    m_Target.m_Id = "i-1";
    m_Target.m_Address = m_Acceptor.address();
    m_Grant.m_Keys = {4096, 8191};
    m_Grant.m_Fence = 12;
    m_Grant.m_Hold = Milliseconds(4000);
  }

  /// Sends a grant that the server answers with Status; waits for its result.
  GrantCallResult grant(int Status) {
    m_Server.m_Answer.m_Status = Status;
    std::optional<GrantCallResult> Result;
    m_Client.grant(m_Target, m_Grant,
                   [&](GrantCallResult Value) { Result = Value; });
    const auto WaitEnd =
        std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Result && std::chrono::steady_clock::now() < WaitEnd)
      m_Loop.run_one_for(std::chrono::milliseconds(50));
    REQUIRE(Result.has_value());
    return *Result;
  }

  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  RecordingServer m_Server;
  Acceptor m_Acceptor;
  GrantClient m_Client;
  TargetInfo m_Target;
  KeyGrant m_Grant;
};

} // namespace

TEST_SUITE("one-owner") {
  TEST_CASE("a grant carries the id of its target") {
    // Otherwise a new server at the same address would accept the grant.
    GrantFixture Fixture;
    CHECK(Fixture.grant(200) == GrantCallResult::Accepted);
    REQUIRE(Fixture.m_Server.m_Requests.size() == 1);
    const HttpRequest &Sent = Fixture.m_Server.m_Requests.front();
    REQUIRE(Sent.m_Fields.find("X-Monsoonstand-Expect-Instance"));
    CHECK(*Sent.m_Fields.find("X-Monsoonstand-Expect-Instance") == "i-1");
    const auto Body = parseJson(Sent.m_Body, "grant", ErrorKind::BadRequest);
    REQUIRE(Body.has_value());
    CHECK(Body.value()["from"].asUInt() == 4096);
    CHECK(Body.value()["target"].asUInt() == 8191);
    CHECK(Body.value()["fence"].asUInt() == 12);
    CHECK(Body.value()["hold_ms"].asUInt() == 4000);
    CHECK(!Body.value().isMember("handover"));
  }

  TEST_CASE("results of a grant by the status of the answer") {
    GrantFixture Fixture;
    CHECK(Fixture.grant(409) == GrantCallResult::Fenced);
    CHECK(Fixture.grant(421) == GrantCallResult::Misdirected);
    CHECK(Fixture.grant(400) == GrantCallResult::Rejected);
    CHECK(Fixture.grant(503) == GrantCallResult::Unanswered);
    CHECK(Fixture.grant(0) == GrantCallResult::Unanswered);
  }

  TEST_CASE("the answer to a grant tells of its target") {
    GrantFixture Fixture;
    std::vector<std::string> Seen;
    Fixture.m_Client.onAnswer([&](const TargetInfo &From,
                                  const HttpResponse &Answer,
                                  TimePoint /*SentAt*/) {
      Seen.push_back(From.m_Id + " " + std::to_string(Answer.m_Status));
    });
    Fixture.grant(200);
    Fixture.grant(409);
    CHECK(Seen == std::vector<std::string>{"i-1 200", "i-1 409"});
  }

  TEST_CASE("a grant to an address without a listener is unreachable") {
    GrantFixture Fixture;
    Fixture.m_Acceptor.close();
    CHECK(Fixture.grant(200) == GrantCallResult::Unreachable);
  }
}
