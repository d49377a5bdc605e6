#include "net/linkbench.h"
#include "support/brokenfields.h"

#include <doctest.h>

#include <string>

using namespace monsoon;

namespace {

/// Pauses of a peer between its response and the end of the connection.
constexpr Milliseconds Pauses[] = {Milliseconds(0), Milliseconds(1),
                                   Milliseconds(5), Milliseconds(30)};
/// The handlers of the write and of the read may run in either order.
constexpr int Rounds = 5;

/// Runs the loop for a time.
void runFor(LinkBench &Bench, Milliseconds Length) {
  runUntil(
      Bench.m_Loop, []() { return false; }, Length);
}

/// Sends a request that the peer does not read to its end, over a new
/// connection or over one that has carried a request before.
std::shared_ptr<HttpLink> sendLong(LinkBench &Bench, bool IsReused) {
  if (IsReused) {
    Bench.send("0");
    Bench.peer().send(answer("0", "earlier"));
    REQUIRE(Bench.result() == LinkResult::Answered);
    Bench.peer().pause();
  }
  return Bench.sendUnread("1", makeBody(LongBodyBytes));
}

/// A response in which the rest of a message follows the status line.
std::string response(const std::string &Status, const std::string &Rest) {
  return "HTTP/1.1 " + Status + "\r\nX-Id: 1\r\n" + Rest;
}

/// Sends a response in pieces of a size; the link receives each by itself.
void sendInPieces(LinkBench &Bench, const std::string &Text, size_t Size) {
  for (size_t Start = 0; Start < Text.size(); Start += Size) {
    Bench.peer().send(Text.substr(Start, Size));
    Bench.m_Loop.poll();
    Bench.m_Loop.restart();
  }
}

/// The result of a request that is answered with some bytes, whole and in
/// pieces, on a new connection and on a reused one.
void checkResult(const std::string &Bytes, LinkResult Expected) {
  for (const bool IsReused : {false, true})
    for (const size_t PieceSize : {Bytes.size(), size_t{7}, size_t{1}}) {
      CAPTURE(Bytes);
      CAPTURE(IsReused);
      CAPTURE(PieceSize);
      LinkBench Bench;
      if (IsReused) {
        Bench.send("0");
        Bench.peer().send(answer("0", "earlier"));
        REQUIRE(Bench.result() == LinkResult::Answered);
      }
      Bench.send("1");
      sendInPieces(Bench, Bytes, PieceSize);
      Bench.peer().endStream();
      CHECK(Bench.result() == Expected);
    }
}

/// The ways in which a body can follow the fields of a response.
const std::string Framings[] = {"Content-Length: 2\r\n\r\nok",
                                "Content-Length: 0\r\n\r\n",
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "2\r\nok\r\n0\r\n\r\n",
                                "\r\nok"};

} // namespace

TEST_SUITE("whole-answer") {
  TEST_CASE("reset while writing: the part of a response without a length is "
            "lost") {
    for (const bool IsReused : {false, true})
      for (const bool IsAfterInterim : {false, true})
        for (const Milliseconds Pause : Pauses)
          for (int Round = 0; Round < Rounds; ++Round) {
            CAPTURE(IsReused);
            CAPTURE(IsAfterInterim);
            CAPTURE(Pause.count());
            LinkBench Bench;
            const auto Link = sendLong(Bench, IsReused);
            if (IsAfterInterim)
              Bench.peer().send("HTTP/1.1 103 Early Hints\r\n\r\n");
            Bench.peer().send(response("200 OK", "\r\nabc"));
            runFor(Bench, Pause);
            Bench.peer().reset();
            CHECK(Bench.result() == LinkResult::Lost);
            CHECK(Link->isClosed());
          }
  }

  TEST_CASE("reset while writing: the part of a response with a length or in "
            "chunks is lost") {
    for (const char *Rest : {"Content-Length: 9\r\n\r\nabc",
                             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                             "Transfer-Encoding: chunked\r\n\r\n0\r\nX-End: 1"})
      for (const Milliseconds Pause : Pauses) {
        CAPTURE(Rest);
        CAPTURE(Pause.count());
        LinkBench Bench;
        sendLong(Bench, false);
        Bench.peer().send(response("200 OK", Rest));
        runFor(Bench, Pause);
        Bench.peer().reset();
        CHECK(Bench.result() == LinkResult::Lost);
      }
  }

  TEST_CASE("timeout while writing: the part of a response without a length is "
            "lost") {
    LinkBench Bench;
    sendLong(Bench, false);
    Bench.peer().send(response("200 OK", "\r\nabc"));
    // The connection fails once sent bytes are not acknowledged in time.
    CHECK(Bench.result() == LinkResult::Lost);
  }

  TEST_CASE("reset while writing: a response without a length whose stream "
            "ended before is whole") {
    for (const bool IsReused : {false, true})
      for (const Milliseconds BeforeEnd : Pauses)
        for (const Milliseconds BeforeReset : Pauses) {
          CAPTURE(IsReused);
          CAPTURE(BeforeEnd.count());
          CAPTURE(BeforeReset.count());
          LinkBench Bench;
          const auto Link = sendLong(Bench, IsReused);
          Bench.peer().send(response("200 OK", "\r\nabc"));
          runFor(Bench, BeforeEnd);
          Bench.peer().endStream();
          runFor(Bench, BeforeReset);
          Bench.peer().reset();
          CHECK(Bench.result() == LinkResult::Answered);
          CHECK(Bench.m_Answer.m_Body == "abc");
          CHECK(Link->isClosed());
        }
  }

  TEST_CASE("reset while writing: a complete response with a length or in "
            "chunks is whole") {
    for (const char *Rest :
         {"Content-Length: 3\r\n\r\nabc",
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"})
      for (const Milliseconds Pause : Pauses) {
        CAPTURE(Rest);
        CAPTURE(Pause.count());
        LinkBench Bench;
        const auto Link = sendLong(Bench, false);
        Bench.peer().send(response("200 OK", Rest));
        runFor(Bench, Pause);
        Bench.peer().reset();
        CHECK(Bench.result() == LinkResult::Answered);
        CHECK(Bench.m_Answer.m_Body == "abc");
        CHECK(runUntil(Bench.m_Loop, [&]() { return Link->isClosed(); }));
      }
  }

  TEST_CASE("reset while writing: a complete response does not leave the link "
            "free") {
    LinkBench Bench;
    const auto Link = sendLong(Bench, false);
    // Until the write waits for the peer.
    runFor(Bench, Milliseconds(50));
    Bench.peer().send(answer("1", "abc"));
    Bench.peer().reset();
    CHECK(runUntil(Bench.m_Loop, [&]() {
      CHECK(!Link->isConnected());
      return Bench.m_Result.has_value();
    }));
    CHECK(Bench.m_Result == LinkResult::Answered);
    CHECK(Link->isClosed());
  }

  TEST_CASE("an invalid status is no response") {
    for (const char *Status : {"000 Trouble", "001 Trouble", "099 Trouble",
                               "600 Trouble", "999 Trouble"})
      for (const std::string &Framing : Framings)
        checkResult(response(Status, Framing), LinkResult::Garbled);
  }

  TEST_CASE(
      "the bytes after a response with an invalid status are no response") {
    checkResult(response("000 Trouble", "Content-Length: 0\r\n\r\n") +
                    answer("1", "next"),
                LinkResult::Garbled);
  }

  TEST_CASE("an invalid status ends the request when the header is complete") {
    for (const char *Rest : {"\r\n", "Content-Length: 2\r\n\r\n",
                             "Transfer-Encoding: chunked\r\n\r\n2"}) {
      CAPTURE(Rest);
      LinkBench Bench;
      Bench.send("1");
      Bench.peer().send(response("000 Trouble", Rest));
      CHECK(Bench.result() == LinkResult::Garbled);
    }
  }

  TEST_CASE("each valid final status is passed on") {
    for (const char *Status : {"200 OK", "299 Fine", "302 Found", "404 Missing",
                               "503 Busy", "599 Trouble"})
      for (const std::string &Framing : Framings)
        checkResult(response(Status, Framing), LinkResult::Answered);
  }

  TEST_CASE("a status line that does not have three digits is no response") {
    for (const char *Status : {"20 OK", "2000 OK", "2x0 OK", "-20 OK", " 200"})
      checkResult(response(Status, "Content-Length: 2\r\n\r\nok"),
                  LinkResult::Garbled);
  }

  TEST_CASE("a blank or control byte in the name of a field is no response") {
    for (const std::string &Line : BrokenFieldLines) {
      for (const std::string &Framing : Framings)
        checkResult(response("200 OK", Line + "\r\n" + Framing),
                    LinkResult::Garbled);
      // In the first line, in a trailer and in an interim response.
      checkResult("HTTP/1.1 200 OK\r\n" + Line +
                      "\r\nContent-Length: 0\r\n\r\n",
                  LinkResult::Garbled);
      checkResult(response("200 OK", "Transfer-Encoding: chunked\r\n\r\n"
                                     "2\r\nok\r\n0\r\n" +
                                         Line + "\r\n\r\n"),
                  LinkResult::Garbled);
      checkResult("HTTP/1.1 103 Early Hints\r\n" + Line + "\r\n\r\n" +
                      answer("1", "ok"),
                  LinkResult::Garbled);
    }
  }

  TEST_CASE("a blank before the first field is no response") {
    for (const char *Line : {" X-Field: 1", "\tX-Field: 1"})
      checkResult(std::string("HTTP/1.1 200 OK\r\n") + Line +
                      "\r\nContent-Length: 0\r\n\r\n",
                  LinkResult::Garbled);
  }

  TEST_CASE("trailers and interim responses in order are no part of a body") {
    checkResult(response("200 OK", "Transfer-Encoding: chunked\r\n\r\n"
                                   "2\r\nok\r\n0\r\nX-End: 1\r\n\r\n"),
                LinkResult::Answered);
    checkResult("HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
                    response("200 OK", "\r\nok"),
                LinkResult::Answered);
  }
}
