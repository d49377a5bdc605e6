#include "http/answerstream.h"

#include "core/httpmessage.h"

#include <algorithm>
#include <cstring>

namespace monsoon {

namespace {

constexpr size_t MaxHeadBytes = 64 << 10;
constexpr std::string_view HeadEnd = "\r\n\r\n";

bool endsWith(std::string_view Text, std::string_view End) {
  return Text.size() >= End.size() &&
         Text.substr(Text.size() - End.size()) == End;
}

} // namespace

ssize_t AnswerStream::read(char *Data, size_t Size) {
  if (m_State == State::BeforeHead)
    m_State = readFinalHead() ? State::InHead : State::Failed;
  if (m_State == State::Failed)
    return -1;
  if (m_State == State::InBody)
    return m_Socket.read(Data, Size);
  const size_t Taken = std::min(Size, m_Head.size() - m_Passed);
  std::memcpy(Data, m_Head.data() + m_Passed, Taken);
  m_Passed += Taken;
  if (m_Passed == m_Head.size())
    m_State = State::InBody;
  return static_cast<ssize_t>(Taken);
}

bool AnswerStream::readFinalHead() {
  for (int Interims = 0; Interims <= MaxInterimResponses; ++Interims) {
    if (!collectHead() || !hasValidFields(m_Head))
      return false;
    const auto Status = statusOfHead(m_Head);
    const ResponseKind Kind =
        Status ? responseKind(*Status) : ResponseKind::Invalid;
    if (Kind != ResponseKind::Interim)
      return Kind == ResponseKind::Final;
  }
  return false;
}

bool AnswerStream::collectHead() {
  m_Head.clear();
  while (!endsWith(m_Head, HeadEnd)) {
    char Byte = 0;
    if (m_Head.size() >= MaxHeadBytes || m_Socket.read(&Byte, 1) != 1)
      return false;
    m_Head += Byte;
  }
  return true;
}

ssize_t AnswerStream::write(const char *Data, size_t Size) {
  return m_Socket.write(Data, Size);
}

void AnswerStream::get_remote_ip_and_port(std::string &Ip, int &Port) const {
  m_Socket.get_remote_ip_and_port(Ip, Port);
}

void AnswerStream::get_local_ip_and_port(std::string &Ip, int &Port) const {
  m_Socket.get_local_ip_and_port(Ip, Port);
}

} // namespace monsoon
