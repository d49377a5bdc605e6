#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace review {

namespace {

constexpr size_t ReadBytes = 64 << 10;
constexpr size_t MaxHeadBytes = 256 << 10;
constexpr size_t DutyPartitions = 12;
constexpr size_t MaxEntryHosts = 16;

/// The processes to end when the script itself is ended; 0: unused.
std::atomic<int> RunningHosts[MaxEntryHosts];

void replacePid(int Former, int Next) {
  for (std::atomic<int> &Each : RunningHosts) {
    int Expected = Former;
    if (Each.compare_exchange_strong(Expected, Next))
      return;
  }
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), ::tolower);
  return Text;
}

std::string trim(const std::string &Text) {
  const size_t First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

int boundPort(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

/// A port that is free now. Below the range from which the system takes ports
/// for outgoing connections, and another part of it for each process, so that
/// it stays free until the entry host listens there.
int freePort(int Type) {
  constexpr int First = 10'000;
  constexpr int Count = 20'000;
  constexpr int PerProcess = 64;
  static std::atomic<int> Next{static_cast<int>(::getpid()) % 300 * PerProcess};
  for (int Tries = 0; Tries < Count; ++Tries) {
    const int Port = First + Next++ % Count;
    const int Socket = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
    const sockaddr_in Address = loopback(Port);
    const bool IsFree =
        ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
               sizeof(Address)) == 0;
    ::close(Socket);
    if (IsFree)
      return Port;
  }
  return 0;
}

std::string address(int Port) { return "127.0.0.1:" + std::to_string(Port); }

std::string response(int Status, const std::string &Fields,
                     const std::string &Body) {
  const char *Reason = Status < 300 ? "OK" : "Status";
  return "HTTP/1.1 " + std::to_string(Status) + " " + Reason + "\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

bool parseJson(const std::string &Text, Json::Value &Value) {
  Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  std::string Errors;
  return Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors);
}

std::string bigEndian(uint64_t Value, int Bytes) {
  std::string Text;
  for (int Index = Bytes - 1; Index >= 0; --Index)
    Text += static_cast<char>(Value >> (8 * Index) & 0xff);
  return Text;
}

std::string base64(const std::string &Text) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (size_t At = 0; At < Text.size(); At += 3) {
    uint32_t Group = 0;
    for (size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8 | (At + Index < Text.size()
                                ? static_cast<unsigned char>(Text[At + Index])
                                : 0);
    for (size_t Index = 0; Index < 4; ++Index)
      Result += At + Index <= Text.size()
                    ? Digits[Group >> (18 - 6 * Index) & 63]
                    : '=';
  }
  return Result;
}

std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const size_t Mark = Target.find('?');
  if (Mark == std::string::npos)
    return Result;
  std::stringstream Parts(Target.substr(Mark + 1));
  for (std::string Part; std::getline(Parts, Part, '&');) {
    const size_t Equals = Part.find('=');
    if (Equals != std::string::npos)
      Result[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  }
  return Result;
}

uint64_t numberIn(const std::map<std::string, std::string> &Query,
                  const char *Name, uint64_t Default) {
  const auto Found = Query.find(Name);
  return Found == Query.end()
             ? Default
             : std::strtoull(Found->second.c_str(), nullptr, 10);
}

} // namespace

const std::string *Message::find(const std::string &Name) const {
  for (const auto &Each : m_Fields)
    if (::strcasecmp(Each.first.c_str(), Name.c_str()) == 0)
      return &Each.second;
  return nullptr;
}

std::string Message::target() const {
  const size_t First = m_Start.find(' ');
  const size_t Second = m_Start.find(' ', First + 1);
  return First == std::string::npos
             ? ""
             : m_Start.substr(First + 1, Second - First - 1);
}

int Message::status() const {
  return m_Start.size() > 9 ? std::atoi(m_Start.c_str() + 9) : 0;
}

Connection::~Connection() {
  if (m_Socket >= 0)
    ::close(m_Socket);
}

bool Connection::write(const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Size = ::send(m_Socket, Bytes.data() + Sent,
                                Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size < 0 && errno == EINTR)
      continue;
    if (Size <= 0)
      return false;
    Sent += static_cast<size_t>(Size);
  }
  return true;
}

ReadResult Connection::fill(TimePoint End) {
  const auto Left =
      std::chrono::duration_cast<Milliseconds>(End - SteadyClock::now());
  pollfd Poll{m_Socket, POLLIN, 0};
  const int Ready =
      ::poll(&Poll, 1, static_cast<int>(std::max<int64_t>(0, Left.count())));
  if (Ready == 0)
    return ReadResult::Timeout;
  std::string Buffer(ReadBytes, '\0');
  const ssize_t Size = ::recv(m_Socket, Buffer.data(), Buffer.size(), 0);
  if (Size < 0)
    return errno == EINTR ? ReadResult::Ok : ReadResult::Reset;
  if (Size == 0)
    return ReadResult::Closed;
  m_Pending.append(Buffer, 0, static_cast<size_t>(Size));
  return ReadResult::Ok;
}

ReadResult Connection::readHead(Message &Result, TimePoint End) {
  size_t HeadEnd;
  while ((HeadEnd = m_Pending.find("\r\n\r\n")) == std::string::npos) {
    if (m_Pending.size() > MaxHeadBytes)
      return ReadResult::Malformed;
    const ReadResult Filled = fill(End);
    if (Filled != ReadResult::Ok)
      return Filled;
  }
  std::stringstream Lines(m_Pending.substr(0, HeadEnd));
  m_Pending.erase(0, HeadEnd + 4);
  Result = Message();
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Result.m_Start.empty()) {
      Result.m_Start = Line;
      continue;
    }
    const size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return ReadResult::Malformed;
    Result.m_Fields.emplace_back(Line.substr(0, Colon),
                                 trim(Line.substr(Colon + 1)));
  }
  return ReadResult::Ok;
}

ReadResult Connection::readBody(Message &Result, TimePoint End,
                                bool UntilClose) {
  const std::string *Coding = Result.find("Transfer-Encoding");
  if (Coding && lower(*Coding) == "chunked") {
    while (true) {
      size_t LineEnd;
      while ((LineEnd = m_Pending.find("\r\n")) == std::string::npos) {
        const ReadResult Filled = fill(End);
        if (Filled != ReadResult::Ok)
          return Filled;
      }
      const size_t Size = std::strtoul(m_Pending.c_str(), nullptr, 16);
      while (m_Pending.size() < LineEnd + 2 + Size + 2) {
        const ReadResult Filled = fill(End);
        if (Filled != ReadResult::Ok)
          return Filled;
      }
      Result.m_Body += m_Pending.substr(LineEnd + 2, Size);
      m_Pending.erase(0, LineEnd + 2 + Size + 2);
      if (Size == 0)
        return ReadResult::Ok;
    }
  }
  const std::string *Length = Result.find("Content-Length");
  if (!Length && !UntilClose)
    return ReadResult::Ok;
  const size_t Wanted =
      Length ? std::strtoull(Length->c_str(), nullptr, 10) : std::string::npos;
  while (m_Pending.size() < Wanted) {
    const ReadResult Filled = fill(End);
    if (Filled == ReadResult::Closed && !Length)
      break;
    if (Filled != ReadResult::Ok)
      return Filled;
  }
  Result.m_Body = m_Pending.substr(0, Wanted);
  m_Pending.erase(0, Wanted);
  return ReadResult::Ok;
}

ReadResult Connection::readRequest(Message &Request, Milliseconds Limit) {
  const TimePoint End = SteadyClock::now() + Limit;
  const ReadResult Head = readHead(Request, End);
  return Head == ReadResult::Ok ? readBody(Request, End, false) : Head;
}

ReadResult Connection::readResponse(Message &Response, Milliseconds Limit,
                                    bool ForHead) {
  const TimePoint End = SteadyClock::now() + Limit;
  const ReadResult Head = readHead(Response, End);
  if (Head != ReadResult::Ok)
    return Head;
  if (Response.m_Start.compare(0, 9, "HTTP/1.1 ") != 0)
    return ReadResult::Malformed;
  const bool HasNoBody =
      ForHead || Response.status() == 204 || Response.status() == 304;
  return HasNoBody ? ReadResult::Ok : readBody(Response, End, true);
}

bool Connection::isClosedByPeer() const {
  char Byte = 0;
  const ssize_t Size = ::recv(m_Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EINTR);
}

void Connection::reset() {
  const linger Now{1, 0};
  ::setsockopt(m_Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  ::close(m_Socket);
  m_Socket = -1;
}

void Connection::shutdown() const { ::shutdown(m_Socket, SHUT_RDWR); }

std::unique_ptr<Connection> connectTo(int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) != 0) {
    ::close(Socket);
    return nullptr;
  }
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return std::make_unique<Connection>(Socket);
}

Listener::Listener(Serve Handler) : m_Handler(std::move(Handler)) {
  m_Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(0);
  if (::bind(m_Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(m_Socket, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  m_Port = boundPort(m_Socket);
  m_Thread = std::thread([this]() { acceptAll(); });
}

Listener::~Listener() { stop(); }

void Listener::acceptAll() {
  while (!m_IsStopped) {
    pollfd Poll{m_Socket, POLLIN, 0};
    if (::poll(&Poll, 1, 50) <= 0)
      continue;
    const int Socket = ::accept4(m_Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    const auto Peer = std::make_shared<Connection>(Socket);
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Workers.push_back({Peer, std::thread([this, Peer]() {
                           m_Handler(*Peer);
                           if (Peer->isOpen())
                             Peer->shutdown();
                         })});
  }
}

void Listener::stop() {
  if (m_IsStopped.exchange(true))
    return;
  m_Thread.join();
  ::close(m_Socket);
  std::vector<Worker> Workers;
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    Workers.swap(m_Workers);
  }
  for (const Worker &Each : Workers)
    if (Each.m_Connection->isOpen())
      Each.m_Connection->shutdown();
  for (Worker &Each : Workers)
    Each.m_Thread.join();
}

Record::Record(const std::string &Path)
    : m_File(std::fopen(Path.c_str(), "w")), m_Start(SteadyClock::now()) {
  if (!m_File) {
    std::perror(Path.c_str());
    std::exit(2);
  }
}

Record::~Record() { std::fclose(m_File); }

void Record::line(const std::string &Text) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  std::fprintf(
      m_File, "%9.3f %s\n",
      std::chrono::duration<double>(SteadyClock::now() - m_Start).count(),
      Text.c_str());
  std::fflush(m_File);
}

Store::Store(size_t RecordBytes)
    : m_RecordBytes(RecordBytes),
      m_Listener([this](Connection &Peer) { serve(Peer); }) {}

void Store::stop() {
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsStopped = true;
  }
  m_Changed.notify_all();
  m_Listener.stop();
}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  add(m_Topics[Topic], {Key, Value});
}

void Store::remove(const std::string &Topic, const std::string &Key) {
  put(Topic, Key, "");
}

void Store::add(Topic &Log, KeyValue Added) {
  if (Added.m_Value.empty())
    Log.m_Newest.erase(Added.m_Key);
  else
    Log.m_Newest[Added.m_Key] = Log.m_Records.size();
  Log.m_Records.push_back(std::move(Added));
  m_Changed.notify_all();
}

void Store::serve(Connection &Peer) {
  Message Request;
  while (Peer.readRequest(Request, std::chrono::hours(1)) == ReadResult::Ok)
    if (!Peer.write(m_IsAway ? response(503, "", "") : answer(Request)))
      return;
}

std::string Store::answer(const Message &Request) {
  const std::string Target = Request.target();
  const std::string Path = Target.substr(0, Target.find('?'));
  if (Path == "/v1/log-append")
    return append(Request);
  if (Path == "/v1/log-read")
    return read(Request);
  if (Path == "/v1/log-newest")
    return newest(Request);
  return group(Request);
}

std::string Store::append(const Message &Request) {
  const auto Query = queryOf(Request.target());
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  Topic &Log = m_Topics[Query.at("topic")];
  Json::Value Answer;
  Answer["offset"] = Json::UInt64(Log.m_Records.size());
  Answer["end"] = Json::UInt64(Log.m_Records.size());
  if (Query.count("at") > 0 && numberIn(Query, "at", 0) != Log.m_Records.size())
    return response(412, "Content-Type: application/json\r\n",
                    writeJson(Answer));
  std::vector<KeyValue> Added;
  for (size_t At = 0; At + 4 <= Request.m_Body.size();) {
    size_t Length = 0;
    for (size_t Index = 0; Index < 4; ++Index)
      Length =
          Length << 8 | static_cast<unsigned char>(Request.m_Body[At + Index]);
    At += 4;
    if (Length == 0 || Length > m_RecordBytes ||
        At + Length > Request.m_Body.size())
      return response(400, "", "");
    const size_t KeyLength = static_cast<unsigned char>(Request.m_Body[At]);
    Added.push_back(
        {Request.m_Body.substr(At + 1, KeyLength),
         Request.m_Body.substr(At + 1 + KeyLength, Length - 1 - KeyLength)});
    At += Length;
  }
  for (KeyValue &Each : Added)
    add(Log, std::move(Each));
  Answer["end"] = Json::UInt64(Log.m_Records.size());
  return response(200, "Content-Type: application/json\r\n", writeJson(Answer));
}

std::string Store::read(const Message &Request) {
  const auto Query = queryOf(Request.target());
  const std::string Name = Query.at("topic");
  const uint64_t From = numberIn(Query, "from", 0);
  const size_t MaxBytes = numberIn(Query, "max_kb", 1024) << 10;
  const TimePoint End =
      SteadyClock::now() + Milliseconds(numberIn(Query, "wait_ms", 0));
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (m_Topics[Name].m_Records.size() <= From && !m_IsStopped &&
         m_Changed.wait_until(Lock, End) != std::cv_status::timeout) {
  }
  const Topic &Log = m_Topics[Name];
  if (From > Log.m_Records.size())
    return response(410, "Content-Type: application/json\r\n", "{\"first\":0}");
  std::string Body = bigEndian(Log.m_Records.size(), 8) + bigEndian(0, 8);
  for (size_t At = From; At < Log.m_Records.size(); ++At) {
    const KeyValue &Each = Log.m_Records[At];
    if (At > From && Body.size() + Each.m_Value.size() > MaxBytes)
      break;
    Body += bigEndian(1 + Each.m_Key.size() + Each.m_Value.size(), 4) +
            static_cast<char>(Each.m_Key.size()) + Each.m_Key + Each.m_Value;
  }
  return response(200, "", Body);
}

std::string Store::newest(const Message &Request) {
  constexpr Json::ArrayIndex MaxItems = 500;
  const auto Query = queryOf(Request.target());
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const Topic &Log = m_Topics[Query.at("topic")];
  const auto After = Query.find("after");
  Json::Value Answer;
  Answer["items"] = Json::arrayValue;
  Answer["has_more"] = false;
  Answer["end"] = Json::UInt64(Log.m_Records.size());
  for (const auto &[Key, Offset] : Log.m_Newest) {
    if (After != Query.end() && Key <= After->second)
      continue;
    if (Answer["items"].size() == MaxItems) {
      Answer["has_more"] = true;
      break;
    }
    Json::Value Item;
    Item["key"] = Key;
    Item["value"] = base64(Log.m_Records[Offset].m_Value);
    Item["offset"] = Json::UInt64(Offset);
    Answer["items"].append(Item);
  }
  return response(200, "Content-Type: application/json\r\n", writeJson(Answer));
}

void Store::dropExpiredMembers() {
  const TimePoint Now = SteadyClock::now();
  bool Any = false;
  for (auto It = m_Members.begin(); It != m_Members.end();) {
    const bool IsExpired = Now >= It->second.m_Expiry;
    Any = Any || IsExpired;
    It = IsExpired ? m_Members.erase(It) : std::next(It);
  }
  if (Any)
    assignDuties();
}

void Store::assignDuties() {
  ++m_Generation;
  auto Next = m_Members.begin();
  for (size_t Number = 0; Number < m_GroupTopics.size() * DutyPartitions;
       ++Number) {
    if (Next == m_Members.end())
      Next = m_Members.begin();
    Duty &Each = m_Duties[Number];
    const std::string Former = holderOf(Number);
    if (!Former.empty())
      Each.m_Former = Former;
    Each.m_Assigned = Next == m_Members.end() ? "" : (Next++)->first;
  }
}

std::string Store::holderOf(size_t Number) {
  // A former holder gives a duty up by joining with the newest generation.
  Duty &Each = m_Duties[Number];
  const auto Former = m_Members.find(Each.m_Former);
  if (Former != m_Members.end() && Each.m_Former != Each.m_Assigned &&
      Former->second.m_Generation < m_Generation)
    return "";
  Each.m_Former.clear();
  return Each.m_Assigned;
}

std::string Store::group(const Message &Request) {
  Json::Value Call(Json::objectValue);
  if (!Request.m_Body.empty() && !parseJson(Request.m_Body, Call))
    return response(400, "", "");
  const std::string Target = Request.target();
  const std::string Path = Target.substr(0, Target.find('?'));
  const std::string Name = Call["member"].asString();
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  dropExpiredMembers();
  Json::Value Answer(Json::objectValue);
  if (Path == "/v1/log-leave") {
    if (m_Members.erase(Name) > 0)
      assignDuties();
    return response(200, "Content-Type: application/json\r\n", "{}");
  }
  if (Path == "/v1/log-join") {
    if (m_GroupTopics.empty())
      for (const Json::Value &Each : Call["topics"])
        m_GroupTopics.push_back(Each.asString());
    const bool IsNew = m_Members.count(Name) == 0;
    m_Members[Name] = {SteadyClock::now() +
                           Milliseconds(Call["ttl_ms"].asInt64()),
                       Call["generation"].asUInt64()};
    if (IsNew)
      assignDuties();
  }
  Answer["generation"] = Json::UInt64(m_Generation);
  Answer["parts"] = Json::arrayValue;
  for (size_t Number = 0; Number < m_GroupTopics.size() * DutyPartitions;
       ++Number) {
    const std::string Holder = holderOf(Number);
    if (Holder.empty() || (Path == "/v1/log-join" && Holder != Name))
      continue;
    Json::Value Row(Json::arrayValue);
    Row.append(m_GroupTopics[Number / DutyPartitions]);
    Row.append(Json::UInt64(Number % DutyPartitions));
    if (Path == "/v1/log-owners")
      Row.append(Holder);
    Row.append(0);
    Answer["parts"].append(Row);
  }
  return response(200, "Content-Type: application/json\r\n", writeJson(Answer));
}

std::string bodyFor(const std::string &RequestId) {
  std::string Body;
  for (int Line = 0; Line < 20; ++Line)
    Body += RequestId + " line " + std::to_string(Line) + "\n";
  return Body;
}

Server::Server(Options Config, Store &Platform, Record &Log)
    : m_WorkMs(static_cast<int>(Config.m_Work.count())),
      m_Config(std::move(Config)), m_Store(Platform), m_Log(Log),
      m_Born(std::chrono::duration_cast<Milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_Listener([this](Connection &Peer) { serve(Peer); }) {
  writeEntry(Milliseconds(0));
}

Server::~Server() { crash(); }

void Server::crash() {
  if (!m_IsUp.exchange(false))
    return;
  m_SlotFree.notify_all();
  m_Listener.stop();
  m_Log.line("server " + m_Config.m_Id + " crashed");
}

void Server::writeEntry(Milliseconds WarmupLeft) {
  // The entry changes only when more than the sequence changes, so heartbeats
  // of a server of which nothing else changes write no record.
  Json::Value Entry;
  Entry["service"] = m_Config.m_Service;
  Entry["address"] = address(m_Listener.port());
  Entry["zone"] = m_Config.m_Zone;
  Entry["version"] = "v1";
  Entry["slots"] = m_Config.m_Slots;
  Entry["state"] = "ready";
  Entry["warmup_remaining_ms"] = Json::Int64(WarmupLeft.count());
  Entry["sequence"] = Json::Int64(++m_Sequence);
  Entry["born"] = Json::Int64(m_Born);
  m_Store.put("keyed.servers", m_Config.m_Id, writeJson(Entry));
}

void Server::turnCold(Milliseconds Length) { writeEntry(Length); }

std::optional<uint32_t> Server::heldKey(size_t Number) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Holds.empty())
    return std::nullopt;
  const Hold &Range = m_Holds[Number % m_Holds.size()];
  return (Range.m_First + Range.m_Last) / 2;
}

uint64_t KeyWatch::begin(const std::string &Server, uint32_t Key,
                         TimePoint HeldUntil) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Works[m_Next] = {Server, Key, HeldUntil};
  return m_Next++;
}

void KeyWatch::end(uint64_t Number) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Works.erase(Number);
}

void KeyWatch::noteGiven(const std::string &Server, uint32_t First,
                         uint32_t Last) {
  const TimePoint Now = SteadyClock::now();
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  for (const auto &[Number, Each] : m_Works)
    if (Each.m_Server != Server && First <= Each.m_Key && Each.m_Key <= Last &&
        Now < Each.m_HeldUntil)
      m_OnBreach(Server + " is given key " + std::to_string(Each.m_Key) +
                 ", on which " + Each.m_Server +
                 " is still at work; that one's hold would have lasted for " +
                 std::to_string(std::chrono::duration_cast<Milliseconds>(
                                    Each.m_HeldUntil - Now)
                                    .count()) +
                 " ms more");
}

std::map<std::string, std::vector<std::string>> Server::runs() {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Runs;
}

TimePoint Server::heldUntil(uint32_t Key) const {
  TimePoint Until{};
  for (const Hold &Each : m_Holds)
    if (Each.m_First <= Key && Key <= Each.m_Last)
      Until = std::max(Until, Each.m_Expiry);
  return Until;
}

void Server::serve(Connection &Peer) {
  Message Request;
  while (m_IsUp && Peer.readRequest(Request, std::chrono::seconds(10)) ==
                       ReadResult::Ok) {
    const std::string *Expected =
        Request.find("X-Monsoonstand-Expect-Instance");
    bool HasRun = false;
    std::string Answer;
    if (Expected && *Expected != m_Config.m_Id)
      Answer = response(421, "X-Monsoonstand-Not-Executed: 1\r\n", "");
    else if (Request.target() == "/v1/grant")
      Answer = grant(Request);
    else if (Request.target() == "/v1/release")
      Answer = release(Request);
    else
      Answer = run(Peer, Request, HasRun);
    if (Answer.empty() || !m_IsUp)
      return;
    if (HasRun && m_Config.m_Respond)
      m_Config.m_Respond(Peer, Request, Answer);
    else if (!Peer.write(Answer))
      return;
    if (!Peer.isOpen())
      return;
  }
}

std::string Server::run(Connection &Peer, const Message &Request,
                        bool &HasRun) {
  const std::string *Id = Request.find("X-Monsoonstand-Request-Id");
  const std::string Echo =
      Id ? "X-Monsoonstand-Request-Id: " + *Id + "\r\n" : std::string();
  const std::string Rejected = Echo + "X-Monsoonstand-Not-Executed: 1\r\n";
  if (!Id)
    return response(400, Rejected, "");
  const std::string *KeyText = Request.find("X-Monsoonstand-Shard-Key");
  const bool HasKey = KeyText != nullptr;
  const uint32_t Key =
      HasKey
          ? static_cast<uint32_t>(std::strtoul(KeyText->c_str(), nullptr, 10))
          : 0;
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (m_Waiting >= m_Config.m_Queue)
    return response(503, Rejected, "");
  ++m_Waiting;
  m_SlotFree.wait(Lock,
                  [this]() { return m_Running < m_Config.m_Slots || !m_IsUp; });
  --m_Waiting;
  if (!m_IsUp || Peer.isClosedByPeer())
    return "";
  const TimePoint HeldUntil = heldUntil(Key);
  if (m_Config.m_IsSharded && (!HasKey || HeldUntil <= SteadyClock::now())) {
    m_SlotFree.notify_one();
    return response(421, Rejected, "");
  }
  ++m_Running;
  const std::string Start =
      Request.m_Start.substr(0, Request.m_Start.find(" HTTP"));
  m_Runs[*Id].push_back(Start);
  const uint64_t Work = m_NextWork++;
  const bool IsWatched = HasKey && m_Config.m_Watch;
  const uint64_t Watched =
      IsWatched ? m_Config.m_Watch->begin(m_Config.m_Id, Key, HeldUntil) : 0;
  if (HasKey)
    m_KeysAtWork[Work] = Key;
  const std::string Load =
      "X-Monsoonstand-Server-Load: " + std::to_string(m_Running) + "," +
      std::to_string(m_Waiting) + "," + std::to_string(m_Config.m_Slots) +
      ",100\r\n";
  Lock.unlock();
  m_Log.line("ran " + *Id + " at " + m_Config.m_Id + ", " + Start +
             ", body bytes " + std::to_string(Request.m_Body.size()));
  HasRun = true;
  const TimePoint End = SteadyClock::now() + Milliseconds(m_WorkMs.load());
  while (m_IsUp && SteadyClock::now() < End && !Peer.isClosedByPeer())
    std::this_thread::sleep_for(Milliseconds(2));
  Lock.lock();
  --m_Running;
  m_KeysAtWork.erase(Work);
  if (IsWatched)
    m_Config.m_Watch->end(Watched);
  m_SlotFree.notify_all();
  Lock.unlock();
  const std::string Fields =
      Echo + "X-Monsoonstand-Server-Signature: " + m_Config.m_Id + "." + *Id +
      "\r\n" + Load;
  if (Request.m_Start.compare(0, 5, "HEAD ") != 0)
    return response(200, Fields, bodyFor(*Id));
  return "HTTP/1.1 200 OK\r\n" + Fields +
         "Content-Length: " + std::to_string(bodyFor(*Id).size()) + "\r\n\r\n";
}

std::string Server::grant(const Message &Request) {
  Json::Value Call;
  if (!parseJson(Request.m_Body, Call))
    return response(400, "", "");
  const std::string *Id = Request.find("X-Monsoonstand-Request-Id");
  const std::string Echo =
      Id ? "X-Monsoonstand-Request-Id: " + *Id + "\r\n" : std::string();
  const TimePoint Now = SteadyClock::now();
  const Hold Next{Call["from"].asUInt(), Call["target"].asUInt(),
                  Call["fence"].asUInt64(),
                  Now + Milliseconds(Call["hold_ms"].asInt64())};
  const auto Overlaps = [&Next](const Hold &Each) {
    return Each.m_First <= Next.m_Last && Next.m_First <= Each.m_Last;
  };
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  for (const Hold &Each : m_Seen)
    if (Overlaps(Each) && Each.m_Fence > Next.m_Fence)
      return response(409, Echo, "");
  m_Seen.erase(std::remove_if(m_Seen.begin(), m_Seen.end(),
                              [&Next](const Hold &Each) {
                                return Next.m_First <= Each.m_First &&
                                       Each.m_Last <= Next.m_Last &&
                                       Each.m_Fence <= Next.m_Fence;
                              }),
               m_Seen.end());
  m_Seen.push_back(Next);
  m_Holds.erase(
      std::remove_if(m_Holds.begin(), m_Holds.end(),
                     [&](const Hold &Each) { return Each.m_Expiry <= Now; }),
      m_Holds.end());
  const bool IsNew =
      std::none_of(m_Holds.begin(), m_Holds.end(), [&Next](const Hold &Each) {
        return Each.m_First <= Next.m_First && Next.m_Last <= Each.m_Last;
      });
  m_Holds.push_back(Next);
  if (IsNew)
    m_Log.line("granted " + std::to_string(Next.m_First) + ".." +
               std::to_string(Next.m_Last) + ", fence " +
               std::to_string(Next.m_Fence) + " to " + m_Config.m_Id);
  if (m_Config.m_Watch)
    m_Config.m_Watch->noteGiven(m_Config.m_Id, Next.m_First, Next.m_Last);
  return response(200, Echo, "");
}

std::string Server::release(const Message &Request) {
  Json::Value Call;
  if (!parseJson(Request.m_Body, Call))
    return response(400, "", "");
  const uint32_t First = Call["from"].asUInt();
  const uint32_t Last = Call["target"].asUInt();
  std::unique_lock<std::mutex> Lock(m_Mutex);
  std::vector<Hold> Kept;
  for (const Hold &Each : m_Holds) {
    if (Each.m_Last < First || Last < Each.m_First) {
      Kept.push_back(Each);
      continue;
    }
    if (Each.m_First < First)
      Kept.push_back({Each.m_First, First - 1, Each.m_Fence, Each.m_Expiry});
    if (Each.m_Last > Last)
      Kept.push_back({Last + 1, Each.m_Last, Each.m_Fence, Each.m_Expiry});
  }
  m_Holds = std::move(Kept);
  // Answered when the work that runs now has ended; work that begins after a
  // later grant of the same keys does not matter.
  std::vector<uint64_t> Running;
  for (const auto &[Work, Key] : m_KeysAtWork)
    if (First <= Key && Key <= Last)
      Running.push_back(Work);
  const std::string What = "release of " + std::to_string(First) + ".." +
                           std::to_string(Last) + ", fence " +
                           Call["fence"].asString() + " at " + m_Config.m_Id;
  m_Log.line(What + ", " + std::to_string(Running.size()) + " at work");
  m_SlotFree.wait(Lock, [&]() {
    return !m_IsUp ||
           std::none_of(Running.begin(), Running.end(), [this](uint64_t Work) {
             return m_KeysAtWork.count(Work) > 0;
           });
  });
  m_Log.line("answered: " + What);
  const std::string *Id = Request.find("X-Monsoonstand-Request-Id");
  return response(
      200,
      (Id ? "X-Monsoonstand-Request-Id: " + *Id + "\r\n" : std::string()) +
          "X-Monsoonstand-Handover: " + m_Config.m_Id + "\r\n",
      "");
}

EntryHost::EntryHost(std::string Repository, std::string Folder,
                     std::string Name, std::string Zone, int StorePort)
    : m_Repository(std::move(Repository)), m_Folder(std::move(Folder)),
      m_Name(std::move(Name)), m_Zone(std::move(Zone)), m_StorePort(StorePort),
      m_CallerPort(freePort(SOCK_STREAM)), m_ReadyPort(freePort(SOCK_STREAM)),
      m_MetricsPort(freePort(SOCK_STREAM)), m_PeerPort(freePort(SOCK_DGRAM)) {}

EntryHost::~EntryHost() {
  int Status = 0;
  if (m_Pid == 0 || hasEnded(Status))
    return;
  ::kill(m_Pid, SIGCONT);
  ::kill(m_Pid, SIGKILL);
  ::waitpid(m_Pid, nullptr, 0);
  replacePid(m_Pid, 0);
}

void killAllEntryHosts() {
  for (const std::atomic<int> &Each : RunningHosts)
    if (const int Pid = Each.load())
      ::kill(Pid, SIGKILL);
}

bool EntryHost::start() {
  std::string Settings = m_Folder + "/" + m_Name + ".json";
  std::ofstream(Settings)
      << "{\"host\":\"" << m_Name << "\",\"failure_domain\":\"" << m_Zone
      << "\",\"callers\":\"" << address(m_CallerPort) << "\",\"readiness\":\""
      << address(m_ReadyPort) << "\",\"metrics\":\"" << address(m_MetricsPort)
      << "\",\"peers\":\"" << address(m_PeerPort) << "\",\"log\":\""
      << address(m_StorePort)
      << "\",\"log_partitions\":12,\"retry_ratio\":0.2,\"retry_slack\":56,"
         "\"link_mbps\":1000.0,\"retry_window_s\":10,\"longest_hold_ms\":10000,"
         "\"config_apply_ms\":2000,\"stop_limit_s\":6,\"log_level\":\"info\"}"
         "\n";
  std::string Program = m_Repository + "/target/src/monsoonstand/monsoonstand";
  std::string Option = "--gateway";
  char *Arguments[] = {Program.data(), Option.data(), Settings.data(), nullptr};
  const std::string Log = m_Folder + "/" + m_Name + ".log";
  const int Parent = ::getpid();
  m_Pid = ::fork();
  if (m_Pid == 0) {
    // Ends with the script, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != Parent)
      ::_exit(2);
    const int File =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(File, STDOUT_FILENO);
    ::dup2(File, STDERR_FILENO);
    ::signal(SIGPIPE, SIG_DFL);
    ::execv(Program.c_str(), Arguments);
    ::_exit(127);
  }
  if (m_Pid < 0) {
    m_Pid = 0;
    return false;
  }
  replacePid(0, m_Pid);
  return true;
}

bool EntryHost::isReady() const {
  const auto Peer = connectTo(m_ReadyPort);
  Message Answer;
  return Peer &&
         Peer->write("GET /v1/ready HTTP/1.1\r\nHost: " + address(m_ReadyPort) +
                     "\r\n\r\n") &&
         Peer->readResponse(Answer, Milliseconds(1000), false) ==
             ReadResult::Ok &&
         Answer.status() == 200;
}

void EntryHost::signal(int Number) const {
  if (m_Pid > 0)
    ::kill(m_Pid, Number);
}

bool EntryHost::hasEnded(int &Status) {
  if (m_Pid == 0 || ::waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return m_Pid == 0;
  replacePid(m_Pid, 0);
  m_Pid = 0;
  return true;
}

long EntryHost::statusField(const char *Name) const {
  std::ifstream File("/proc/" + std::to_string(m_Pid) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.compare(0, std::strlen(Name), Name) == 0)
      return std::atol(Line.c_str() + std::strlen(Name) + 1);
  return 0;
}

long EntryHost::residentKb() const { return statusField("VmRSS"); }

long EntryHost::peakKb() const { return statusField("VmHWM"); }

std::string configText(int Version, size_t MaxBodyBytes) {
  Json::Value Config;
  Config["version"] = Version;
  Json::Value &Limits = Config["limits"];
  Limits["max_header_bytes"] = 16'384;
  Limits["max_body_bytes"] = Json::UInt64(MaxBodyBytes);
  Limits["header_timeout_ms"] = 3000;
  Limits["idle_timeout_ms"] = 15'000;
  Json::Value Listener;
  Listener["host"] = "shop.example";
  const auto AddRule = [&Listener](const char *Name, const char *Kind,
                                   const char *Prefix, const char *Service,
                                   int TimeoutMs, int Priority) {
    Json::Value Rule;
    Rule["name"] = Name;
    Rule["kind"] = Kind;
    Rule["target_latency_ms"] = TimeoutMs / 2;
    Rule["priority"] = Priority;
    Rule["match"]["path_prefix"] = Prefix;
    Rule["action"]["service"] = Service;
    Rule["action"]["timeout_ms"] = TimeoutMs;
    Rule["action"]["max_attempts"] = 2;
    Listener["rule_set"].append(Rule);
  };
  AddRule("r-look", "safe", "/look/", "keyed", 1500, 2);
  AddRule("r-read", "safe", "/read/", "reads", 1500, 2);
  AddRule("r-order", "unsafe", "/order/", "orders", 2000, 1);
  Config["listeners"].append(Listener);
  for (const char *Name : {"keyed", "reads", "orders"}) {
    Json::Value Cluster;
    Cluster["name"] = Name;
    Cluster["health_path"] = "/health";
    Cluster["max_connections"] = 110;
    Cluster["protocol"] = "h1";
    Cluster["tls"] = false;
    Cluster["warmup_s"] = 3.0;
    Cluster["warmup_per_s"] = 9.6;
    if (std::string(Name) == "keyed") {
      Cluster["sharded"] = true;
      Cluster["warm_s"] = 3.0;
      Cluster["grants"] = "call";
    }
    Config["clusters"].append(Cluster);
  }
  return writeJson(Config);
}

bool waitFor(Milliseconds Limit, const std::function<bool()> &Condition) {
  const TimePoint End = SteadyClock::now() + Limit;
  while (SteadyClock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return Condition();
}

} // namespace review
