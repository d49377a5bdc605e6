#include "soak/hostprocess.h"

#include "net/address.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/ip/udp.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <fstream>
#include <utility>

extern char **environ;

namespace monsoon {

namespace asio = boost::asio;

namespace {

constexpr int LogFileMode = 0644;
/// Requests sent within this time after a version took effect may still be
/// handled by an older one (rollback_slack_ms of the platform).
constexpr Milliseconds RollbackSlack{250};

/// Returns a loopback address whose port is free at the time of the call.
template <typename Protocol> Endpoint findFreeAddress(asio::io_context &Loop) {
  typename Protocol::socket Socket(Loop,
                                   {asio::ip::make_address_v4("127.0.0.1"), 0});
  return {"127.0.0.1", Socket.local_endpoint().port()};
}

} // namespace

HostProcess::HostProcess(asio::io_context &Loop, std::string Program,
                         std::string Name, std::string Domain,
                         std::string Folder, const Endpoint &Store,
                         const HostTimes &Times)
    : m_Program(std::move(Program)), m_Name(std::move(Name)),
      m_Domain(std::move(Domain)), m_Folder(std::move(Folder)), m_Times(Times),
      m_StoreProxy(Loop, Store),
      m_CallerAddress(findFreeAddress<asio::ip::tcp>(Loop)),
      m_ReadinessAddress(findFreeAddress<asio::ip::tcp>(Loop)),
      m_MetricsAddress(findFreeAddress<asio::ip::tcp>(Loop)),
      m_PeerAddress(findFreeAddress<asio::ip::udp>(Loop)) {}

HostProcess::~HostProcess() {
  if (!isRunning())
    return;
  resume();
  sendSignal(SIGKILL);
  waitpid(m_Pid, nullptr, 0);
}

bool HostProcess::writeSettings() const {
  std::ofstream File(absl::StrCat(m_Folder, "/", m_Name, ".json"));
  File << "{\"host\":\"" << m_Name << "\",\"failure_domain\":\"" << m_Domain
       << "\",\"callers\":\"" << endpointText(m_CallerAddress)
       << "\",\"readiness\":\"" << endpointText(m_ReadinessAddress)
       << "\",\"metrics\":\"" << endpointText(m_MetricsAddress)
       << "\",\"peers\":\"" << endpointText(m_PeerAddress) << "\",\"log\":\""
       << endpointText(m_StoreProxy.address())
       << "\",\"retry_ratio\":0.2,\"retry_slack\":60,\"retry_window_s\":"
       << m_Times.m_RetryWindowSeconds
       << ",\"longest_hold_ms\":" << m_Times.m_LongestHoldMs
       << ",\"stop_limit_s\":" << m_Times.m_StopLimitSeconds << "}\n";
  return File.good();
}

bool HostProcess::start() {
  if (isRunning() || !writeSettings())
    return false;
  const std::string Settings = absl::StrCat(m_Folder, "/", m_Name, ".json");
  const std::string Log = absl::StrCat(m_Folder, "/", m_Name, ".log");
  std::string Program = m_Program;
  std::string Option = "--gateway";
  std::string Path = Settings;
  const std::array<char *, 4> Arguments = {Program.data(), Option.data(),
                                           Path.data(), nullptr};
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogFileMode);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  const int SpawnError = posix_spawn(&m_Pid, m_Program.c_str(), &Files, nullptr,
                                     Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (SpawnError != 0)
    m_Pid = 0;
  m_IsPaused = m_IsStopping = m_KeepsCallers = false;
  m_StartedAt = std::chrono::steady_clock::now();
  m_Version = 0;
  return SpawnError == 0;
}

void HostProcess::sendSignal(int Number) const {
  if (isRunning())
    ::kill(m_Pid, Number);
}

void HostProcess::stop(bool KeepsCallers) {
  m_IsStopping = true;
  m_KeepsCallers = KeepsCallers;
  sendSignal(SIGTERM);
}

void HostProcess::kill() {
  recordFault();
  sendSignal(SIGKILL);
}

void HostProcess::pause() {
  recordFault();
  m_IsPaused = true;
  sendSignal(SIGSTOP);
}

void HostProcess::resume() {
  if (!std::exchange(m_IsPaused, false))
    return;
  recordFault();
  m_ResumedAt = m_LastFaultAt;
  sendSignal(SIGCONT);
}

void HostProcess::takeProcessor() {
  m_HeldSince = std::chrono::steady_clock::now();
  sendSignal(SIGSTOP);
}

void HostProcess::yieldProcessor(Duration Limit) {
  if (std::chrono::steady_clock::now() - m_HeldSince > Limit)
    recordFault();
  if (!m_IsPaused)
    sendSignal(SIGCONT);
}

void HostProcess::noteVersion(int64_t Version) {
  if (Version <= m_Version)
    return;
  m_Version = Version;
  m_VersionShownAt = std::chrono::steady_clock::now();
}

bool HostProcess::hasShownVersion(int64_t Version, TimePoint Before) const {
  return m_Version >= Version && Before - m_VersionShownAt > RollbackSlack;
}

void HostProcess::reload() { sendSignal(SIGHUP); }

void HostProcess::recordFault() {
  m_LastFaultAt = std::chrono::steady_clock::now();
}

bool HostProcess::reapIfExited() {
  int Status = 0;
  if (!isRunning() || waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return false;
  m_Pid = 0;
  m_ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  return true;
}

} // namespace monsoon
