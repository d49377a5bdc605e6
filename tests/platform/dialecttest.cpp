#include "platform/platformdialect.h"

#include <doctest.h>

using namespace monsoon;

TEST_CASE("id, deadline and key of a request are read from its header fields") {
  HttpRequest Request;
  Request.m_Fields.add("X-Monsoonstand-Request-Id", "9c41");
  Request.m_Fields.add("x-monsoonstand-request-deadline", "1500");
  Request.m_Fields.add("X-Monsoonstand-Shard-Key", "65535");
  const RequestMetadata Facts = PlatformDialect().readRequest(Request);
  CHECK(Facts.m_Id == "9c41");
  CHECK(Facts.m_TimeLeft == Milliseconds(1500));
  CHECK(Facts.m_Key == 65'535U);
}

TEST_CASE("an invalid key or deadline is ignored") {
  HttpRequest Request;
  Request.m_Fields.add("X-Monsoonstand-Request-Deadline", "soon");
  Request.m_Fields.add("X-Monsoonstand-Shard-Key", "65536");
  const RequestMetadata Facts = PlatformDialect().readRequest(Request);
  CHECK(!Facts.m_TimeLeft.has_value());
  CHECK(!Facts.m_Key.has_value());
}

TEST_CASE(
    "a forwarded request carries the remaining time and the target's id") {
  HttpFields Fields;
  Fields.add("X-Monsoonstand-Request-Deadline", "1500");
  Fields.add("X-Monsoonstand-Expect-Instance", "forged");
  Fields.add("Accept", "*/*");
  TargetInfo Target;
  Target.m_Id = "i-7";
  PlatformDialect().prepareForTarget(Fields, Target, Milliseconds(700));
  CHECK(Fields.count("X-Monsoonstand-Request-Deadline") == 1);
  CHECK(*Fields.find("X-Monsoonstand-Request-Deadline") == "700");
  CHECK(Fields.count("X-Monsoonstand-Expect-Instance") == 1);
  CHECK(*Fields.find("X-Monsoonstand-Expect-Instance") == "i-7");
  CHECK(Fields.count("Accept") == 1);
}

TEST_CASE("execution state and load are read from an answer") {
  HttpResponse Answer;
  Answer.m_Status = 503;
  Answer.m_Fields.add("X-Monsoonstand-Not-Executed", "1");
  Answer.m_Fields.add("X-Monsoonstand-Server-Load", "3,2,4,250");
  const AnswerMetadata Facts = PlatformDialect().readAnswer(Answer);
  CHECK(Facts.m_NotExecuted);
  CHECK(!Facts.m_IsMisdirected);
  REQUIRE(Facts.m_Load.has_value());
  CHECK(*Facts.m_Load == LoadReport{3, 2, 4, 2.5});

  Answer = {};
  Answer.m_Status = 421;
  CHECK(PlatformDialect().readAnswer(Answer).m_IsMisdirected);
  CHECK(PlatformDialect().readAnswer(Answer).m_NotExecuted);
  Answer.m_Status = 500;
  CHECK(!PlatformDialect().readAnswer(Answer).m_NotExecuted);
}

TEST_CASE("a server that leaves says so with 1, in any of several fields") {
  HttpResponse Answer;
  Answer.m_Status = 200;
  CHECK(!PlatformDialect().readAnswer(Answer).m_IsLeaving);
  for (const char *Other : {"0", "", "true", "11"}) {
    Answer.m_Fields.add("Server-Leaving", Other);
    CHECK(!PlatformDialect().readAnswer(Answer).m_IsLeaving);
  }
  Answer.m_Fields.add("server-leaving", "1");
  CHECK(PlatformDialect().readAnswer(Answer).m_IsLeaving);
}

TEST_CASE("the lowest limit that a server names counts") {
  const auto Read = [](const std::vector<std::string> &Values) {
    HttpResponse Answer;
    Answer.m_Status = 200;
    for (const std::string &Each : Values)
      Answer.m_Fields.add("Server-Limit", Each);
    return PlatformDialect().readAnswer(Answer).m_RequestLimit;
  };
  CHECK(!Read({}).m_PerSecond);
  CHECK(!Read({}).m_IsUnreadable);
  CHECK(Read({"2"}).m_PerSecond == 2);
  CHECK(Read({"0.5"}).m_PerSecond == 0.5);
  CHECK(Read({"0"}).m_PerSecond == 0);
  CHECK(Read({"4", "3"}).m_PerSecond == 3);
  CHECK(Read({"4", "many"}).m_PerSecond == 4);
  CHECK(!Read({"4", "many"}).m_IsUnreadable);
  CHECK(!Read({"1e9"}).m_PerSecond);
  CHECK(!Read({"1e9"}).m_IsUnreadable);
  for (const char *Invalid : {"-1", "nan", "", "many", "1 2"}) {
    CHECK(!Read({Invalid}).m_PerSecond);
    CHECK(Read({Invalid}).m_IsUnreadable);
  }
}

TEST_CASE("the key of a customer is read from Authorization: Bearer") {
  const auto Read = [](const std::vector<std::string> &Values) {
    HttpFields Fields;
    for (const std::string &Each : Values)
      Fields.add("authorization", Each);
    return PlatformDialect().readCredential(Fields);
  };
  CHECK(Read({}).m_State == CredentialState::Missing);
  for (const char *Value : {"Bearer k1", "bearer   k1", "  BEARER\tk1  "}) {
    CHECK(Read({Value}).m_State == CredentialState::Present);
    CHECK(Read({Value}).m_Key == "k1");
  }
  for (const char *Value : {"", "Bearer", "Bearer ", "Basic k1", "k1",
                            "Bearer k1 k2", "Bearer k1,k2", "Bearerk1"}) {
    CHECK(Read({Value}).m_State == CredentialState::Malformed);
    CHECK(Read({Value}).m_Key.empty());
  }
  CHECK(Read({"Bearer k1", "Bearer k1"}).m_State == CredentialState::Malformed);
}

TEST_CASE(
    "a target is told the customer, whatever the caller claims, and never "
    "the key") {
  HttpFields Fields;
  Fields.add("X-Monsoonstand-Tenant", "forged");
  Fields.add("x-monsoonstand-tenant", "forged too");
  Fields.add("Authorization", "Bearer k1");
  HttpFields Anonymous = Fields;
  PlatformDialect().setCustomer(Fields, "north");
  CHECK(Fields.count("X-Monsoonstand-Tenant") == 1);
  CHECK(*Fields.find("X-Monsoonstand-Tenant") == "north");
  CHECK(Fields.count("Authorization") == 0);
  PlatformDialect().setCustomer(Anonymous, "");
  CHECK(Anonymous.all().empty());
}

// Guards against figures that overflow an integer.
TEST_CASE("a load report with an absurd figure is ignored") {
  for (const char *Value : {"1e300,0,4", "0,99999999999,4", "0,0,-4", "nan,0,4",
                            "0,0,inf", "1,2,4,1e99", "-1,0,4", "0,0"}) {
    HttpResponse Answer;
    Answer.m_Fields.add("X-Monsoonstand-Server-Load", Value);
    CAPTURE(std::string(Value));
    CHECK(!PlatformDialect().readAnswer(Answer).m_Load.has_value());
  }
  HttpResponse Answer;
  Answer.m_Fields.add("X-Monsoonstand-Server-Load", "1000000,0,4,100");
  CHECK(PlatformDialect().readAnswer(Answer).m_Load.has_value());
}

TEST_SUITE("fractions") {
  // Guards against times that were cut to whole milliseconds.
  TEST_CASE("a deadline and a warm-up time are used as given") {
    HttpRequest Request;
    Request.m_Fields.add("X-Monsoonstand-Request-Deadline", "1500.75");
    CHECK(PlatformDialect().readRequest(Request).m_TimeLeft ==
          std::chrono::microseconds(1'500'750));
    HttpResponse Answer;
    Answer.m_Fields.add("X-Monsoonstand-Warmup-Remaining", "0.5");
    CHECK(PlatformDialect().readAnswer(Answer).m_WarmupLeft ==
          std::chrono::microseconds(500));
    for (const char *Invalid : {"-0.5", "nan", "inf", "1e10", "", "1,5"}) {
      CAPTURE(std::string(Invalid));
      Request.m_Fields = {};
      Request.m_Fields.add("X-Monsoonstand-Request-Deadline", Invalid);
      CHECK(!PlatformDialect().readRequest(Request).m_TimeLeft);
    }
  }

  // Guards against counts of requests that were cut to whole ones.
  TEST_CASE("a load report with a fraction of a request is ignored") {
    const auto Read = [](const char *Value) {
      HttpResponse Answer;
      Answer.m_Fields.add("X-Monsoonstand-Server-Load", Value);
      return PlatformDialect().readAnswer(Answer).m_Load;
    };
    CHECK(!Read("3.5,0,4"));
    CHECK(!Read("3,0,4.5,100"));
    CHECK(Read("3.0,0,4,112.5") == LoadReport{3, 0, 4, 1.125});
  }
}
