#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace world {

namespace {

const Clock::time_point Start = Clock::now();

sockaddr_in socketAddress(const Address &From) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<uint16_t>(From.m_Port));
  inet_pton(AF_INET, From.m_Ip.c_str(), &Result.sin_addr);
  return Result;
}

std::string lower(std::string Text) {
  for (char &Each : Text)
    Each = static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
  return Text;
}

std::string trim(const std::string &Text) {
  const size_t First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

std::string httpResponse(int Status, const std::string &Fields,
                         const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string base64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (size_t At = 0; At < Bytes.size(); At += 3) {
    uint32_t Value = 0;
    for (size_t Index = 0; Index < 3; ++Index)
      Value = Value << 8 | (At + Index < Bytes.size()
                                ? static_cast<unsigned char>(Bytes[At + Index])
                                : 0u);
    for (size_t Index = 0; Index < 4; ++Index)
      Result += At + Index > Bytes.size()
                    ? '='
                    : Digits[Value >> (6 * (3 - Index)) & 63];
  }
  return Result;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const size_t Mark = Target.find('?');
  if (Mark == std::string::npos)
    return Result;
  std::stringstream Parts(Target.substr(Mark + 1));
  std::string Each;
  while (std::getline(Parts, Each, '&')) {
    const size_t Equal = Each.find('=');
    std::string Value;
    for (size_t At = Equal + 1; At < Each.size(); ++At)
      if (Each[At] == '%' && At + 2 < Each.size()) {
        Value += static_cast<char>(
            std::strtol(Each.substr(At + 1, 2).c_str(), nullptr, 16));
        At += 2;
      } else {
        Value += Each[At];
      }
    Result[Each.substr(0, Equal)] = Value;
  }
  return Result;
}

/// The text or number behind "name": in a flat JSON object.
std::string jsonField(const std::string &Text, const std::string &Name) {
  size_t At = Text.find("\"" + Name + "\"");
  if (At == std::string::npos)
    return "";
  At = Text.find(':', At) + 1;
  while (At < Text.size() && Text[At] == ' ')
    ++At;
  if (Text[At] == '"')
    return Text.substr(At + 1, Text.find('"', At + 1) - At - 1);
  return Text.substr(At, Text.find_first_of(",}] \n", At) - At);
}

std::vector<std::string> jsonTexts(const std::string &Text,
                                   const std::string &Name) {
  std::vector<std::string> Result;
  size_t At = Text.find("\"" + Name + "\"");
  if (At == std::string::npos)
    return Result;
  At = Text.find('[', At);
  const size_t End = Text.find(']', At);
  while ((At = Text.find('"', At)) < End) {
    const size_t Close = Text.find('"', At + 1);
    Result.push_back(Text.substr(At + 1, Close - At - 1));
    At = Close + 1;
  }
  return Result;
}

std::string jsonText(const std::string &Text) {
  std::string Result = "\"";
  for (const char Each : Text) {
    if (Each == '"' || Each == '\\')
      Result += '\\';
    Result += Each;
  }
  return Result + "\"";
}

std::string bigEndian(uint64_t Value, int Bytes) {
  std::string Result;
  for (int Index = Bytes - 1; Index >= 0; --Index)
    Result += static_cast<char>(Value >> (8 * Index) & 0xff);
  return Result;
}

} // namespace

void bindToScript() {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const char *Script = std::getenv("SCRIPT_PID");
  if (Script && std::atoi(Script) != getppid())
    std::_Exit(2);
  alarm(118);
}

double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

void sleepMs(int64_t Length) { std::this_thread::sleep_for(Millis(Length)); }

Record::Record(const std::string &Path)
    : m_File(std::fopen(Path.c_str(), "w")) {
  if (!m_File)
    std::exit(2);
}

void Record::line(const char *Format, ...) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  std::fprintf(m_File, "%9.3f ", now());
  va_list Arguments;
  va_start(Arguments, Format);
  std::vfprintf(m_File, Format, Arguments);
  va_end(Arguments);
  std::fputc('\n', m_File);
  std::fflush(m_File);
}

std::string Message::field(const std::string &Name) const {
  const auto Found = m_Fields.find(lower(Name));
  return Found == m_Fields.end() ? "" : Found->second;
}

Stream::~Stream() {
  if (m_Descriptor >= 0)
    ::close(m_Descriptor);
}

void Stream::reset() {
  const linger Hard{1, 0};
  setsockopt(m_Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
  ::close(m_Descriptor);
  m_Descriptor = -1;
}

bool Stream::fill(int TimeoutMs) {
  pollfd Poll{m_Descriptor, POLLIN, 0};
  if (m_Descriptor < 0 || poll(&Poll, 1, TimeoutMs) <= 0)
    return false;
  char Bytes[65536];
  const ssize_t Size = ::recv(m_Descriptor, Bytes, sizeof(Bytes), 0);
  if (Size <= 0)
    return false;
  m_Received += static_cast<size_t>(Size);
  m_Buffer.append(Bytes, static_cast<size_t>(Size));
  return true;
}

bool Stream::read(Message &Result, int TimeoutMs, bool HasBody) {
  Result = Message();
  size_t End;
  while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(TimeoutMs))
      return false;
  std::stringstream Lines(m_Buffer.substr(0, End + 2));
  m_Buffer.erase(0, End + 4);
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Result.m_Start.empty()) {
      Result.m_Start = Line;
      continue;
    }
    const size_t Colon = Line.find(':');
    if (Colon != std::string::npos)
      Result.m_Fields[lower(Line.substr(0, Colon))] =
          trim(Line.substr(Colon + 1));
  }
  if (!HasBody)
    return true;
  size_t Length =
      std::strtoull(Result.field("Content-Length").c_str(), nullptr, 10);
  while (m_Buffer.size() < Length)
    if (!fill(TimeoutMs))
      return false;
  Result.m_Body = m_Buffer.substr(0, Length);
  m_Buffer.erase(0, Length);
  return true;
}

bool Stream::write(const std::string &Bytes) {
  size_t At = 0;
  while (At < Bytes.size()) {
    const ssize_t Size = ::send(m_Descriptor, Bytes.data() + At,
                                Bytes.size() - At, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    At += static_cast<size_t>(Size);
  }
  return true;
}

std::unique_ptr<Stream> connectTo(const Address &To, int TimeoutMs) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Result = std::make_unique<Stream>(Descriptor);
  const int Flags = fcntl(Descriptor, F_GETFL);
  fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  const sockaddr_in Peer = socketAddress(To);
  if (connect(Descriptor, reinterpret_cast<const sockaddr *>(&Peer),
              sizeof(Peer)) != 0) {
    pollfd Poll{Descriptor, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof(Error);
    if (errno != EINPROGRESS || poll(&Poll, 1, TimeoutMs) <= 0 ||
        getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
        Error != 0)
      return nullptr;
  }
  fcntl(Descriptor, F_SETFL, Flags);
  const int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Result;
}

Listener::Listener(const std::string &Ip, Handler Serve)
    : m_Serve(std::move(Serve)) {
  m_Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Own = socketAddress({Ip, 0});
  socklen_t Size = sizeof(Own);
  if (bind(m_Descriptor, reinterpret_cast<sockaddr *>(&Own), Size) != 0 ||
      listen(m_Descriptor, 512) != 0 ||
      getsockname(m_Descriptor, reinterpret_cast<sockaddr *>(&Own), &Size) != 0)
    std::exit(2);
  m_Address = {Ip, ntohs(Own.sin_port)};
  m_Thread = std::thread([this]() {
    while (true) {
      const int Accepted =
          accept4(m_Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0 && errno != ECONNABORTED && errno != EINTR)
        return;
      if (Accepted < 0)
        continue;
      const int On = 1;
      setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([this, Accepted]() {
        Stream Connection(Accepted);
        m_Serve(Connection);
      }).detach();
    }
  });
}

Listener::~Listener() {
  ::shutdown(m_Descriptor, SHUT_RDWR);
  ::close(m_Descriptor);
  m_Thread.join();
}

int freePort(const std::string &Ip) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Own = socketAddress({Ip, 0});
  socklen_t Size = sizeof(Own);
  if (bind(Descriptor, reinterpret_cast<sockaddr *>(&Own), Size) != 0 ||
      getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Own), &Size) != 0)
    std::exit(2);
  ::close(Descriptor);
  return ntohs(Own.sin_port);
}

Store::Store(const std::string &Ip)
    : m_Listener(std::make_unique<Listener>(
          Ip, [this](Stream &Connection) { serve(Connection); })) {}

void Store::addRow(Topic &To, Row Added) {
  To.m_Newest[Added.m_Key] = To.m_Rows.size();
  To.m_Rows.push_back(std::move(Added));
}

void Store::put(const std::string &TopicName, const std::string &Key,
                const std::optional<std::string> &Value) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  Row Added{Key, Value,
            std::string(1, static_cast<char>(Key.size())) + Key +
                Value.value_or("")};
  addRow(m_Topics[TopicName], std::move(Added));
  m_Changed.notify_all();
}

std::optional<std::string> Store::newest(const std::string &TopicName,
                                         const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  Topic &From = m_Topics[TopicName];
  const auto Found = From.m_Newest.find(Key);
  if (Found == From.m_Newest.end())
    return std::nullopt;
  return From.m_Rows[Found->second].m_Value;
}

void Store::serve(Stream &Connection) {
  Message Request;
  while (Connection.read(Request, 60000)) {
    sleepMs(4);
    if (!Connection.write(answer(Request)))
      return;
  }
}

std::string Store::answer(const Message &Request) {
  std::stringstream Start(Request.m_Start);
  std::string Method, Target;
  Start >> Method >> Target;
  const std::string Path = Target.substr(0, Target.find('?'));
  const auto Query = parseQuery(Target);
  if (Path == "/v1/log-append")
    return append(Query, Request.m_Body);
  if (Path == "/v1/log-read")
    return readRows(Query);
  if (Path == "/v1/log-newest")
    return readNewest(Query);
  if (Path == "/v1/log-join")
    return join(Request.m_Body);
  const std::string Json = "Content-Type: application/json\r\n";
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  if (Path == "/v1/log-leave") {
    m_Members.erase(jsonField(Request.m_Body, "member"));
    ++m_Generation;
    dealParts();
    return httpResponse(200, Json, "{}");
  }
  if (Path == "/v1/log-owners") {
    std::string Rows;
    for (const auto &[Name, Each] : m_Parts)
      if (!Each.m_Owner.empty())
        Rows += (Rows.empty() ? "[" : ",[") + jsonText(Name.first) + "," +
                std::to_string(Name.second) + "," + jsonText(Each.m_Owner) +
                ",0]";
    return httpResponse(200, Json, "{\"parts\":[" + Rows + "]}");
  }
  return httpResponse(404, Json, "{}");
}

std::string Store::append(const std::map<std::string, std::string> &Query,
                          const std::string &Body) {
  sleepMs(2);
  const std::string Json = "Content-Type: application/json\r\n";
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  Topic &To = m_Topics[Query.at("topic")];
  const auto At = Query.find("at");
  if (At != Query.end() &&
      std::strtoull(At->second.c_str(), nullptr, 10) != To.m_Rows.size())
    return httpResponse(412, Json,
                        "{\"end\":" + std::to_string(To.m_Rows.size()) + "}");
  std::vector<Row> Added;
  for (size_t Read = 0; Read + 4 <= Body.size();) {
    uint32_t Length = 0;
    for (int Index = 0; Index < 4; ++Index)
      Length = Length << 8 | static_cast<unsigned char>(Body[Read++]);
    m_LargestRecord = std::max<size_t>(m_LargestRecord, Length);
    if (Length > m_RecordBytes) {
      ++m_RefusedRecords;
      return httpResponse(400, Json, "{\"why\":\"record too long\"}");
    }
    Row Next;
    Next.m_Raw = Body.substr(Read, Length);
    Read += Length;
    const size_t KeyBytes = static_cast<unsigned char>(Next.m_Raw[0]);
    Next.m_Key = Next.m_Raw.substr(1, KeyBytes);
    if (Next.m_Raw.size() > KeyBytes + 1)
      Next.m_Value = Next.m_Raw.substr(1 + KeyBytes);
    Added.push_back(std::move(Next));
  }
  const size_t Offset = To.m_Rows.size();
  for (Row &Each : Added)
    addRow(To, std::move(Each));
  m_Changed.notify_all();
  return httpResponse(200, Json,
                      "{\"offset\":" + std::to_string(Offset) +
                          ",\"end\":" + std::to_string(To.m_Rows.size()) + "}");
}

std::string Store::readRows(const std::map<std::string, std::string> &Query) {
  const auto number = [&Query](const char *Name, uint64_t Default) {
    const auto Found = Query.find(Name);
    return Found == Query.end()
               ? Default
               : std::strtoull(Found->second.c_str(), nullptr, 10);
  };
  std::unique_lock<std::mutex> Lock(m_Mutex);
  Topic &From = m_Topics[Query.at("topic")];
  const uint64_t First = number("from", 0);
  if (First > From.m_Rows.size())
    return httpResponse(410, "Content-Type: application/json\r\n",
                        "{\"first\":0}");
  m_Changed.wait_for(Lock, Millis(number("wait_ms", 0)),
                     [&]() { return From.m_Rows.size() > First; });
  std::string Body = bigEndian(From.m_Rows.size(), 8) + bigEndian(0, 8);
  const uint64_t Most = number("max_kb", 1024) << 10;
  for (uint64_t At = First; At < From.m_Rows.size(); ++At) {
    const std::string &Raw = From.m_Rows[At].m_Raw;
    if (At > First && Body.size() + Raw.size() + 4 > Most)
      break;
    Body += bigEndian(Raw.size(), 4) + Raw;
  }
  return httpResponse(200, "Content-Type: application/octet-stream\r\n", Body);
}

std::string Store::readNewest(const std::map<std::string, std::string> &Query) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  Topic &From = m_Topics[Query.at("topic")];
  const auto After = Query.find("after");
  auto It = After == Query.end() ? From.m_Newest.begin()
                                 : From.m_Newest.upper_bound(After->second);
  std::string Items;
  size_t Count = 0;
  for (; It != From.m_Newest.end() && Count < 500 && Items.size() < 1000000;
       ++It) {
    const Row &Each = From.m_Rows[It->second];
    if (!Each.m_Value)
      continue;
    ++Count;
    Items += (Items.empty() ? "{\"key\":" : ",{\"key\":") +
             jsonText(Each.m_Key) + ",\"value\":\"" + base64(*Each.m_Value) +
             "\",\"offset\":" + std::to_string(It->second) + "}";
  }
  return httpResponse(
      200, "Content-Type: application/json\r\n",
      "{\"items\":[" + Items +
          "],\"has_more\":" + (It == From.m_Newest.end() ? "false" : "true") +
          ",\"end\":" + std::to_string(From.m_Rows.size()) + "}");
}

void Store::dealParts() {
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : m_Members)
    Names.push_back(Name);
  size_t Index = 0;
  for (auto &[Name, Each] : m_Parts) {
    if (!Each.m_Owner.empty() && m_Members.count(Each.m_Owner) == 0)
      Each.m_Owner.clear();
    const std::string Wanted =
        Names.empty() ? "" : Names[Index++ % Names.size()];
    Each.m_Next = Wanted;
    Each.m_Generation = m_Generation;
    if (Each.m_Owner.empty())
      Each.m_Owner = Wanted;
  }
}

std::string Store::join(const std::string &Body) {
  constexpr int PartsPerTopic = 12;
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Time = Clock::now();
  const std::string Name = jsonField(Body, "member");
  const uint64_t Known =
      std::strtoull(jsonField(Body, "generation").c_str(), nullptr, 10);
  bool HasChanged = false;
  for (auto It = m_Members.begin(); It != m_Members.end();) {
    const bool HasLapsed = It->first != Name && Time >= It->second.m_Until;
    HasChanged = HasChanged || HasLapsed;
    It = HasLapsed ? m_Members.erase(It) : std::next(It);
  }
  HasChanged = HasChanged || m_Members.count(Name) == 0;
  for (const std::string &Each : jsonTexts(Body, "topics"))
    if (m_GroupTopics.insert(Each).second)
      for (int Part = 0; Part < PartsPerTopic; ++Part)
        m_Parts[{Each, Part}] = {};
  Member &Own = m_Members[Name];
  Own.m_Until = Time + Millis(std::strtoll(jsonField(Body, "ttl_ms").c_str(),
                                           nullptr, 10));
  Own.m_Generation = Known;
  if (HasChanged) {
    ++m_Generation;
    dealParts();
  }
  std::string Rows;
  for (auto &[Id, Each] : m_Parts) {
    // The former owner has learnt that the partition is no longer its own.
    if (Each.m_Owner == Name && Each.m_Next != Name &&
        Known >= Each.m_Generation)
      Each.m_Owner = Each.m_Next;
    if (Each.m_Owner == Name && Each.m_Next == Name)
      Rows += (Rows.empty() ? "[" : ",[") + jsonText(Id.first) + "," +
              std::to_string(Id.second) + ",0]";
  }
  return httpResponse(200, "Content-Type: application/json\r\n",
                      "{\"generation\":" + std::to_string(m_Generation) +
                          ",\"ttl_ms\":1500,\"parts\":[" + Rows + "]}");
}

Server::Server(Options Config, Store &Platform, Record &Out)
    : m_Config(std::move(Config)), m_Store(Platform), m_Record(Out),
      m_Born(std::chrono::duration_cast<Millis>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_Listener(std::make_unique<Listener>(
          m_Config.m_Ip, [this](Stream &Connection) { serve(Connection); })),
      m_Heartbeat([this]() { heartbeat(); }) {}

Server::~Server() {
  m_Stopped = true;
  m_Heartbeat.join();
}

void Server::heartbeat() {
  int64_t Sequence = 0;
  std::string Written;
  while (!m_Stopped) {
    const std::string State =
        "{\"service\":\"" + m_Config.m_Service + "\",\"address\":\"" +
        address().text() + "\",\"zone\":\"" + m_Config.m_Zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_Config.m_Slots) +
        ",\"state\":\"ready\",\"warmup_remaining_ms\":0,\"born\":" +
        std::to_string(m_Born);
    ++Sequence;
    if (State != Written)
      m_Store.put("keyed.servers", m_Config.m_Id,
                  State + ",\"sequence\":" + std::to_string(Sequence) + "}");
    Written = State;
    for (int Slept = 0; Slept < m_Config.m_HeartbeatMs && !m_Stopped;
         Slept += 50)
      sleepMs(50);
  }
}

bool Server::holds(uint32_t Key) {
  const auto Time = Clock::now();
  return std::any_of(m_Holds.begin(), m_Holds.end(), [&](const Hold &Each) {
    return Each.m_First <= Key && Key <= Each.m_Last && Time < Each.m_Until;
  });
}

size_t Server::heldRanges() {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Time = Clock::now();
  return static_cast<size_t>(
      std::count_if(m_Holds.begin(), m_Holds.end(),
                    [&](const Hold &Each) { return Time < Each.m_Until; }));
}

std::string Server::control(const Message &Request, bool IsRelease) {
  const auto number = [&Request](const char *Name) {
    return std::strtoull(jsonField(Request.m_Body, Name).c_str(), nullptr, 10);
  };
  const auto First = static_cast<uint32_t>(number("from"));
  const auto Last = static_cast<uint32_t>(number("target"));
  const uint64_t Fence = number("fence");
  const std::string Fields = "X-Monsoonstand-Request-Id: " +
                             Request.field("X-Monsoonstand-Request-Id") +
                             "\r\nKeep-Alive: timeout=10\r\n";
  std::unique_lock<std::mutex> Lock(m_Mutex);
  std::vector<Hold> Kept;
  if (!IsRelease) {
    ++m_Grants;
    for (const Hold &Each : m_Holds)
      if (Each.m_First <= Last && First <= Each.m_Last && Each.m_Fence > Fence)
        return httpResponse(409, Fields, "");
  }
  // What is granted replaces what was held of these keys; a release ends it.
  for (const Hold &Each : m_Holds) {
    if (Each.m_First > Last || First > Each.m_Last) {
      Kept.push_back(Each);
      continue;
    }
    if (Each.m_First < First)
      Kept.push_back({Each.m_First, First - 1, Each.m_Fence, Each.m_Until});
    if (Each.m_Last > Last)
      Kept.push_back({Last + 1, Each.m_Last, Each.m_Fence, Each.m_Until});
  }
  if (!IsRelease)
    Kept.push_back(
        {First, Last, Fence, Clock::now() + Millis(number("hold_ms"))});
  m_Holds = std::move(Kept);
  if (!IsRelease)
    return httpResponse(200, Fields, "");
  ++m_Releases;
  m_SlotFree.wait(Lock, [&]() {
    return std::none_of(m_RunningKeys.begin(), m_RunningKeys.end(),
                        [&](const auto &Each) {
                          return First <= Each.first && Each.first <= Last;
                        });
  });
  return httpResponse(
      200, Fields + "X-Monsoonstand-Handover: " + newId() + "\r\n", "");
}

std::string Server::run(const Message &Request) {
  const std::string Id = Request.field("X-Monsoonstand-Request-Id");
  const std::string Fields =
      "X-Monsoonstand-Request-Id: " + Id + "\r\nKeep-Alive: timeout=10\r\n";
  const std::string Refused = Fields + "X-Monsoonstand-Not-Executed: 1\r\n";
  const std::string KeyText = Request.field("X-Monsoonstand-Shard-Key");
  const auto Key =
      static_cast<uint32_t>(std::strtoul(KeyText.c_str(), nullptr, 10));
  std::unique_lock<std::mutex> Lock(m_Mutex);
  const auto load = [this]() {
    return "X-Monsoonstand-Server-Load: " + std::to_string(m_Running) + "," +
           std::to_string(m_Waiting) + "," + std::to_string(m_Config.m_Slots) +
           "," + std::to_string(static_cast<int>(100 / m_Config.m_Speed)) +
           "\r\n";
  };
  if (Id.empty())
    return httpResponse(400, Refused, "");
  if (m_Config.m_Sharded && !holds(Key)) {
    ++m_Misdirected;
    return httpResponse(421, Refused + load(), "");
  }
  if (m_Waiting >= 16)
    return httpResponse(503, Refused + load(), "");
  ++m_Waiting;
  m_SlotFree.wait(Lock, [this]() { return m_Running < m_Config.m_Slots; });
  --m_Waiting;
  if (m_Config.m_Sharded && !holds(Key)) {
    ++m_Misdirected;
    m_SlotFree.notify_all();
    return httpResponse(421, Refused + load(), "");
  }
  ++m_Running;
  ++m_Runs;
  const int Mark = m_Runs;
  m_RunningKeys.emplace_back(m_Config.m_Sharded ? Key : 0x10000u, Mark);
  m_Record.line("%s: runs at %s", Id.c_str(), m_Config.m_Id.c_str());
  if (m_OnRun)
    m_OnRun(Id);
  Lock.unlock();
  sleepMs(static_cast<int64_t>(m_Config.m_WorkMs / m_Config.m_Speed));
  Lock.lock();
  --m_Running;
  m_RunningKeys.erase(
      std::find_if(m_RunningKeys.begin(), m_RunningKeys.end(),
                   [Mark](const auto &Each) { return Each.second == Mark; }));
  m_SlotFree.notify_all();
  return httpResponse(200,
                      Fields + load() + "X-Monsoonstand-Server-Signature: " +
                          m_Config.m_Id + "." + Id + "\r\n",
                      "run by " + m_Config.m_Id + " for " + Id + "\n");
}

void Server::serve(Stream &Connection) {
  Message Request;
  while (Connection.read(Request, 10000)) {
    std::stringstream Start(Request.m_Start);
    std::string Method, Target;
    Start >> Method >> Target;
    const std::string Expected =
        Request.field("X-Monsoonstand-Expect-Instance");
    if (!Expected.empty() && Expected != m_Config.m_Id) {
      if (!Connection.write(
              httpResponse(421,
                           "X-Monsoonstand-Request-Id: " +
                               Request.field("X-Monsoonstand-Request-Id") +
                               "\r\nX-Monsoonstand-Not-Executed: 1\r\n"
                               "X-Monsoonstand-Instance-Id: " +
                               m_Config.m_Id + "\r\n",
                           "")))
        return;
      continue;
    }
    if (Target == "/health") {
      if (!Connection.write(httpResponse(
              200, "X-Monsoonstand-Instance-Id: " + m_Config.m_Id + "\r\n",
              "")))
        return;
      continue;
    }
    const bool IsRelease = Target == "/v1/release";
    if (!IsRelease && Target != "/v1/grant") {
      if (m_Endless &&
          m_Endless(Connection, Request.field("X-Monsoonstand-Request-Id")))
        return;
      if (!Connection.write(run(Request)))
        return;
      continue;
    }
    const std::string Answer = control(Request, IsRelease);
    if (m_GrantAnswer && m_GrantAnswer(IsRelease) == GrantAnswer::Endless) {
      m_SendEndless(Connection);
      return;
    }
    if (!Connection.write(Answer))
      return;
  }
}

Host::Host(Options Config, const Address &Platform, Record &Out)
    : m_Config(std::move(Config)), m_Store(Platform), m_Record(Out),
      m_CallerPort(freePort(m_Config.m_Ip)),
      m_ReadyPort(freePort(m_Config.m_Ip)),
      m_PeerPort(freePort(m_Config.m_Ip)) {}

Host::~Host() { stop(); }

std::string Host::settings() const {
  std::ifstream File("deploy/settings.json.in");
  std::stringstream Read;
  Read << File.rdbuf();
  std::string Text = Read.str();
  std::map<std::string, std::string> Values = {
      {"node", m_Config.m_Name},
      {"zone", m_Config.m_Zone},
      {"listen.front", callers().text()},
      {"listen.ready_address",
       m_Config.m_Ip + ":" + std::to_string(m_ReadyPort)},
      {"ip", m_Config.m_Ip},
      {"internal_port_range.0", std::to_string(m_PeerPort)},
      {"platform.address", m_Store.text()},
      {"platform.parts", "12"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.retry_budget_slack", "56"},
      {"limits.link_mbps", std::to_string(m_Config.m_LinkMbps)},
      {"bounds.budget_window_s", "10"},
      {"bounds.hold_max_ms", "10000"},
      {"bounds.config_apply_ms", "2000"},
      {"bounds.grace_s", "6"}};
  for (const auto &[Name, Value] : m_Config.m_Values)
    Values[Name] = Value;
  // Sections of values that this deployment has not.
  size_t At;
  while ((At = Text.find("{{#")) != std::string::npos) {
    const size_t NameEnd = Text.find("}}", At);
    const std::string Name = Text.substr(At + 3, NameEnd - At - 3);
    const std::string Close = "{{/" + Name + "}}";
    Text.erase(At, Text.find(Close, At) + Close.size() - At);
  }
  while ((At = Text.find("{{")) != std::string::npos) {
    const size_t End = Text.find("}}", At);
    Text.replace(At, End + 2 - At, Values[Text.substr(At + 2, End - At - 2)]);
  }
  return Text;
}

bool Host::start() {
  const std::string Path = m_Config.m_Folder + "/" + m_Config.m_Name + ".json";
  std::ofstream(Path) << settings();
  // The command of the deploy file, with this host's settings file.
  std::ifstream Deploy("deploy/system.toml");
  std::string Line, Run;
  while (std::getline(Deploy, Line))
    if (Line.rfind("run = \"", 0) == 0)
      Run = Line.substr(7, Line.rfind('"') - 7);
  std::vector<std::string> Words;
  std::stringstream Split(Run);
  for (std::string Word; Split >> Word;)
    Words.push_back(Word == "/etc/monsoonstand/settings.json" ? Path : Word);
  if (Words.empty())
    return false;
  std::vector<char *> Arguments;
  for (std::string &Each : Words)
    Arguments.push_back(Each.data());
  Arguments.push_back(nullptr);
  const std::string Log = m_Config.m_Folder + "/" + m_Config.m_Name + ".log";
  const pid_t Own = getpid();
  const pid_t Pid = fork();
  if (Pid == 0) {
    // Ends with the thread that started it, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output =
        open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (getppid() == Own && Output >= 0 && dup2(Output, 1) >= 0 &&
        dup2(Output, 2) >= 0)
      execv(Arguments[0], Arguments.data());
    _exit(127);
  }
  if (Pid < 0)
    return false;
  m_Pid = Pid;
  m_Record.line("%s started (limit %d MB)", m_Config.m_Name.c_str(),
                m_Config.m_MemoryMb);
  if (!m_Watch.joinable())
    m_Watch = std::thread([this]() { watch(); });
  return true;
}

void Host::watch() {
  double NextReady = 0;
  while (!m_Stopping) {
    sleepMs(20);
    int Status = 0;
    if (m_Pid > 0 && waitpid(m_Pid, &Status, WNOHANG) == m_Pid) {
      m_Pid = 0;
      m_IsReady = false;
      if (m_Stopping)
        return;
      ++m_OwnExits;
      m_Record.line("%s ended by itself: %s %d", m_Config.m_Name.c_str(),
                    WIFSIGNALED(Status) ? "signal" : "exit code",
                    WIFSIGNALED(Status) ? WTERMSIG(Status)
                                        : WEXITSTATUS(Status));
      sleepMs(500);
      if (!m_Stopping && !start())
        return;
    }
    std::ifstream Statm("/proc/" + std::to_string(m_Pid) + "/statm");
    double Total = 0, Resident = 0;
    if (Statm >> Total >> Resident) {
      const double Mb = Resident * static_cast<double>(getpagesize()) / 1e6;
      m_PeakMb = std::max<double>(m_PeakMb, Mb);
      // A process that exceeds memory_mb is killed.
      if (Mb > m_Config.m_MemoryMb && m_Pid > 0) {
        ++m_MemoryKills;
        m_Record.line("%s holds %.0f MB, over its limit of %d MB: killed",
                      m_Config.m_Name.c_str(), Mb, m_Config.m_MemoryMb);
        ::kill(m_Pid, SIGKILL);
        waitpid(m_Pid, &Status, 0);
        m_Pid = 0;
        m_IsReady = false;
        sleepMs(500);
        if (!m_Stopping && !start())
          return;
      }
    }
    if (now() < NextReady)
      continue;
    NextReady = now() + 1;
    const auto Link = connectTo({m_Config.m_Ip, m_ReadyPort}, 500);
    Message Answer;
    const bool Before = m_IsReady;
    m_IsReady = Link &&
                Link->write("GET /v1/ready HTTP/1.1\r\nHost: " + m_Config.m_Ip +
                            "\r\nConnection: close\r\n\r\n") &&
                Link->read(Answer, 500) &&
                Answer.m_Start.find(" 200") != std::string::npos;
    if (m_IsReady != Before)
      m_Record.line("%s is %sready", m_Config.m_Name.c_str(),
                    m_IsReady ? "" : "not ");
  }
}

void Host::stop() {
  m_Stopping = true;
  if (m_Watch.joinable())
    m_Watch.join();
  if (m_Pid > 0) {
    ::kill(m_Pid, SIGKILL);
    waitpid(m_Pid, nullptr, 0);
    m_Pid = 0;
  }
}

std::string newId() {
  static std::mutex Mutex;
  static std::mt19937_64 Random{std::random_device{}()};
  const std::lock_guard<std::mutex> Lock(Mutex);
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Random()));
  return Text;
}

Outcome request(const Address &To, const std::string &Method,
                const std::string &HostField, const std::string &Path,
                const std::string &Id, int DeadlineMs,
                const std::string &MoreFields, const std::string &Body) {
  Outcome Result;
  const double Begin = now();
  const auto Link = connectTo(To, 1000);
  Message Answer;
  const std::string Head =
      Method + " " + Path + " HTTP/1.1\r\nHost: " + HostField +
      "\r\nX-Monsoonstand-Request-Id: " + Id +
      "\r\nX-Monsoonstand-Request-Deadline: " + std::to_string(DeadlineMs) +
      "\r\n" + MoreFields +
      (Body.empty() && Method == "GET"
           ? std::string()
           : "Content-Length: " + std::to_string(Body.size()) + "\r\n") +
      "\r\n";
  if (Link && Link->write(Head + Body) &&
      Link->read(Answer, DeadlineMs + 1000)) {
    Result.m_Status = std::atoi(
        Answer.m_Start.substr(std::min<size_t>(9, Answer.m_Start.size()))
            .c_str());
    Result.m_IsSigned =
        !Answer.field("X-Monsoonstand-Server-Signature").empty();
    Result.m_Body = Answer.m_Body;
  }
  Result.m_Seconds = now() - Begin;
  return Result;
}

} // namespace world
