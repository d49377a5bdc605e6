#include "http/socketstream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace monsoon {

namespace {

/// Milliseconds for poll(), rounded up so that it never wakes too early.
int pollTimeout(TimePoint Deadline) {
  if (Deadline == TimePoint::max())
    return -1;
  const auto Left = std::chrono::ceil<Milliseconds>(
      Deadline - std::chrono::steady_clock::now());
  return static_cast<int>(std::clamp<int64_t>(Left.count(), 0, INT32_MAX));
}

} // namespace

SocketStream::SocketStream(int Socket) : m_Socket(Socket) {}

void SocketStream::limitRead(size_t Bytes) {
  m_ReadAllowance = Bytes;
  m_ReadLimitHit = false;
}

bool SocketStream::waitFor(short Events) {
  std::array<pollfd, 3> Polled = {{{m_Socket, Events, 0},
                                   {m_Watched, POLLRDHUP, 0},
                                   {m_CancelDescriptor, POLLIN, 0}}};
  while (true) {
    const int Ready =
        ::poll(Polled.data(), Polled.size(), pollTimeout(m_Deadline));
    if (Ready < 0 && errno == EINTR)
      continue;
    if (Ready < 0)
      return false;
    if (Ready == 0) {
      m_TimedOut = true;
      return false;
    }
    if (Polled[0].revents != 0)
      return true;
    if (Polled[2].revents != 0) {
      m_Cancelled = true;
      return false;
    }
    m_WatchedHungUp = true;
    return false;
  }
}

bool SocketStream::flush() {
  size_t Done = 0;
  while (Done < m_Pending.size()) {
    const ssize_t Sent =
        ::send(m_Socket, m_Pending.data() + Done, m_Pending.size() - Done,
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent >= 0) {
      Done += static_cast<size_t>(Sent);
      m_BytesSent += static_cast<size_t>(Sent);
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN || !waitFor(POLLOUT)) {
      m_Pending.clear();
      return false;
    }
  }
  m_Pending.clear();
  return true;
}

ssize_t SocketStream::fill() {
  while (true) {
    const ssize_t Got = ::recv(m_Socket, m_ReadBuffer.data(),
                               m_ReadBuffer.size(), MSG_DONTWAIT);
    if (Got >= 0)
      return Got;
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN || !waitFor(POLLIN))
      return -1;
  }
}

bool SocketStream::waitReadable(Milliseconds Limit) const {
  if (hasBuffered())
    return true;
  pollfd Polled = {m_Socket, POLLIN, 0};
  return ::poll(&Polled, 1, static_cast<int>(Limit.count())) > 0;
}

bool SocketStream::is_readable() const { return true; }

bool SocketStream::is_writable() const { return true; }

ssize_t SocketStream::read(char *Data, size_t Size) {
  if (!m_Pending.empty() && !flush())
    return -1;
  if (!hasBuffered()) {
    const ssize_t Got = fill();
    if (Got <= 0)
      return Got;
    m_ReadBegin = 0;
    m_ReadEnd = static_cast<size_t>(Got);
  }
  const size_t Taken = std::min(Size, m_ReadEnd - m_ReadBegin);
  if (Taken > m_ReadAllowance) {
    m_ReadLimitHit = true;
    return -1;
  }
  m_ReadAllowance -= Taken;
  std::memcpy(Data, m_ReadBuffer.data() + m_ReadBegin, Taken);
  m_ReadBegin += Taken;
  return static_cast<ssize_t>(Taken);
}

ssize_t SocketStream::write(const char *Data, size_t Size) {
  m_Pending.append(Data, Size);
  if (m_Pending.size() >= WriteBufferSize && !flush())
    return -1;
  return static_cast<ssize_t>(Size);
}

void SocketStream::get_remote_ip_and_port(std::string &Ip, int &Port) const {
  Ip.clear();
  Port = 0;
}

void SocketStream::get_local_ip_and_port(std::string &Ip, int &Port) const {
  Ip.clear();
  Port = 0;
}

} // namespace monsoon
