#include "caller.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>

namespace review {

Connection::Connection(int Port) : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  if (connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) == 0)
    return;
  close(m_Socket);
  m_Socket = -1;
}

Connection::~Connection() {
  if (m_Socket >= 0)
    close(m_Socket);
}

Answer Connection::exchange(const std::string &Head, const std::string &Body,
                            Milliseconds Limit) {
  if (m_Socket < 0)
    return {};
  const std::string All = Head + Body;
  size_t Sent = 0;
  const auto End = Clock::now() + Limit;
  Answer Result;
  size_t HeadEnd = std::string::npos;
  size_t BodyBytes = 0;
  while (Clock::now() < End) {
    pollfd Wanted{
        m_Socket,
        static_cast<short>(POLLIN | (Sent < All.size() ? POLLOUT : 0)), 0};
    if (poll(&Wanted, 1, 50) <= 0)
      continue;
    if ((Wanted.revents & POLLOUT) != 0 && Sent < All.size()) {
      const ssize_t Size = send(m_Socket, All.data() + Sent, All.size() - Sent,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Size > 0)
        Sent += static_cast<size_t>(Size);
    }
    if ((Wanted.revents & (POLLIN | POLLHUP | POLLERR)) == 0)
      continue;
    char Chunk[65536];
    const ssize_t Size = recv(m_Socket, Chunk, sizeof(Chunk), MSG_DONTWAIT);
    if (Size == 0 || (Size < 0 && errno != EAGAIN))
      return {};
    if (Size > 0)
      m_Buffer.append(Chunk, static_cast<size_t>(Size));
    if (HeadEnd == std::string::npos) {
      HeadEnd = m_Buffer.find("\r\n\r\n");
      if (HeadEnd == std::string::npos)
        continue;
      Result.m_Status = std::stoi(m_Buffer.substr(9, 3));
      size_t At = m_Buffer.find("\r\n") + 2;
      while (At < HeadEnd + 2) {
        const size_t LineEnd = m_Buffer.find("\r\n", At);
        const size_t Colon = m_Buffer.find(':', At);
        std::string Name = m_Buffer.substr(At, Colon - At);
        std::transform(Name.begin(), Name.end(), Name.begin(),
                       [](unsigned char C) { return std::tolower(C); });
        Result.m_Fields[Name] = m_Buffer.substr(Colon + 2, LineEnd - Colon - 2);
        At = LineEnd + 2;
      }
      if (Result.m_Fields.count("content-length") > 0)
        BodyBytes = std::stoul(Result.m_Fields["content-length"]);
    }
    if (m_Buffer.size() < HeadEnd + 4 + BodyBytes)
      continue;
    Result.m_Body = m_Buffer.substr(HeadEnd + 4, BodyBytes);
    m_Buffer.erase(0, HeadEnd + 4 + BodyBytes);
    return Result;
  }
  return {};
}

std::string requestHead(const std::string &Host, const std::string &Id,
                        size_t BodyBytes, int DeadlineMs, int Key,
                        const std::string &Path) {
  std::string Head =
      "POST " + Path + " HTTP/1.1\r\nHost: " + Host +
      "\r\nX-Monsoonstand-Request-Id: " + Id +
      "\r\nX-Monsoonstand-Request-Deadline: " + std::to_string(DeadlineMs) +
      "\r\n";
  if (Key >= 0)
    Head += "X-Monsoonstand-Shard-Key: " + std::to_string(Key) + "\r\n";
  return Head + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
}

} // namespace review
