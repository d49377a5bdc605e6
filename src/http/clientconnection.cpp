#include "http/clientconnection.h"

#include "http/answerstream.h"

#include <utility>

namespace monsoon {

ClientConnection::ClientConnection(const Endpoint &Address,
                                   Milliseconds ConnectTimeout)
    : ClientImpl(Address.m_Host, Address.m_Port) {
  set_connection_timeout(ConnectTimeout);
  set_keep_alive(true);
  set_tcp_nodelay(true);
  set_decompress(false);
  set_url_encode(false);
}

ExchangeEnd ClientConnection::exchange(httplib::Request &&Request,
                                       httplib::Response &Response,
                                       const ExchangeLimits &Limits) {
  m_Limits = &Limits;
  m_End = ExchangeEnd();
  httplib::Result Result = send_(std::move(Request));
  m_Limits = nullptr;
  m_LastUsed = std::chrono::steady_clock::now();
  m_End.m_Ok = static_cast<bool>(Result);
  if (m_End.m_Ok)
    Response = std::move(Result.value());
  return m_End;
}

bool ClientConnection::process_socket(
    const Socket &Open, std::function<bool(httplib::Stream &)> Run) {
  m_End.m_Connected = true;
  if (m_Limits->m_MaySend && !m_Limits->m_MaySend()) {
    m_End.m_Withheld = true;
    return false;
  }
  SocketStream Stream(Open.sock);
  Stream.setDeadline(m_Limits->m_Deadline);
  Stream.watch(m_Limits->m_WatchedSocket);
  Stream.cancelOn(m_Limits->m_CancelDescriptor);
  AnswerStream Answer(Stream);
  const bool Ok = Run(Answer);
  m_End.m_MaybeSent = Stream.bytesSent() > 0;
  m_End.m_TimedOut = Stream.timedOut();
  m_End.m_WatchedHungUp = Stream.watchedHungUp();
  m_End.m_Cancelled = Stream.cancelled();
  // Bytes beyond the answer belong to no request of ours.
  return Ok && !Stream.hasBuffered();
}

} // namespace monsoon
