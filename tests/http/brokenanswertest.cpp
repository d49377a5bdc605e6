#include "core/httpmessage.h"
#include "http/brokentarget.h"
#include "http/httplog.h"
#include "http/targetclient.h"
#include "support/brokenfields.h"

#include <doctest.h>

#include <string>

using namespace monsoon;

namespace {

/// Longer than the buffers of both sockets of a loopback connection.
constexpr size_t LongBodyBytes = 24 << 20;
const Milliseconds Limit{2000};

/// What the former program makes of the answers of a target.
AttemptResult sendTo(BrokenTarget &Server, size_t BodyBytes = 0) {
  TargetClient Client;
  CallerRequest Request;
  Request.m_Method = "POST";
  Request.m_Uri = "/work";
  Request.m_Body.assign(BodyBytes, 'b');
  Attempt Order;
  Order.m_Request = &Request;
  Order.m_Target = {"t1", "127.0.0.1", Server.port(), "d1", 2, 100};
  Order.m_CorrelationId = "c";
  Order.m_Deadline = std::chrono::steady_clock::now() + Limit;
  Order.m_ConnectionShare = 10;
  return Client.send(
      Order, []() { return true; }, nullptr);
}

/// The same for a target that sends these bytes and ends its stream.
AttemptResult sendFor(const std::string &Bytes) {
  BrokenTarget Server({Bytes});
  return sendTo(Server);
}

std::string answer(const std::string &Status, const std::string &Rest) {
  return "HTTP/1.1 " + Status + "\r\nX-Correlation-Id: c\r\n" + Rest;
}

const std::string Framings[] = {"Content-Length: 2\r\n\r\nok",
                                "Content-Length: 0\r\n\r\n",
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "2\r\nok\r\n0\r\n\r\n",
                                "\r\nok"};

/// The log's answer to an append, with one more line in its head.
std::string logAnswer(const std::string &Status, const std::string &Line) {
  return "HTTP/1.1 " + Status + "\r\n" + Line +
         "Content-Length: 13\r\n\r\n{\"offset\": 7}";
}

/// What the former program makes of the log's answer to an append.
Outcome<LogOffset> appendFor(const std::string &Bytes, BrokenTarget::End End,
                             size_t DataBytes = 1) {
  BrokenTarget Server({Bytes, End});
  HttpLog Log(Endpoint{"127.0.0.1", Server.port()});
  return Log.append("s", std::string(DataBytes, 'x'));
}

} // namespace

TEST_SUITE("whole-answer") {
  TEST_CASE("reset while writing: the part of an answer is no answer") {
    for (const char *Rest : {"\r\nabc", "Content-Length: 9\r\n\r\nabc",
                             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"})
      for (const int PauseMs : {0, 1, 5, 30})
        for (const size_t Size : {size_t{0}, LongBodyBytes}) {
          CAPTURE(Rest);
          CAPTURE(PauseMs);
          CAPTURE(Size);
          BrokenTarget Server({answer("200 OK", Rest), BrokenTarget::End::Reset,
                               Milliseconds(PauseMs)});
          CHECK(!sendTo(Server, Size).isAnswered());
        }
  }

  TEST_CASE("reset while writing: the part of an answer of the log is no "
            "answer") {
    for (const size_t Size : {size_t{1}, LongBodyBytes})
      CHECK(!appendFor("HTTP/1.1 200 OK\r\n\r\n{\"offset\": 7}",
                       BrokenTarget::End::Reset, Size)
                 .has_value());
  }

  TEST_CASE("an answer of the log without a length is whole when its stream "
            "ended") {
    CHECK(appendFor("HTTP/1.1 200 OK\r\n\r\n{\"offset\": 7}",
                    BrokenTarget::End::Close)
              .has_value());
  }

  TEST_CASE("an answer with an invalid status is no answer") {
    for (const char *Status :
         {"000 Trouble", "001 Trouble", "099 Trouble", "600 Trouble",
          "999 Trouble", "20 OK", "2000 OK", "2x0 OK"}) {
      for (const std::string &Framing : Framings)
        CHECK(!sendFor(answer(Status, Framing)).isAnswered());
      CHECK(!sendFor(answer(Status, "Content-Length: 0\r\n\r\n") +
                     answer("200 OK", "Content-Length: 2\r\n\r\nok"))
                 .isAnswered());
      CHECK(!appendFor(logAnswer(Status, ""), BrokenTarget::End::Close)
                 .has_value());
    }
  }

  TEST_CASE("the former program passes on each valid final status") {
    for (const char *Status : {"200 OK", "299 Fine", "302 Found", "404 Missing",
                               "503 Busy", "599 Trouble"})
      CHECK(
          sendFor(answer(Status, "Content-Length: 2\r\n\r\nok")).isAnswered());
  }

  TEST_CASE("an answer with a blank or control byte in the name of a field is "
            "no answer") {
    for (const std::string &Line : BrokenFieldLines) {
      for (const std::string &Framing : Framings)
        CHECK(!sendFor(answer("200 OK", Line + "\r\n" + Framing)).isAnswered());
      CHECK(!sendFor("HTTP/1.1 200 OK\r\n" + Line +
                     "\r\nContent-Length: 0\r\n\r\n")
                 .isAnswered());
      CHECK(!appendFor(logAnswer("200 OK", Line + "\r\n"),
                       BrokenTarget::End::Close)
                 .has_value());
    }
  }

  TEST_CASE("an answer with a blank before a field is no answer") {
    for (const std::string Line : {" X-Field: 1", "\tX-Field: 1"}) {
      for (const std::string &Framing : Framings)
        CHECK(!sendFor(answer("200 OK", Line + "\r\n" + Framing)).isAnswered());
      CHECK(!sendFor("HTTP/1.1 200 OK\r\n" + Line +
                     "\r\nContent-Length: 0\r\n\r\n")
                 .isAnswered());
    }
  }

  TEST_CASE("a trailer with a blank or control byte in the name of a field is "
            "no answer") {
    for (const std::string &Line : BrokenFieldLines)
      CHECK(!sendFor(answer("200 OK", "Transfer-Encoding: chunked\r\n\r\n"
                                      "2\r\nok\r\n0\r\n" +
                                          Line + "\r\n\r\n"))
                 .isAnswered());
  }

  TEST_CASE("an interim answer with a blank or control byte in the name of a "
            "field is no answer") {
    for (const std::string &Line : BrokenFieldLines)
      for (const char *Status : {"100 Continue", "103 Early Hints"})
        CHECK(!sendFor(std::string("HTTP/1.1 ") + Status + "\r\n" + Line +
                       "\r\n\r\n" +
                       answer("200 OK", "Content-Length: 2\r\n\r\nok"))
                   .isAnswered());
  }

  TEST_CASE("the former program passes over interim answers") {
    for (const char *Status : {"100 Continue", "103 Early Hints"}) {
      const auto Result =
          sendFor(std::string("HTTP/1.1 ") + Status + "\r\nLink: a\r\n\r\n" +
                  answer("200 OK", "Content-Length: 2\r\n\r\nok"));
      REQUIRE(Result.isAnswered());
      CHECK(Result.m_Answer->m_Status == 200);
      CHECK(Result.m_Answer->m_Body == "ok");
    }
  }

  TEST_CASE("interim answers without end are no answer") {
    const std::string Interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string Final = answer("200 OK", "Content-Length: 2\r\n\r\nok");
    std::string Most;
    for (int Count = 0; Count < MaxInterimResponses; ++Count)
      Most += Interim;
    CHECK(sendFor(Most + Final).isAnswered());
    CHECK(!sendFor(Most + Interim + Final).isAnswered());
  }
}
