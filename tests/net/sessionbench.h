#ifndef MONSOON_TESTS_NET_SESSIONBENCH_H
#define MONSOON_TESTS_NET_SESSIONBENCH_H

#include "net/acceptor.h"
#include "net/rawpeer.h"
#include "program/boottimeclock.h"

#include <doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

/// Holds requests pending until the test answers them.
class ManualHandler : public RequestHandler {
public:
  class PendingCall : public PendingRequest {
  public:
    explicit PendingCall(bool MayOverlap) : m_MayOverlap(MayOverlap) {}
    void cancel() override {
      m_IsCancelled = true;
      m_Reply = nullptr;
    }
    bool mayOverlap() const override { return m_MayOverlap; }

    HttpRequest m_Request;
    Reply m_Reply;
    bool m_IsCancelled = false;

  private:
    const bool m_MayOverlap;
  };

  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override {
    const auto Added =
        std::make_shared<PendingCall>(Request.m_Method != "POST");
    Added->m_Request = std::move(Request);
    Added->m_Reply = std::move(Done);
    m_Pending.push_back(Added);
    return Added;
  }

  HttpResponse refuse(ErrorKind Kind, const std::string & /*Detail*/) override {
    HttpResponse Answer;
    Answer.m_Status = errorRule(Kind).m_Status;
    Answer.m_Body = m_RefusalBody;
    return Answer;
  }

  std::optional<HttpResponse> refuseByHeader(const HttpRequest &Head) override {
    if (!Head.m_Fields.find("Unwanted"))
      return std::nullopt;
    HttpResponse Answer;
    Answer.m_Status = 401;
    Answer.m_Body = m_RefusalBody;
    return Answer;
  }

  RequestLimits limits() const override { return m_Limits; }

  void answer(size_t Index, const std::string &Body) {
    HttpResponse Answer;
    Answer.m_Status = 200;
    Answer.m_Body = Body;
    m_Pending[Index]->m_Reply(Answer);
  }

  RequestLimits m_Limits;
  std::string m_RefusalBody;
  std::vector<std::shared_ptr<PendingCall>> m_Pending;
};

/// An acceptor whose requests a ManualHandler holds.
struct SessionBench {
  SessionBench() : m_Acceptor(m_Loop, m_Time, m_Handler) {
    REQUIRE(m_Acceptor.listen({"127.0.0.1", 0}).has_value());
  }

  // An unanswered request and its session own each other, so the session has to
  // be aborted.
  ~SessionBench() { m_Acceptor.sessions().abortAll(); }

  std::unique_ptr<RawPeer> connect() {
    boost::asio::ip::tcp::socket Socket(m_Loop);
    Socket.connect(socketAddress(m_Acceptor.address()));
    return std::make_unique<RawPeer>(std::move(Socket));
  }

  bool awaitRequests(size_t Count) {
    return runUntil(m_Loop,
                    [&]() { return m_Handler.m_Pending.size() >= Count; });
  }

  bool awaitText(RawPeer &Peer, const std::string &Text) {
    return runUntil(m_Loop, [&]() {
      return Peer.received().find(Text) != std::string::npos;
    });
  }

  /// Sends bytes on a new connection and returns the response's status line.
  std::string statusOf(const std::string &Text) {
    const auto Peer = connect();
    Peer->send(Text);
    awaitText(*Peer, "\r\n\r\n");
    return Peer->received().substr(0, Peer->received().find("\r\n"));
  }

  void runBriefly() {
    for (int Step = 0; Step < 5; ++Step)
      m_Loop.run_one_for(std::chrono::milliseconds(10));
  }

  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  ManualHandler m_Handler;
  Acceptor m_Acceptor;
};

inline std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace monsoon

#endif
