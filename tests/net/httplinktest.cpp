#include "net/linkbench.h"

#include <doctest.h>

#include <memory>
#include <string>

using namespace monsoon;

// These guard against the bytes of another request, or freed memory, in the
// middle of a body.
TEST_SUITE("whole-answer") {
  TEST_CASE("a link is not used for another request before its request is "
            "written, although the response is complete") {
    for (const size_t Size : {size_t{8} << 20, LongBodyBytes}) {
      CAPTURE(Size);
      LinkBench Bench;
      auto Body = makeBody(Size);
      const auto Link = Bench.sendUnread("1", Body);
      Body.reset();
      Bench.peer().send(answer("1", "rejected"));
      REQUIRE(Bench.result() == LinkResult::Answered);
      CHECK(Bench.m_Answer.m_Body == "rejected");
      CHECK(!Link->isUsable());
      CHECK(Bench.m_Links.acquire() != Link);
      // A request that is sent now must not end up inside the body.
      Bench.m_Links.acquire()->send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
                                    nullptr, "2", true, Milliseconds(0),
                                    [](LinkResult, const HttpResponse &) {});
      RawPeer &First = Bench.m_Server.peer(0);
      First.resume();
      const size_t BodyStart = First.received().find("\r\n\r\n") + 4;
      CHECK(runUntil(Bench.m_Loop, [&]() {
        return First.received().size() >= BodyStart + Size;
      }));
      CHECK(First.received().substr(BodyStart) == std::string(Size, 'b'));
      CHECK(runUntil(Bench.m_Loop, [&]() { return Link->isConnected(); }));
      CHECK(Bench.m_Links.acquire() == Link);
      // The link still reads: a response reaches the next request on it.
      Bench.m_Result.reset();
      Link->send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n", nullptr, "3", true,
                 Milliseconds(0), [&](LinkResult Result, HttpResponse Answer) {
                   Bench.m_Result = Result;
                   Bench.m_Answer = std::move(Answer);
                 });
      CHECK(runUntil(Bench.m_Loop, [&]() {
        return First.received().find("GET /3") != std::string::npos;
      }));
      First.send(answer("3", "third"));
      CHECK(Bench.result() == LinkResult::Answered);
      CHECK(Bench.m_Answer.m_Body == "third");
    }
  }

  TEST_CASE("a link is closed if the peer closes after an early response and "
            "the whole body") {
    LinkBench Bench;
    const auto Link = Bench.sendUnread("1", makeBody(LongBodyBytes));
    Bench.peer().send(answer("1", "rejected"));
    REQUIRE(Bench.result() == LinkResult::Answered);
    Bench.peer().resume();
    REQUIRE(runUntil(Bench.m_Loop, [&]() { return Link->isConnected(); }));
    Bench.peer().close();
    CHECK(runUntil(Bench.m_Loop, [&]() { return Link->isClosed(); }));
  }

  TEST_CASE("a link whose request the peer never reads is closed after the "
            "write timeout") {
    LinkBench Bench;
    const auto Link = Bench.sendUnread("1", makeBody(LongBodyBytes));
    Bench.peer().send(answer("1", "rejected"));
    REQUIRE(Bench.result() == LinkResult::Answered);
    CHECK(!Link->isClosed());
    CHECK(runUntil(Bench.m_Loop, [&]() { return Link->isClosed(); }));
  }

  TEST_CASE("a link is closed if the peer responds early and closes") {
    for (const bool Announced : {true, false}) {
      LinkBench Bench;
      const auto Link = Bench.sendUnread("1", makeBody(LongBodyBytes));
      Bench.peer().send(std::string("HTTP/1.1 503 Busy\r\nX-Id: 1\r\n") +
                        (Announced ? "Connection: close\r\n" : "") +
                        "Content-Length: 0\r\n\r\n");
      REQUIRE(Bench.result() == LinkResult::Answered);
      Bench.peer().close();
      CHECK(runUntil(Bench.m_Loop, [&]() { return Link->isClosed(); }));
    }
  }

  TEST_CASE("the buffers of a write live as long as the write") {
    // By a close, by the timeout, and by a close after an early response.
    for (const int Way : {0, 1, 2}) {
      CAPTURE(Way);
      LinkBench Bench;
      auto Body = makeBody(LongBodyBytes);
      const std::weak_ptr<const std::string> Kept = Body;
      auto Link = Bench.sendUnread("1", Body, Milliseconds(Way == 1 ? 50 : 0));
      Body.reset();
      if (Way == 1)
        CHECK(Bench.result() == LinkResult::Lost);
      if (Way == 2) {
        Bench.peer().send(answer("1", "rejected"));
        CHECK(Bench.result() == LinkResult::Answered);
      }
      Link->close();
      CHECK(!Kept.expired());
      // The handler of the write, which has been cancelled, runs in the loop.
      CHECK(runUntil(Bench.m_Loop, [&]() { return Kept.expired(); }));
    }
  }

  TEST_CASE("a response with a length ends the request and leaves the "
            "connection usable") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send(answer("1", "body"));
    CHECK(Bench.result() == LinkResult::Answered);
    CHECK(Bench.m_Answer.m_Body == "body");
    Bench.send("2");
    Bench.peer().send(answer("2", ""));
    CHECK(Bench.result() == LinkResult::Answered);
    CHECK(Bench.m_Server.connections() == 1);
  }

  TEST_CASE("a chunked response is assembled") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n3\r\nabc\r\n");
    Bench.peer().send("2\r\nde\r\n0\r\n\r\n");
    CHECK(Bench.result() == LinkResult::Answered);
    CHECK(Bench.m_Answer.m_Body == "abcde");
  }

  TEST_CASE("a response without a length is complete when the connection is "
            "closed without a reset") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc");
    Bench.peer().close();
    CHECK(Bench.result() == LinkResult::Answered);
    CHECK(Bench.m_Answer.m_Body == "abc");
  }

  TEST_CASE(
      "a response without a length is lost when the connection is reset") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc");
    CHECK(runUntil(Bench.m_Loop, []() { return true; }));
    for (int Step = 0; Step < 5; ++Step)
      Bench.m_Loop.run_one_for(std::chrono::milliseconds(10));
    Bench.peer().reset();
    CHECK(Bench.result() == LinkResult::Lost);
  }

  TEST_CASE("a response that ends before its length is lost") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send(
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc");
    Bench.peer().close();
    CHECK(Bench.result() == LinkResult::Lost);
  }

  TEST_CASE("bytes that are not an HTTP response are reported as garbled") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send("\x01\x02 nonsense\r\n\r\n");
    CHECK(Bench.result() == LinkResult::Garbled);
  }

  TEST_CASE("bytes without end, in a head or a body, end the request") {
    // Each peer repeats its bytes until the link closes the connection.
    struct Endless {
      const char *m_Start;
      std::string m_Repeated;
    };
    const std::string Filler(8000, 'x');
    const Endless Cases[] = {
        {"", Filler},
        {"HTTP/1.1 200 OK\r\nX-Long: ", Filler},
        {"HTTP/1.1 200 OK\r\n", "X-More: " + Filler + "\r\n"},
        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", Filler},
        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
         "1f40\r\n" + Filler + "\r\n"},
        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
         Filler}};
    for (const Endless &Each : Cases) {
      LinkBench Bench;
      Bench.send("1");
      Bench.peer().send(Each.m_Start);
      size_t Sent = 0;
      const bool Ended = runUntil(Bench.m_Loop, [&]() {
        if (!Bench.m_Result) {
          Bench.peer().send(Each.m_Repeated);
          Sent += Each.m_Repeated.size();
        }
        return Bench.m_Result.has_value();
      });
      CAPTURE(std::string(Each.m_Start));
      CHECK(Ended);
      CHECK(Bench.m_Result == LinkResult::Garbled);
      CHECK(Bench.m_Budget->used() == 0);
    }
  }

  TEST_CASE("an interim response is not the answer") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    Bench.peer().send(answer("1", "body"));
    CHECK(Bench.result() == LinkResult::Answered);
    CHECK(Bench.m_Answer.m_Status == 200);
    CHECK(Bench.m_Answer.m_Body == "body");
  }

  TEST_CASE("a long body gives its share of the common budget back") {
    LinkBench Bench;
    Bench.send("1");
    const std::string Body(900'000, 'b');
    Bench.peer().send(answer("1", Body));
    CHECK(Bench.result() == LinkResult::Answered);
    CHECK(Bench.m_Answer.m_Body == Body);
    CHECK(Bench.m_Budget->used() == 0);
  }

  TEST_CASE("a duplicate response to an earlier request is discarded") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send(answer("1", "first"));
    CHECK(Bench.result() == LinkResult::Answered);
    const auto Link = Bench.send("2");
    Bench.peer().send(answer("1", "again") + answer("2", "second"));
    CHECK(Bench.result() == LinkResult::Answered);
    CHECK(Bench.m_Answer.m_Body == "second");
    // Further bytes on this connection would belong to no request.
    CHECK(Link->isClosed());
  }

  TEST_CASE("bytes that follow a response close the connection") {
    LinkBench Bench;
    const auto Link = Bench.send("1");
    Bench.peer().send(answer("1", "first") + answer("1", "again"));
    CHECK(Bench.result() == LinkResult::Answered);
    CHECK(Bench.m_Answer.m_Body == "first");
    CHECK(Link->isClosed());
  }

  TEST_CASE("bytes on an idle connection close it") {
    LinkBench Bench;
    const auto Link = Bench.send("1");
    Bench.peer().send(answer("1", "first"));
    CHECK(Bench.result() == LinkResult::Answered);
    Bench.peer().send(answer("1", "again"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Link->isClosed(); }));
    Bench.send("2");
    CHECK(Bench.m_Server.connections() == 2);
  }

  TEST_CASE("a refused connection means that the request was not sent") {
    LinkBench Bench;
    Bench.m_Server.close();
    Bench.m_Links.acquire()->send(
        "GET / HTTP/1.1\r\n\r\n", nullptr, "1", true, Milliseconds(0),
        [&](LinkResult Result, const HttpResponse & /*Answer*/) {
          Bench.m_Result = Result;
        });
    CHECK(Bench.result() == LinkResult::Refused);
  }

  TEST_CASE("closing a link closes the connection and calls no callback") {
    LinkBench Bench;
    const auto Link = Bench.send("1");
    Link->close();
    CHECK(runUntil(Bench.m_Loop, [&]() { return Bench.peer().hasEnded(); }));
    CHECK(!Bench.m_Result.has_value());
  }

  TEST_CASE("a request that is sent again gets a connection that it was not "
            "sent on") {
    LinkBench Bench;
    LinkPool::UsedLinks Used;
    const auto First = Bench.send("1");
    Used.push_back(First);
    Bench.peer().send(answer("1", ""));
    CHECK(Bench.result() == LinkResult::Answered);
    const auto Second = Bench.m_Links.acquire(Used);
    CHECK(Second != First);
    CHECK(Bench.m_Links.acquire() == First);
    Used.push_back(Second);
    CHECK(Bench.m_Links.acquire(Used) != Second);
  }

  TEST_CASE("a connection is not used shortly before the peer's idle timeout") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=0\r\n"
                      "Content-Length: 0\r\n\r\n");
    CHECK(Bench.result() == LinkResult::Answered);
    Bench.send("2");
    CHECK(Bench.m_Server.connections() == 2);
  }
}

TEST_SUITE("late-news") {
  // Guards against reads that never end: with a pause timeout alone, a peer
  // that sends a byte now and then would hold the link for good.
  TEST_CASE("a response that keeps arriving ends the request after the longest "
            "time for a response") {
    LinkBench Bench(Milliseconds(200), Milliseconds(600));
    Bench.m_Links.acquire()->send(
        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n", nullptr, "1", true,
        Milliseconds(400),
        [&Bench](LinkResult Result, HttpResponse) { Bench.m_Result = Result; });
    REQUIRE(runUntil(Bench.m_Loop, [&Bench]() {
      return Bench.m_Server.connections() > 0 &&
             !Bench.peer().received().empty();
    }));
    Bench.peer().send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
    const TimePoint Start = Bench.m_Time.now();
    while (!Bench.m_Result && Bench.m_Time.now() - Start < Milliseconds(3000)) {
      Bench.peer().send("x");
      runUntil(
          Bench.m_Loop, [&Bench]() { return Bench.m_Result.has_value(); },
          Milliseconds(50));
    }
    CHECK(Bench.m_Result == LinkResult::Lost);
    CHECK(Bench.m_Time.now() - Start >= Milliseconds(500));
    CHECK(Bench.m_Time.now() - Start <= Milliseconds(1500));
  }

  TEST_CASE(
      "a response whose first byte does not come in time ends the request "
      "after the timeout") {
    LinkBench Bench(Milliseconds(2000), Milliseconds(5000));
    Bench.m_Links.acquire()->send(
        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n", nullptr, "1", true,
        Milliseconds(300),
        [&Bench](LinkResult Result, HttpResponse) { Bench.m_Result = Result; });
    const TimePoint Start = Bench.m_Time.now();
    CHECK(Bench.result() == LinkResult::Lost);
    CHECK(Bench.m_Time.now() - Start <= Milliseconds(1500));
  }
}

TEST_SUITE("fractions") {
  // Guards against a connection that is given up early, since its idle timeout
  // was cut to whole seconds.
  TEST_CASE("a peer's idle timeout with a fraction of a second is kept") {
    LinkBench Bench;
    Bench.send("1");
    Bench.peer().send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: "
                      "timeout=0.9, max=5\r\nContent-Length: 0\r\n\r\n");
    CHECK(Bench.result() == LinkResult::Answered);
    Bench.send("2");
    CHECK(Bench.m_Server.connections() == 1);
  }
}
