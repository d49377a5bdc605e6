#include "net/sessionbench.h"

#include "absl/strings/match.h"

#include <boost/asio/post.hpp>

#include <doctest.h>

#include <map>
#include <thread>

using namespace monsoon;

TEST_SUITE("whole-answer") {
  TEST_CASE("pipelined requests are handled concurrently and answered in "
            "order") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1") + get("/2") + get("/3"));
    REQUIRE(Bench.awaitRequests(3));
    Bench.m_Handler.answer(2, "three");
    Bench.m_Handler.answer(1, "two");
    Bench.runBriefly();
    CHECK(Peer->received().empty());
    Bench.m_Handler.answer(0, "one");
    REQUIRE(Bench.awaitText(*Peer, "three"));
    const std::string &Text = Peer->received();
    CHECK(Text.find("one") < Text.find("two"));
    CHECK(Text.find("two") < Text.find("three"));
  }

  TEST_CASE("a request that must not overlap delays the next one") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" +
               get("/2"));
    REQUIRE(Bench.awaitRequests(1));
    Bench.runBriefly();
    CHECK(Bench.m_Handler.m_Pending.size() == 1);
    CHECK(Bench.m_Handler.m_Pending[0]->m_Request.m_Body == "ab");
    Bench.m_Handler.answer(0, "done");
    CHECK(Bench.awaitRequests(2));
  }

  TEST_CASE("a chunked body reaches the handler complete") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
               "\r\n2\r\nab\r\n");
    Bench.runBriefly();
    Peer->send("1\r\nc\r\n0\r\n\r\n");
    REQUIRE(Bench.awaitRequests(1));
    CHECK(Bench.m_Handler.m_Pending[0]->m_Request.m_Body == "abc");
  }

  TEST_CASE("a caller's disconnect cancels its requests") {
    SessionBench Bench;
    auto Peer = Bench.connect();
    Peer->send(get("/1") + get("/2"));
    REQUIRE(Bench.awaitRequests(2));
    Peer->close();
    CHECK(runUntil(Bench.m_Loop, [&]() {
      return Bench.m_Handler.m_Pending[0]->m_IsCancelled &&
             Bench.m_Handler.m_Pending[1]->m_IsCancelled;
    }));
    CHECK(Bench.m_Acceptor.sessions().size() == 0);
  }

  TEST_CASE("a request can be refused by its header before its body is read") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("POST / HTTP/1.1\r\nHost: a\r\nUnwanted: 1\r\n"
               "Content-Length: 5\r\n\r\n");
    CHECK(Bench.awaitText(*Peer, "HTTP/1.1 401"));
    CHECK(Bench.awaitText(*Peer, "Connection: close"));
    Peer->send("body\nGET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(Bench.m_Handler.m_Pending.empty());
  }

  TEST_CASE("a request that its header does not refuse is handled with its "
            "body") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n");
    Bench.runBriefly();
    Peer->send("body");
    REQUIRE(Bench.awaitRequests(1));
    CHECK(Bench.m_Handler.m_Pending[0]->m_Request.m_Body == "body");
  }

  // Guards against work for callers who are gone.
  TEST_CASE("a disconnect can be asked for before it is read") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(Bench.awaitRequests(1));
    const auto &Reply = Bench.m_Handler.m_Pending[0]->m_Reply;
    CHECK(!Reply.hasCallerDisconnected());
    Peer->close();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK(Reply.hasCallerDisconnected());
  }

  TEST_CASE("all connections that are waiting are accepted in one turn") {
    SessionBench Bench;
    std::vector<std::unique_ptr<RawPeer>> Peers;
    for (int Count = 0; Count < 30; ++Count)
      Peers.push_back(Bench.connect());
    for (int Turn = 0; Turn < 3; ++Turn)
      Bench.m_Loop.poll_one();
    CHECK(Bench.m_Acceptor.sessions().size() == 30);
  }

  TEST_CASE("ambiguous and malformed requests are refused") {
    SessionBench Bench;
    const std::string BadRequestLine = "HTTP/1.1 400 Bad Request";
    CHECK(Bench.statusOf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          BadRequestLine);
    CHECK(Bench.statusOf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                         "Content-Length: 4\r\n\r\nabcd") == BadRequestLine);
    CHECK(Bench.statusOf("POST /1 HTTP/1.1\r\nHost: a\r\n"
                         "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") ==
          BadRequestLine);
    CHECK(Bench.statusOf("GET /1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") ==
          BadRequestLine);
    CHECK(Bench.statusOf("GET /1 HTTP/1.1\r\n\r\n") == BadRequestLine);
    CHECK(Bench.statusOf("GET http://a/1 HTTP/1.1\r\nHost: a\r\n\r\n") ==
          BadRequestLine);
    CHECK(Bench.statusOf("GET /1 HTTP/1.1\r\nHost a\r\n\r\n") ==
          BadRequestLine);
    CHECK(Bench.statusOf("nonsense\r\n\r\n") == BadRequestLine);
    CHECK(Bench.m_Handler.m_Pending.empty());
  }

  TEST_CASE("the sizes of the whole header and of the body are limited") {
    SessionBench Bench;
    Bench.m_Handler.m_Limits.m_HeaderBytes = 8192;
    Bench.m_Handler.m_Limits.m_BodyBytes = 100;
    std::string Fields;
    for (int Count = 0; Count < 10'000; ++Count)
      Fields += "a: b\r\n";
    CHECK(absl::StartsWith(
        Bench.statusOf("GET /1 HTTP/1.1\r\nHost: a\r\n" + Fields + "\r\n"),
        "HTTP/1.1 431"));
    CHECK(absl::StartsWith(Bench.statusOf("POST /1 HTTP/1.1\r\nHost: a\r\n"
                                          "Content-Length: 101\r\n\r\n"),
                           "HTTP/1.1 413"));
    CHECK(Bench.m_Handler.m_Pending.empty());
  }

  TEST_CASE("an incomplete header is answered with 408 after the timeout") {
    SessionBench Bench;
    Bench.m_Handler.m_Limits.m_HeaderTimeout = Milliseconds(100);
    CHECK(absl::StartsWith(Bench.statusOf("GET /1 HTTP/1.1\r\nHo"),
                           "HTTP/1.1 408"));
  }

  TEST_CASE("slow senders do not delay other callers' requests") {
    SessionBench Bench;
    std::vector<std::unique_ptr<RawPeer>> Slow;
    for (int Count = 0; Count < 200; ++Count) {
      Slow.push_back(Bench.connect());
      Slow.back()->send("GET /1 HTTP/1.1\r\nHo");
    }
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.awaitText(*Peer, "served"));
  }

  TEST_CASE("an idle connection is closed after the idle timeout") {
    SessionBench Bench;
    Bench.m_Handler.m_Limits.m_IdleTimeout = Milliseconds(100);
    const auto Peer = Bench.connect();
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(!Peer->wasReset());
  }

  TEST_CASE("the idle timeout does not cut a request that has arrived") {
    SessionBench Bench;
    Bench.m_Handler.m_Limits.m_IdleTimeout = Milliseconds(100);
    const auto Peer = Bench.connect();
    Bench.runBriefly();
    std::this_thread::sleep_for(Milliseconds(200));
    // The timer's handler is queued behind the one that sends the request.
    boost::asio::post(Bench.m_Loop, [&]() {
      boost::asio::post(Bench.m_Loop, [&]() { Peer->send(get("/1")); });
    });
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.awaitText(*Peer, "served"));
  }
}

TEST_SUITE("graceful-stop") {
  TEST_CASE(
      "a draining session answers the requests it has read, then closes") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Acceptor.sessions().drainAll(false);
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.awaitText(*Peer, "served"));
    CHECK(Bench.awaitText(*Peer, "Connection: close"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(!Peer->wasReset());
  }

  TEST_CASE("idle connections stay open until a drain closes idle ones") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Bench.runBriefly();
    Bench.m_Acceptor.sessions().drainAll(false);
    Bench.runBriefly();
    CHECK(!Peer->hasEnded());
    Bench.m_Acceptor.sessions().drainAll(true);
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
  }

  TEST_CASE("a drain that closes idle connections answers a request that was "
            "read but not handled yet") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    // The new session's first read succeeds at once; its handler is queued.
    while (Bench.m_Acceptor.sessions().size() == 0)
      REQUIRE(Bench.m_Loop.run_one_for(std::chrono::seconds(1)) > 0);
    Bench.m_Acceptor.sessions().drainAll(true);
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.awaitText(*Peer, "served"));
    CHECK(Bench.awaitText(*Peer, "Connection: close"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
  }

  TEST_CASE("a drain that closes idle connections answers a request that has "
            "arrived but was not read yet") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Bench.runBriefly();
    Peer->send(get("/1"));
    Bench.m_Acceptor.sessions().drainAll(true);
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.awaitText(*Peer, "served"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
  }

  TEST_CASE("a drain leaves a response to a caller that has not read it yet") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Acceptor.sessions().drainAll(true);
    Bench.m_Handler.answer(0, "served");
    // The response is written, and the caller sends on before it reads it.
    Peer->send(get("/2"));
    while (Bench.m_Acceptor.sessions().busyCount() > 0)
      REQUIRE(Bench.m_Loop.run_one_for(std::chrono::seconds(1)) > 0);
    Bench.m_Acceptor.sessions().drainAll(true);
    CHECK(Bench.m_Acceptor.sessions().size() == 1);
    CHECK(Bench.awaitText(*Peer, "served"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(!Peer->wasReset());
  }

  TEST_CASE("an acceptor that closes serves the connections that were "
            "established before") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    Bench.m_Acceptor.close();
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.awaitText(*Peer, "served"));
  }

  TEST_CASE("an acceptor is not done while a request that has arrived is "
            "unanswered") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    REQUIRE(!Bench.m_Acceptor.closeWhenIdle());
    while (Bench.m_Handler.m_Pending.empty()) {
      REQUIRE(!Bench.m_Acceptor.closeWhenIdle());
      REQUIRE(Bench.m_Loop.run_one_for(std::chrono::seconds(1)) > 0);
    }
    CHECK(!Bench.m_Acceptor.closeWhenIdle());
    Bench.m_Handler.answer(0, "served");
    CHECK(runUntil(Bench.m_Loop,
                   [&]() { return Bench.m_Acceptor.closeWhenIdle(); }));
    CHECK(Bench.awaitText(*Peer, "served"));
    CHECK(!Peer->wasReset());
  }

  TEST_CASE(
      "a drain also closes a connection that always has a request in flight") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1") + get("/2"));
    REQUIRE(Bench.awaitRequests(2));
    Bench.m_Acceptor.sessions().drainAll(true);
    Bench.m_Handler.answer(0, "one");
    Peer->send(get("/3"));
    Bench.runBriefly();
    CHECK(Bench.m_Handler.m_Pending.size() == 2);
    Bench.m_Handler.answer(1, "two");
    CHECK(Bench.awaitText(*Peer, "two"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(Bench.m_Handler.m_Pending.size() == 2);
  }

  TEST_CASE("a session that is accepted during a drain closes after its "
            "response") {
    SessionBench Bench;
    Bench.m_Acceptor.sessions().drainAll(false);
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.awaitText(*Peer, "Connection: close"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
  }
}
