#include "net/acceptor.h"
#include "net/rawpeer.h"
#include "program/boottimeclock.h"

#include "absl/strings/match.h"

#include <doctest.h>

#include <map>

using namespace monsoon;

namespace {

/// Keeps requests until the test answers them.
class HoldingHandler : public RequestHandler {
public:
  class Held : public PendingRequest {
  public:
    explicit Held(bool MayOverlap) : m_MayOverlap(MayOverlap) {}
    void cancel() override {
      m_Cancelled = true;
      m_Reply = nullptr;
    }
    bool mayOverlap() const override { return m_MayOverlap; }

    HttpRequest m_Request;
    Reply m_Reply;
    bool m_Cancelled = false;

  private:
    const bool m_MayOverlap;
  };

  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override {
    const auto Each = std::make_shared<Held>(Request.m_Method == "GET");
    Each->m_Request = std::move(Request);
    Each->m_Reply = std::move(Done);
    m_Held.push_back(Each);
    return Each;
  }

  HttpResponse refuse(ErrorKind Kind, const std::string & /*Detail*/) override {
    HttpResponse Answer;
    Answer.m_Status = errorRule(Kind).m_Status;
    return Answer;
  }

  RequestLimits limits() const override { return m_Limits; }

  void answer(size_t Index, const std::string &Body) {
    HttpResponse Answer;
    Answer.m_Status = 200;
    Answer.m_Body = Body;
    m_Held[Index]->m_Reply(Answer);
  }

  RequestLimits m_Limits;
  std::vector<std::shared_ptr<Held>> m_Held;
};

struct SessionBench {
  SessionBench() : m_Acceptor(m_Loop, m_Time, m_Handler) {
    REQUIRE(m_Acceptor.listen({"127.0.0.1", 0}).has_value());
  }

  // A request without an answer and its session keep each other.
  ~SessionBench() { m_Acceptor.sessions().abortAll(); }

  std::unique_ptr<RawPeer> connect() {
    boost::asio::ip::tcp::socket Socket(m_Loop);
    Socket.connect(socketAddress(m_Acceptor.address()));
    return std::make_unique<RawPeer>(std::move(Socket));
  }

  bool holds(size_t Count) {
    return runUntil(m_Loop, [&]() { return m_Handler.m_Held.size() >= Count; });
  }

  bool receives(RawPeer &Peer, const std::string &Text) {
    return runUntil(m_Loop, [&]() {
      return Peer.received().find(Text) != std::string::npos;
    });
  }

  /// The status line of the answer to some bytes.
  std::string statusOf(const std::string &Text) {
    const auto Peer = connect();
    Peer->send(Text);
    receives(*Peer, "\r\n\r\n");
    return Peer->received().substr(0, Peer->received().find("\r\n"));
  }

  void pause() {
    for (int Step = 0; Step < 5; ++Step)
      m_Loop.run_one_for(std::chrono::milliseconds(10));
  }

  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  HoldingHandler m_Handler;
  Acceptor m_Acceptor;
};

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

TEST_SUITE("whole-answer") {
  TEST_CASE("requests sent ahead are handled side by side and answered in "
            "order") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1") + get("/2") + get("/3"));
    REQUIRE(Bench.holds(3));
    Bench.m_Handler.answer(2, "three");
    Bench.m_Handler.answer(1, "two");
    Bench.pause();
    CHECK(Peer->received().empty());
    Bench.m_Handler.answer(0, "one");
    REQUIRE(Bench.receives(*Peer, "three"));
    const std::string &Text = Peer->received();
    CHECK(Text.find("one") < Text.find("two"));
    CHECK(Text.find("two") < Text.find("three"));
  }

  TEST_CASE("a request that may not be repeated holds back the next one") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" +
               get("/2"));
    REQUIRE(Bench.holds(1));
    Bench.pause();
    CHECK(Bench.m_Handler.m_Held.size() == 1);
    CHECK(Bench.m_Handler.m_Held[0]->m_Request.m_Body == "ab");
    Bench.m_Handler.answer(0, "done");
    CHECK(Bench.holds(2));
  }

  TEST_CASE("a body in chunks arrives as one") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
               "\r\n2\r\nab\r\n");
    Bench.pause();
    Peer->send("1\r\nc\r\n0\r\n\r\n");
    REQUIRE(Bench.holds(1));
    CHECK(Bench.m_Handler.m_Held[0]->m_Request.m_Body == "abc");
  }

  TEST_CASE("a caller that leaves cancels its requests") {
    SessionBench Bench;
    auto Peer = Bench.connect();
    Peer->send(get("/1") + get("/2"));
    REQUIRE(Bench.holds(2));
    Peer->close();
    CHECK(runUntil(Bench.m_Loop, [&]() {
      return Bench.m_Handler.m_Held[0]->m_Cancelled &&
             Bench.m_Handler.m_Held[1]->m_Cancelled;
    }));
    CHECK(Bench.m_Acceptor.sessions().size() == 0);
  }

  TEST_CASE("requests that could be read in two ways are refused") {
    SessionBench Bench;
    const std::string Bad = "HTTP/1.1 400 Bad Request";
    CHECK(Bench.statusOf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == Bad);
    CHECK(Bench.statusOf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                         "Content-Length: 4\r\n\r\nabcd") == Bad);
    CHECK(Bench.statusOf("POST /1 HTTP/1.1\r\nHost: a\r\n"
                         "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") ==
          Bad);
    CHECK(Bench.statusOf("GET /1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") ==
          Bad);
    CHECK(Bench.statusOf("GET /1 HTTP/1.1\r\n\r\n") == Bad);
    CHECK(Bench.statusOf("GET http://a/1 HTTP/1.1\r\nHost: a\r\n\r\n") == Bad);
    CHECK(Bench.statusOf("GET /1 HTTP/1.1\r\nHost a\r\n\r\n") == Bad);
    CHECK(Bench.statusOf("nonsense\r\n\r\n") == Bad);
    CHECK(Bench.m_Handler.m_Held.empty());
  }

  TEST_CASE("the header as a whole and the body are limited") {
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
    CHECK(Bench.m_Handler.m_Held.empty());
  }

  TEST_CASE("a header that does not arrive in time is answered") {
    SessionBench Bench;
    Bench.m_Handler.m_Limits.m_HeaderTimeout = Milliseconds(100);
    CHECK(absl::StartsWith(Bench.statusOf("GET /1 HTTP/1.1\r\nHo"),
                           "HTTP/1.1 408"));
  }

  TEST_CASE("slow senders don't hold up a good request") {
    SessionBench Bench;
    std::vector<std::unique_ptr<RawPeer>> Slow;
    for (int Count = 0; Count < 200; ++Count) {
      Slow.push_back(Bench.connect());
      Slow.back()->send("GET /1 HTTP/1.1\r\nHo");
    }
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    REQUIRE(Bench.holds(1));
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.receives(*Peer, "served"));
  }

  TEST_CASE("an idle connection is closed after its time") {
    SessionBench Bench;
    Bench.m_Handler.m_Limits.m_IdleTimeout = Milliseconds(100);
    const auto Peer = Bench.connect();
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(!Peer->wasReset());
  }
}

TEST_SUITE("graceful-stop") {
  TEST_CASE("a draining session answers what it has read and then closes") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    REQUIRE(Bench.holds(1));
    Bench.m_Acceptor.sessions().drainAll(false);
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.receives(*Peer, "served"));
    CHECK(Bench.receives(*Peer, "Connection: close"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(!Peer->wasReset());
  }

  TEST_CASE("idle connections stay open until they are to be closed") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Bench.pause();
    Bench.m_Acceptor.sessions().drainAll(false);
    Bench.pause();
    CHECK(!Peer->hasEnded());
    Bench.m_Acceptor.sessions().drainAll(true);
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
  }

  TEST_CASE("a caller that always has a request under way is let go as well") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1") + get("/2"));
    REQUIRE(Bench.holds(2));
    Bench.m_Acceptor.sessions().drainAll(true);
    Bench.m_Handler.answer(0, "one");
    Peer->send(get("/3"));
    Bench.pause();
    CHECK(Bench.m_Handler.m_Held.size() == 2);
    Bench.m_Handler.answer(1, "two");
    CHECK(Bench.receives(*Peer, "two"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(Bench.m_Handler.m_Held.size() == 2);
  }

  TEST_CASE("a session that is accepted during a drain closes behind its "
            "answer") {
    SessionBench Bench;
    Bench.m_Acceptor.sessions().drainAll(false);
    const auto Peer = Bench.connect();
    Peer->send(get("/1"));
    REQUIRE(Bench.holds(1));
    Bench.m_Handler.answer(0, "served");
    CHECK(Bench.receives(*Peer, "Connection: close"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
  }
}
