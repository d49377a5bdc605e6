#include "platform/grantclient.h"

#include "codec/jsontext.h"
#include "net/acceptor.h"
#include "net/rawpeer.h"
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

/// A server whose responses the test writes byte by byte.
struct RawServerFixture {
  RawServerFixture() : m_Listener(m_Loop), m_Client(m_Loop, m_Time) {
    m_Target.m_Id = "i-1";
    m_Target.m_Address = m_Listener.address();
  }

  void grant(uint64_t Fence) {
    m_Granted.reset();
    KeyGrant Grant;
    Grant.m_Keys = {0, 99};
    Grant.m_Fence = Fence;
    Grant.m_Hold = Milliseconds(4000);
    m_Client.grant(m_Target, Grant,
                   [this](GrantCallResult Value) { m_Granted = Value; });
  }
  void release() {
    m_Client.release(m_Target, {0, 99}, 1,
                     [this](GrantCallResult Value, const std::string &Token) {
                       m_Released = Value;
                       m_Handover = Token;
                     });
  }

  RawPeer &peer() { return m_Listener.peer(m_Listener.connections() - 1); }

  /// Waits for one more call and returns the id that it carries.
  std::string nextCallId() {
    const std::string Name = "X-Monsoonstand-Request-Id: ";
    std::string Id;
    REQUIRE(runUntil(m_Loop, [&]() {
      if (m_Listener.connections() == 0)
        return false;
      const std::string &Bytes = peer().received();
      const size_t Start = Bytes.rfind(Name);
      if (Start == std::string::npos)
        return false;
      Id = Bytes.substr(Start + Name.size(),
                        Bytes.find('\r', Start) - Start - Name.size());
      return Id != m_LastId;
    }));
    m_LastId = Id;
    return Id;
  }

  /// Responds on a connection; on the last one by default.
  void respond(const std::string &Status, const std::string &Id,
               const std::string &Handover,
               std::optional<size_t> Connection = {}) {
    const bool IsInterim = Status.front() == '1';
    RawPeer &To = Connection ? m_Listener.peer(*Connection) : peer();
    To.send("HTTP/1.1 " + Status + "\r\n" +
            (Id.empty() ? "" : "X-Monsoonstand-Request-Id: " + Id + "\r\n") +
            (Handover.empty()
                 ? ""
                 : "X-Monsoonstand-Handover: " + Handover + "\r\n") +
            "Keep-Alive: timeout=10\r\n" +
            (IsInterim ? "" : "Content-Length: 0\r\n") + "\r\n");
  }

  GrantCallResult waitForGrant() {
    REQUIRE(runUntil(m_Loop, [this]() { return m_Granted.has_value(); }));
    return *m_Granted;
  }
  GrantCallResult waitForRelease() {
    REQUIRE(runUntil(m_Loop, [this]() { return m_Released.has_value(); }));
    return *m_Released;
  }
  void runFor(Milliseconds Length) {
    const auto End = std::chrono::steady_clock::now() + Length;
    while (std::chrono::steady_clock::now() < End)
      m_Loop.run_one_for(std::chrono::milliseconds(5));
  }

  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  RawListener m_Listener;
  GrantClient m_Client;
  TargetInfo m_Target;
  std::string m_LastId;
  std::optional<GrantCallResult> m_Granted;
  std::optional<GrantCallResult> m_Released;
  std::string m_Handover;
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

  // Guards against keys that are granted to another server while the first one
  // still works on them.
  TEST_CASE("a duplicate of the response to a grant is not the response to a "
            "release") {
    for (const bool HasIds : {true, false})
      for (const char *Status : {"200 OK", "409 Conflict"}) {
        CAPTURE(HasIds);
        CAPTURE(std::string(Status));
        RawServerFixture Fixture;
        Fixture.grant(1);
        const std::string GrantId = Fixture.nextCallId();
        Fixture.respond("200 OK", HasIds ? GrantId : "", "");
        REQUIRE(Fixture.waitForGrant() == GrantCallResult::Accepted);
        Fixture.release();
        const std::string ReleaseId = Fixture.nextCallId();
        CHECK(ReleaseId != GrantId);
        CHECK(Fixture.m_Listener.connections() == 2);
        Fixture.respond(Status, HasIds ? GrantId : "", "", 0);
        Fixture.runFor(Milliseconds(50));
        CHECK(!Fixture.m_Released.has_value());
        Fixture.respond("200 OK", HasIds ? ReleaseId : "", "token");
        CHECK(Fixture.waitForRelease() == GrantCallResult::Accepted);
        CHECK(Fixture.m_Handover == "token");
      }
  }

  TEST_CASE("a response with the id of another call is discarded") {
    RawServerFixture Fixture;
    Fixture.release();
    const std::string ReleaseId = Fixture.nextCallId();
    Fixture.respond("103 Early Hints", "other", "");
    Fixture.respond("200 OK", "other", "");
    Fixture.runFor(Milliseconds(50));
    CHECK(!Fixture.m_Released.has_value());
    Fixture.respond("200 OK", ReleaseId, "token");
    CHECK(Fixture.waitForRelease() == GrantCallResult::Accepted);
  }

  TEST_CASE("only renewals share a connection") {
    RawServerFixture Fixture;
    Fixture.grant(1);
    Fixture.nextCallId();
    Fixture.respond("200 OK", "", "");
    REQUIRE(Fixture.waitForGrant() == GrantCallResult::Accepted);
    Fixture.grant(1);
    Fixture.nextCallId();
    CHECK(Fixture.m_Listener.connections() == 1);
    Fixture.respond("200 OK", "", "");
    REQUIRE(Fixture.waitForGrant() == GrantCallResult::Accepted);
    // A late copy of that response could not be told from one to this grant.
    Fixture.grant(2);
    Fixture.nextCallId();
    CHECK(Fixture.m_Listener.connections() == 2);
    Fixture.respond("409 Conflict", "", "");
    CHECK(Fixture.waitForGrant() == GrantCallResult::Fenced);
    Fixture.grant(2);
    Fixture.nextCallId();
    CHECK(Fixture.m_Listener.connections() == 3);
  }

  TEST_CASE("the connection of a release is not used again") {
    RawServerFixture Fixture;
    Fixture.grant(1);
    Fixture.nextCallId();
    Fixture.respond("200 OK", "", "");
    REQUIRE(Fixture.waitForGrant() == GrantCallResult::Accepted);
    Fixture.release();
    Fixture.nextCallId();
    Fixture.respond("200 OK", "", "token");
    REQUIRE(Fixture.waitForRelease() == GrantCallResult::Accepted);
    CHECK(
        runUntil(Fixture.m_Loop, [&]() { return Fixture.peer().hasEnded(); }));
  }

  TEST_CASE("a duplicate that arrives between two calls closes the "
            "connection") {
    RawServerFixture Fixture;
    Fixture.grant(1);
    const std::string GrantId = Fixture.nextCallId();
    Fixture.respond("200 OK", GrantId, "");
    REQUIRE(Fixture.waitForGrant() == GrantCallResult::Accepted);
    Fixture.respond("200 OK", GrantId, "");
    Fixture.runFor(Milliseconds(50));
    Fixture.grant(1);
    Fixture.nextCallId();
    CHECK(Fixture.m_Listener.connections() == 2);
  }
}

TEST_SUITE("fractions") {
  // Guards against an owner that holds its keys longer than the host counts
  // with.
  TEST_CASE("the hold time of a grant is sent in whole milliseconds, rounded "
            "down") {
    GrantFixture Fixture;
    Fixture.m_Grant.m_Hold = std::chrono::microseconds(9'999'900);
    CHECK(Fixture.grant(200) == GrantCallResult::Accepted);
    const auto Body = parseJson(Fixture.m_Server.m_Requests.at(0).m_Body,
                                "grant", ErrorKind::RecordUnreadable);
    REQUIRE(Body);
    CHECK(Body.value()["hold_ms"] == Json::Int64(9999));
  }
}
