#include "soak/soak.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace monsoon {

using std::chrono::seconds;

namespace {

constexpr int KeyedServers = 6;
constexpr int PlainServers = 4;
constexpr int Domains = 3;
constexpr Milliseconds StartTime{6000};
/// Longest hold, the heartbeats' lapse and some time for the moves.
constexpr Milliseconds RecoveryTime{16'000};
constexpr Milliseconds LookTime{2000};
constexpr double GoodService = 0.95;
constexpr Milliseconds HostWatch{50};
/// Orders that were held up reach their servers this long after a host or a
/// link has come back.
constexpr Milliseconds ThawTime{1000};
constexpr const char *OperatorTopic = "keyed.op";

std::string domainOf(int Number) { return absl::StrCat("d", Number % Domains); }

} // namespace

Soak::Soak(SoakSettings Config)
    : m_Settings(std::move(Config)), m_Random(m_Settings.m_Seed),
      m_Store(m_Loop), m_Watch(m_Loop),
      m_Began(std::chrono::steady_clock::now()) {}

void Soak::say(const std::string &What) const {
  if (!m_Settings.m_IsVerbose)
    return;
  const auto Passed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - m_Began);
  std::printf("%8.3f %s\n", Passed.count(), What.c_str());
  std::fflush(stdout);
}

void Soak::publish() {
  ++m_Version;
  m_Store.put(
      OperatorTopic, "config",
      absl::StrFormat(
          R"({"version":%d,"limits":{"max_header_bytes":16384,)"
          R"("max_body_bytes":1048576,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000},"listeners":[{"host":"shop.example",)"
          R"("rule_set":[{"name":"orders","kind":"unsafe",)"
          R"("target_latency_ms":800,"priority":1,)"
          R"("match":{"path_prefix":"/order/"},"action":{"service":"orders",)"
          R"("timeout_ms":%d,"max_attempts":2}},{"name":"ledger",)"
          R"("kind":"safe","target_latency_ms":600,"priority":2,)"
          R"("match":{"path_prefix":"/ledger/"},"action":{"service":"ledger",)"
          R"("timeout_ms":1400,"max_attempts":2}}]}],"clusters":[)"
          R"({"name":"ledger","health_path":"/health","max_connections":200,)"
          R"("warmup_s":3.0,"warmup_per_s":5.3,"sharded":true,"warm_s":2.0},)"
          R"({"name":"orders","health_path":"/health","max_connections":200,)"
          R"("warmup_s":3.0,"warmup_per_s":5.3}]})",
          m_Version, 1200 + m_Version));
}

void Soak::addServers() {
  const SoakServer::Parts Parts{
      m_Loop, m_Store, m_Referee, m_Random,
      [this](const SoakServer &Self, const KeyRange &Keys) {
        return holdsElsewhere(Self, Keys);
      }};
  for (; m_NextServer < KeyedServers + PlainServers; ++m_NextServer)
    m_Servers.push_back(std::make_unique<SoakServer>(
        absl::StrCat("s", m_NextServer),
        m_NextServer < KeyedServers ? "ledger" : "orders",
        domainOf(m_NextServer), Parts));
}

bool Soak::holdsElsewhere(const SoakServer &Self, const KeyRange &Keys) const {
  const TimePoint Now = std::chrono::steady_clock::now();
  const auto Thawed = [Now](TimePoint When) { return Now - When < ThawTime; };
  for (const auto &Each : m_Hosts)
    if (Thawed(Each->resumedAt()))
      return false;
  for (const auto &Each : m_Servers)
    if (Thawed(Each->proxy().changedAt()))
      return false;
  return std::any_of(m_Servers.begin(), m_Servers.end(), [&](const auto &Each) {
    return Each.get() != &Self && Each->holds(Keys);
  });
}

HostProcess *Soak::anyHost() {
  std::vector<HostProcess *> Running;
  for (const auto &Each : m_Hosts)
    if (Each->isRunning() && !Each->isStopping())
      Running.push_back(Each.get());
  return Running.empty() ? nullptr : Running[chance(Running.size())];
}

void Soak::rest(Milliseconds Length) {
  m_Loop.restart();
  m_Loop.run_for(Length);
}

void Soak::later(Milliseconds Delay, std::function<void()> What) {
  const auto Timer = std::make_shared<boost::asio::steady_timer>(m_Loop);
  Timer->expires_after(Delay);
  Timer->async_wait(
      [Timer, What = std::move(What)](
          const boost::system::error_code & /*Error*/) { What(); });
}

void Soak::watchHosts() {
  for (const auto &Each : m_Hosts) {
    if (!Each->poll())
      continue;
    say(absl::StrCat(Each->name(), " ended, code ", Each->exitCode()));
    // Killed processes leave no code; a planned stop says when it cut requests.
    const auto Quiet =
        std::chrono::steady_clock::now() - Each->disturbedAt() > seconds(8);
    if (Each->isStopping() && Quiet && Each->exitCode() != 0)
      m_Referee.violation(
          absl::StrCat(Each->name(), " ended with ", Each->exitCode()));
    later(Milliseconds(100 + chance(900)), [&Host = *Each]() { Host.start(); });
  }
  m_Watch.expires_after(HostWatch);
  m_Watch.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      watchHosts();
  });
}

void Soak::hostFault() {
  HostProcess &Host = *m_Hosts[chance(m_Hosts.size())];
  switch (chance(5)) {
  case 0:
    say(absl::StrCat("kill ", Host.name()));
    Host.kill();
    break;
  case 1:
    say(absl::StrCat("pause ", Host.name()));
    Host.pause();
    later(Milliseconds(300 + chance(5000)), [&Host]() { Host.resume(); });
    break;
  case 2:
    say(absl::StrCat("reload ", Host.name()));
    Host.reload();
    break;
  default:
    say(absl::StrCat("stop ", Host.name()));
    Host.stop();
    break;
  }
}

void Soak::linkFault(FaultProxy &Proxy, const std::string &Name) {
  using Mode = FaultProxy::Mode;
  constexpr std::array<Mode, 4> Modes = {Mode::Delay, Mode::Silent,
                                         Mode::OneWay, Mode::Reset};
  const uint64_t Which = chance(Modes.size());
  say(absl::StrCat("link of ", Name, " in mode ", Which));
  Proxy.setMode(Modes[Which]);
  later(Milliseconds(300 + chance(5000)), [this, &Proxy, Name]() {
    say(absl::StrCat("link of ", Name, " heals"));
    Proxy.setMode(Mode::Pass);
  });
}

void Soak::serverFault() {
  SoakServer &Server = *m_Servers[chance(m_Servers.size())];
  const std::string Id = Server.id();
  switch (chance(5)) {
  case 0:
    if (!Server.isUp())
      break;
    say(absl::StrCat("crash ", Id));
    Server.crash();
    later(Milliseconds(200 + chance(4000)), [this, &Server,
                                             SameId = chance(2) == 0]() {
      Server.restart(SameId ? Server.id() : absl::StrCat("s", m_NextServer++));
    });
    break;
  case 1:
    if (!Server.isUp() || Server.isDraining())
      break;
    say(absl::StrCat("drain ", Id));
    Server.drain();
    later(Milliseconds(3500), [this, &Server, Id]() {
      if (Server.id() != Id || !Server.isUp())
        return;
      Server.crash();
      Server.restart(absl::StrCat("s", m_NextServer++));
    });
    break;
  case 2:
    say(absl::StrCat("cut from store ", Id));
    Server.setCutFromStore(true);
    later(Milliseconds(1000 + chance(6000)),
          [&Server]() { Server.setCutFromStore(false); });
    break;
  case 3:
    say(absl::StrCat("lost answers ", Id));
    Server.loseAnswers(static_cast<int>(1 + chance(6)));
    break;
  default:
    linkFault(Server.proxy(), Id);
    break;
  }
}

void Soak::storeFault() {
  switch (chance(3)) {
  case 0:
    say("store busy");
    m_Store.m_IsUnavailable = true;
    later(Milliseconds(300 + chance(6000)),
          [this]() { m_Store.m_IsUnavailable = false; });
    break;
  case 1:
    say("store loses answers");
    m_Store.m_AnswersToLose = static_cast<int>(1 + chance(8));
    break;
  default:
    say("store compacts");
    m_Store.compact("keyed.servers");
    m_Store.compact(OperatorTopic);
    break;
  }
  for (const auto &Each : m_Hosts)
    Each->noteDisturbed();
}

void Soak::operatorAction() {
  if (chance(2) == 0) {
    say("publish");
    publish();
    return;
  }
  const std::string Key =
      absl::StrCat("evacuate/", domainOf(static_cast<int>(chance(Domains))));
  say(Key);
  m_Store.put(OperatorTopic, Key, "{}");
  later(Milliseconds(1000 + chance(4000)),
        [this, Key]() { m_Store.remove(OperatorTopic, Key); });
}

void Soak::nextFault() {
  if (m_Healing)
    return;
  switch (chance(9)) {
  case 0:
  case 1:
  case 2:
    hostFault();
    break;
  case 3: {
    HostProcess &Host = *m_Hosts[chance(m_Hosts.size())];
    Host.noteDisturbed();
    linkFault(Host.storeProxy(), Host.name());
    break;
  }
  case 4:
    storeFault();
    break;
  case 5:
    operatorAction();
    break;
  default:
    serverFault();
    break;
  }
  later(Milliseconds(100 + chance(900)), [this]() { nextFault(); });
}

void Soak::healAll() {
  m_Healing = true;
  m_Store.m_IsUnavailable = false;
  m_Store.m_AnswersToLose = 0;
  for (const auto &Each : m_Hosts) {
    Each->resume();
    Each->storeProxy().setMode(FaultProxy::Mode::Pass);
  }
  for (const auto &Each : m_Servers) {
    Each->proxy().setMode(FaultProxy::Mode::Pass);
    Each->setCutFromStore(false);
    Each->loseAnswers(0);
  }
}

double Soak::service(Milliseconds Length) {
  for (const auto &Each : m_Callers)
    Each->m_Good = Each->m_Bad = 0;
  rest(Length);
  int Good = 0;
  int Bad = 0;
  for (const auto &Each : m_Callers) {
    Good += Each->m_Good;
    Bad += Each->m_Bad;
  }
  return Good + Bad == 0 ? 0 : static_cast<double>(Good) / (Good + Bad);
}

bool Soak::run() {
  const Endpoint Store = m_Store.start();
  publish();
  addServers();
  for (int Number = 0; Number < m_Settings.m_Hosts; ++Number) {
    m_Hosts.push_back(std::make_unique<HostProcess>(
        m_Loop, m_Settings.m_Program, absl::StrCat("host", Number),
        domainOf(Number), m_Settings.m_Folder, Store));
    if (!m_Hosts.back()->start()) {
      m_Referee.violation("a host can't be started");
      break;
    }
  }
  watchHosts();
  rest(StartTime);
  for (int Number = 0; Number < m_Settings.m_Callers; ++Number) {
    m_Callers.push_back(std::make_unique<SoakCaller>(
        m_Loop, Number, m_Referee, m_Random, [this]() { return anyHost(); }));
    m_Callers.back()->start();
  }
  const double AtFirst = service(LookTime);
  later(Milliseconds(1), [this]() { nextFault(); });
  rest(m_Settings.m_Length);
  say("healing");
  healAll();
  rest(RecoveryTime);
  const double AtLast = service(LookTime);
  for (const auto &Each : m_Callers)
    Each->stop();
  rest(Milliseconds(3500));
  m_Referee.finish();
  if (AtFirst < GoodService)
    m_Referee.violation(absl::StrFormat("served %.2f before faults", AtFirst));
  if (AtLast < GoodService)
    m_Referee.violation(
        absl::StrFormat("served %.2f after all faults were mended", AtLast));
  std::printf("seed %llu: %llu requests, %llu served, %llu refused, %zu "
              "violations\n",
              static_cast<unsigned long long>(m_Settings.m_Seed),
              static_cast<unsigned long long>(m_Referee.sent()),
              static_cast<unsigned long long>(m_Referee.succeeded()),
              static_cast<unsigned long long>(m_Referee.refused()),
              m_Referee.violations().size());
  for (const std::string &Each : m_Referee.violations())
    std::printf("  %s\n", Each.c_str());
  return m_Referee.violations().empty();
}

} // namespace monsoon
