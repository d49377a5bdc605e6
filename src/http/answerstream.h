#ifndef MONSOON_HTTP_ANSWERSTREAM_H
#define MONSOON_HTTP_ANSWERSTREAM_H

#include "http/socketstream.h"

#include <httplib.h>

#include <string>

namespace monsoon {

/// The stream of one exchange with a server. The library accepts heads that are
/// none of the protocol, and passes over few interim answers, so it gets only
/// the head of the final answer, once each head has been checked. Reads fail
/// from a head on that is not in order. Not safe for concurrent use.
class AnswerStream : public httplib::Stream {
public:
  explicit AnswerStream(SocketStream &Socket) : m_Socket(Socket) {}

  bool is_readable() const override { return m_Socket.is_readable(); }
  bool is_writable() const override { return m_Socket.is_writable(); }
  ssize_t read(char *Data, size_t Size) override;
  ssize_t write(const char *Data, size_t Size) override;
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  socket_t socket() const override { return m_Socket.socket(); }

private:
  enum class State { BeforeHead, InHead, InBody, Failed };

  /// Reads up to the head of the final answer. False if that fails.
  bool readFinalHead();
  /// Reads up to the empty line that ends a head. False if the stream ends or
  /// the head is too long.
  bool collectHead();

  SocketStream &m_Socket;
  State m_State = State::BeforeHead;
  std::string m_Head;
  /// Bytes of the head that were passed on.
  size_t m_Passed = 0;
};

} // namespace monsoon

#endif
