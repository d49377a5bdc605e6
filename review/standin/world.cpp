#include "world.h"

#include "caller.h"
#include "net/address.h"

#include <json/writer.h>

#include <boost/asio/post.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <future>
#include <random>
#include <set>

namespace review {

Record::Record(const std::string &Path) : m_File(Path) {}

void Record::write(const std::string &Line) {
  const auto Now =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - m_Start).count();
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  m_File << Now << " ms: " << Line << std::endl;
}

Store::Store() : m_Guard(m_Loop.get_executor()), m_StandIn(m_Loop) {
  m_Address = monsoon::endpointText(m_StandIn.start());
  m_Thread = std::thread([this]() { m_Loop.run(); });
}

Store::~Store() {
  m_Loop.stop();
  m_Thread.join();
}

void Store::run(const std::function<void()> &Task) {
  std::promise<void> Done;
  boost::asio::post(m_Loop, [&]() {
    Task();
    Done.set_value();
  });
  Done.get_future().wait();
}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  run([&]() { m_StandIn.put(Topic, Key, Value); });
}

void Store::remove(const std::string &Topic, const std::string &Key) {
  run([&]() { m_StandIn.remove(Topic, Key); });
}

void Store::publish(const Json::Value &Config) {
  put("keyed.op", "config", toText(Config));
}

int freePort(int Type) {
  // Below the ports that the kernel gives to outgoing connections.
  constexpr int LowestPort = 20'000;
  constexpr int PortCount = 12'000;
  static std::mt19937 Random(std::random_device{}());
  static std::set<int> Given;
  while (true) {
    const int Port = LowestPort + static_cast<int>(Random() % PortCount);
    if (!Given.insert(Port).second)
      continue;
    const int Socket = socket(AF_INET, Type, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(static_cast<uint16_t>(Port));
    const int Result =
        bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    close(Socket);
    if (Result == 0)
      return Port;
  }
}

std::string toText(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

Host::Host(std::string Program, std::string Folder, std::string Name,
           std::string Zone, const Store &Platform)
    : m_Program(std::move(Program)), m_Folder(std::move(Folder)),
      m_Name(std::move(Name)), m_CallerPort(freePort(SOCK_STREAM)),
      m_ReadinessPort(freePort(SOCK_STREAM)) {
  const auto Local = [](int Port) {
    return "127.0.0.1:" + std::to_string(Port);
  };
  // The fields of deploy/settings.json.in, with the bounds of the small sites.
  Json::Value Settings;
  Settings["host"] = m_Name;
  Settings["failure_domain"] = Zone;
  Settings["callers"] = Local(m_CallerPort);
  Settings["readiness"] = Local(m_ReadinessPort);
  Settings["metrics"] = Local(freePort(SOCK_STREAM));
  Settings["peers"] = Local(freePort(SOCK_DGRAM));
  Settings["log"] = Platform.address();
  Settings["log_partitions"] = 12;
  Settings["retry_ratio"] = 0.2;
  Settings["retry_slack"] = 62;
  Settings["link_mbps"] = 2000.0;
  Settings["retry_window_s"] = 10;
  Settings["longest_hold_ms"] = 10000;
  Settings["stop_limit_s"] = 6;
  Settings["log_level"] = "info";
  m_Settings = toText(Settings);
}

Host::~Host() {
  if (m_Pid <= 0)
    return;
  kill(m_Pid, SIGKILL);
  waitpid(m_Pid, nullptr, 0);
}

bool Host::start() {
  const std::string Path = m_Folder + "/" + m_Name + ".json";
  const std::string Log = m_Folder + "/" + m_Name + ".log";
  std::ofstream(Path) << m_Settings;
  const pid_t Parent = getpid();
  m_Pid = fork();
  if (m_Pid != 0)
    return m_Pid > 0;
  // The child must not outlive this program, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(127);
  const int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  for (int Descriptor = 3; Descriptor < 1024; ++Descriptor)
    close(Descriptor);
  execl(m_Program.c_str(), m_Program.c_str(), "--gateway", Path.c_str(),
        nullptr);
  _exit(127);
}

void Host::signal(int Number) const {
  if (m_Pid > 0)
    kill(m_Pid, Number);
}

int Host::pollExit() {
  int Status = 0;
  if (m_Pid <= 0 || waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return -1;
  m_Pid = 0;
  return Status;
}

bool Host::isReady() const {
  Connection Probe(m_ReadinessPort);
  return Probe
             .exchange("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n", "",
                       Milliseconds(500))
             .m_Status == 200;
}

Deployment::Deployment(const Setup &Given, const Store &Platform)
    : m_Record(Given.m_Record) {
  const char *Zones[] = {"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"};
  for (int Index = 0; Index < 5; ++Index)
    m_Hosts.push_back(std::make_unique<Host>(
        Given.m_Program, Given.m_Folder, "front-" + std::to_string(Index + 1),
        Zones[Index], Platform));
}

bool Deployment::start() {
  for (const auto &Each : m_Hosts)
    if (!Each->start())
      return false;
  const auto End = Clock::now() + std::chrono::seconds(30);
  for (const auto &Each : m_Hosts)
    while (!Each->isReady()) {
      if (Clock::now() > End) {
        m_Record.write(Each->name() + " is not ready; its wait status is " +
                       std::to_string(Each->pollExit()));
        return false;
      }
      std::this_thread::sleep_for(Milliseconds(100));
    }
  return true;
}

Json::Value emptyConfig(int Version) {
  Json::Value Config;
  Config["version"] = Version;
  Config["limits"]["max_header_bytes"] = 16384;
  Config["limits"]["max_body_bytes"] = 67108864;
  Config["limits"]["header_timeout_ms"] = 3000;
  Config["limits"]["idle_timeout_ms"] = 15000;
  Config["listeners"] = Json::arrayValue;
  Config["clusters"] = Json::arrayValue;
  return Config;
}

void addService(Json::Value &Config, const std::string &Name, bool IsSharded) {
  Json::Value Cluster;
  Cluster["name"] = Name;
  Cluster["health_path"] = "/health";
  Cluster["max_connections"] = 110;
  Cluster["protocol"] = "h1";
  Cluster["tls"] = false;
  Cluster["warmup_s"] = 3.0;
  Cluster["warmup_per_s"] = 9.6;
  if (IsSharded) {
    Cluster["sharded"] = true;
    Cluster["warm_s"] = 3.0;
    Cluster["grants"] = "call";
  }
  Config["clusters"].append(Cluster);
}

void addRoute(Json::Value &Config, const std::string &Host,
              const std::string &Service, const std::string &Kind,
              int TimeoutMs, int MaxAttempts) {
  Json::Value Rule;
  Rule["name"] = "r-" + Host;
  Rule["kind"] = Kind;
  Rule["target_latency_ms"] = 1000;
  Rule["priority"] = 1;
  Rule["match"]["path_prefix"] = "/order/";
  Rule["action"]["service"] = Service;
  Rule["action"]["timeout_ms"] = TimeoutMs;
  Rule["action"]["max_attempts"] = MaxAttempts;
  Json::Value Listener;
  Listener["host"] = Host;
  Listener["rule_set"].append(Rule);
  Config["listeners"].append(Listener);
}

} // namespace review
