#include "server.h"

#include <json/reader.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace review {

namespace {

/// heartbeat_ms of the example settings.
constexpr Milliseconds HeartbeatInterval{870};

/// The value that a text holds; null if it is no JSON object.
Json::Value parse(const std::string &Text) {
  const std::unique_ptr<Json::CharReader> Reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value Value;
  std::string Errors;
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors) ||
      !Value.isObject())
    return Json::Value();
  return Value;
}

} // namespace

std::string ServerRequest::field(const std::string &Name) const {
  const auto Found = m_Fields.find(Name);
  return Found == m_Fields.end() ? "" : Found->second;
}

ServerConnection::~ServerConnection() { close(m_Socket); }

void ServerConnection::shutDown() { shutdown(m_Socket, SHUT_RDWR); }

bool ServerConnection::fill() {
  char Chunk[65536];
  const ssize_t Size = recv(m_Socket, Chunk, sizeof(Chunk), 0);
  if (Size <= 0)
    return false;
  m_Buffer.append(Chunk, static_cast<size_t>(Size));
  return true;
}

bool ServerConnection::readHead(ServerRequest &Next) {
  size_t End;
  while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill())
      return false;
  const std::string Line = m_Buffer.substr(0, m_Buffer.find("\r\n"));
  const size_t First = Line.find(' ');
  const size_t Second = Line.rfind(' ');
  if (First == std::string::npos || Second <= First ||
      Line.substr(Second) != " HTTP/1.1")
    return false;
  Next = ServerRequest();
  Next.m_Path = Line.substr(First + 1, Second - First - 1);
  size_t At = Line.size() + 2;
  while (At < End + 2) {
    const size_t LineEnd = m_Buffer.find("\r\n", At);
    const size_t Colon = m_Buffer.find(':', At);
    std::string Name = m_Buffer.substr(At, Colon - At);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    Next.m_Fields[Name] = m_Buffer.substr(Colon + 2, LineEnd - Colon - 2);
    At = LineEnd + 2;
  }
  m_Buffer.erase(0, End + 4);
  if (!Next.field("content-length").empty())
    Next.m_BodyBytes = std::stoul(Next.field("content-length"));
  return true;
}

std::string ServerConnection::read(size_t Size) {
  while (m_Buffer.size() < Size && fill())
    continue;
  const std::string Result = m_Buffer.substr(0, Size);
  m_Buffer.erase(0, Result.size());
  return Result;
}

void ServerConnection::write(const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Size =
        send(m_Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return;
    Sent += static_cast<size_t>(Size);
  }
}

Server::Server(std::string Id, std::string Service, std::string Zone,
               Store &Platform, Record &Log, Behaviour Serve,
               int ReceiveBufferBytes)
    : m_Id(std::move(Id)), m_Service(std::move(Service)),
      m_Zone(std::move(Zone)), m_Store(Platform), m_Record(Log),
      m_Serve(std::move(Serve)), m_Listener(socket(AF_INET, SOCK_STREAM, 0)),
      m_Born(std::chrono::duration_cast<Milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
  if (ReceiveBufferBytes > 0)
    setsockopt(m_Listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  bind(m_Listener, reinterpret_cast<sockaddr *>(&Address), Size);
  listen(m_Listener, 256);
  getsockname(m_Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  m_Port = ntohs(Address.sin_port);
  beat();
  m_Accepting = std::thread([this]() { acceptLoop(); });
  m_Beating = std::thread([this]() { heartbeatLoop(); });
}

Server::~Server() {
  m_IsStopping = true;
  shutdown(m_Listener, SHUT_RDWR);
  close(m_Listener);
  m_Accepting.join();
  m_Beating.join();
  for (const auto &Each : m_Connections)
    Each->shutDown();
  for (std::thread &Each : m_Threads)
    Each.join();
}

void Server::beat() {
  Json::Value Entry;
  Entry["service"] = m_Service;
  Entry["address"] = "127.0.0.1:" + std::to_string(m_Port);
  Entry["zone"] = m_Zone;
  Entry["version"] = "v1";
  Entry["slots"] = 4;
  Entry["state"] = m_IsDraining ? "draining" : "ready";
  Entry["warmup_remaining_ms"] = 0;
  Entry["sequence"] = Json::Int64(++m_Sequence);
  Entry["born"] = Json::Int64(m_Born);
  m_Store.put("keyed.servers", m_Id, toText(Entry));
}

void Server::heartbeatLoop() {
  auto Next = Clock::now() + HeartbeatInterval;
  bool WasDraining = false;
  while (!m_IsStopping) {
    std::this_thread::sleep_for(Milliseconds(20));
    if (Clock::now() < Next && m_IsDraining == WasDraining)
      continue;
    WasDraining = m_IsDraining;
    Next = Clock::now() + HeartbeatInterval;
    beat();
  }
}

void Server::drain() { m_IsDraining = true; }

void Server::acceptLoop() {
  while (!m_IsStopping) {
    const int Socket = accept(m_Listener, nullptr, nullptr);
    if (Socket < 0)
      return;
    const auto Peer = std::make_shared<ServerConnection>(Socket);
    m_Connections.push_back(Peer);
    m_Threads.emplace_back([this, Peer]() {
      ServerRequest Next;
      while (!m_IsStopping && Peer->readHead(Next)) {
        const std::string Expected =
            Next.field("x-monsoonstand-expect-instance");
        if (!Expected.empty() && Expected != m_Id) {
          Peer->read(Next.m_BodyBytes);
          Peer->write(answerText(
              421, "", "", "X-Monsoonstand-Instance-Id: " + m_Id + "\r\n"));
          continue;
        }
        if (!m_Serve(*this, *Peer, Next))
          break;
      }
      Peer->shutDown();
    });
  }
}

bool Server::holds(int Key) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Now = Clock::now();
  return std::any_of(m_Held.begin(), m_Held.end(), [&](const Held &Each) {
    return Each.m_First <= Key && Key <= Each.m_Last && Now < Each.m_Until;
  });
}

void Server::beginWork(int Key) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Until = Clock::now();
  for (const Held &Each : m_Held)
    if (Each.m_First <= Key && Key <= Each.m_Last)
      Until = std::max(Until, Each.m_Until);
  m_Work.emplace(Key, Until);
}

void Server::endWork(int Key) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Work.erase(m_Work.find(Key));
}

std::vector<int> Server::busyKeys(int First, int Last) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Now = Clock::now();
  std::vector<int> Result;
  for (const auto &[Key, Until] : m_Work)
    if (First <= Key && Key <= Last && Now < Until)
      Result.push_back(Key);
  return Result;
}

bool Server::isAtWorkOn(const std::string &Body) {
  const Json::Value Order = parse(Body);
  return !busyKeys(Order["from"].asInt(), Order["target"].asInt()).empty();
}

std::string Server::carryOutOrder(const ServerRequest &Order,
                                  const std::string &Body) {
  const std::string Echo =
      Order.id().empty() ? ""
                         : "X-Monsoonstand-Request-Id: " + Order.id() + "\r\n";
  const Json::Value Value = parse(Body);
  if (!Value.isObject())
    return answerText(400, "", "", Echo);
  Held Next;
  Next.m_First = Value["from"].asInt();
  Next.m_Last = Value["target"].asInt();
  Next.m_Fence = Value["fence"].asInt64();
  const std::string Keys =
      std::to_string(Next.m_First) + "-" + std::to_string(Next.m_Last);
  const auto Overlaps = [&Next](const Held &Each) {
    return Each.m_First <= Next.m_Last && Next.m_First <= Each.m_Last;
  };
  if (Order.m_Path == "/v1/grant") {
    Next.m_Until = Clock::now() + Milliseconds(Value["hold_ms"].asInt64());
    if (m_OnGrant)
      m_OnGrant(*this, Next);
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    for (const Held &Each : m_Seen)
      if (Overlaps(Each) && Each.m_Fence > Next.m_Fence)
        return answerText(409, "", "", Echo);
    const bool IsKnown =
        std::any_of(m_Seen.begin(), m_Seen.end(), [&](const Held &Each) {
          return Each.m_Fence == Next.m_Fence && Each.m_First == Next.m_First &&
                 Each.m_Last == Next.m_Last;
        });
    if (!IsKnown)
      m_Record.write(m_Id + " is granted " + Keys + " with fence " +
                     std::to_string(Next.m_Fence));
    m_Seen.erase(std::remove_if(m_Seen.begin(), m_Seen.end(),
                                [&](const Held &Each) {
                                  return Each.m_Fence == Next.m_Fence;
                                }),
                 m_Seen.end());
    m_Seen.push_back(Next);
    m_Held.erase(std::remove_if(m_Held.begin(), m_Held.end(), Overlaps),
                 m_Held.end());
    m_Held.push_back(Next);
    return answerText(200, "", "", Echo);
  }
  m_Record.write(m_Id + " is told to release " + Keys);
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    std::vector<Held> Kept;
    for (const Held &Each : m_Held) {
      if (!Overlaps(Each)) {
        Kept.push_back(Each);
        continue;
      }
      if (Each.m_First < Next.m_First)
        Kept.push_back(
            {Each.m_First, Next.m_First - 1, Each.m_Fence, Each.m_Until});
      if (Each.m_Last > Next.m_Last)
        Kept.push_back(
            {Next.m_Last + 1, Each.m_Last, Each.m_Fence, Each.m_Until});
    }
    m_Held = std::move(Kept);
  }
  const auto IsBusy = [&]() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Work.lower_bound(Next.m_First) != m_Work.upper_bound(Next.m_Last);
  };
  while (IsBusy() && !m_IsStopping)
    std::this_thread::sleep_for(Milliseconds(2));
  m_Record.write(m_Id + " has released " + Keys);
  return answerText(200, "", "",
                    Echo + "X-Monsoonstand-Handover: 5c0e7a21d94b36f8\r\n");
}

std::string answerText(int Status, const std::string &RequestId,
                       const std::string &Body,
                       const std::string &FurtherFields) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " Status\r\n";
  if (!RequestId.empty())
    Text += "X-Monsoonstand-Request-Id: " + RequestId +
            "\r\nX-Monsoonstand-Server-Signature: 3e1b." + RequestId + "\r\n";
  return Text + "Keep-Alive: timeout=10\r\n" + FurtherFields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string rejectionText(const std::string &RequestId, int Status,
                          const std::string &FurtherFields) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Status\r\nX-Monsoonstand-Request-Id: " + RequestId +
         "\r\nX-Monsoonstand-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\n" +
         FurtherFields + "Content-Length: 0\r\n\r\n";
}

} // namespace review
