#ifndef MONSOON_HTTP_ANSWERSTREAM_H
#define MONSOON_HTTP_ANSWERSTREAM_H

#include "http/socketstream.h"

#include <httplib.h>

#include <string>

namespace monsoon {

/// The stream of one exchange with a server. The HTTP library accepts invalid
/// heads and skips only some interim answers. So each head is checked first,
/// and the library reads only that of the final answer and what follows it.
/// After an invalid head all reads fail. Not safe for concurrent use.
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

  /// Skips interim answers and reads the head of the final one. False if a head
  /// is invalid or can't be read.
  bool readFinalHead();
  /// Reads up to the empty line that ends a head. False if the stream ends or
  /// the head is too long.
  bool collectHead();

  SocketStream &m_Socket;
  State m_State = State::BeforeHead;
  std::string m_Head;
  /// Bytes of the head that the library has read.
  size_t m_Passed = 0;
};

} // namespace monsoon

#endif
