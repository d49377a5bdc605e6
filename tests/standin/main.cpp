#include "codec/jsontext.h"
#include "codec/tablecodec.h"
#include "program/exitcode.h"
#include "program/optionparser.h"
#include "standin/hostliststandin.h"
#include "standin/logstandin.h"
#include "standin/standinhttp.h"
#include "standin/targetstandin.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <csignal>
#include <cstdio>
#include <vector>

namespace monsoon {

namespace {

constexpr int PlatformWorkers = 32;

int numberOption(const ParsedOptions &Options, const char *Name, int Default) {
  int Value = Default;
  if (const auto Text = Options.value(Name))
    if (!absl::SimpleAtoi(*Text, &Value))
      std::fprintf(stderr, "standinserver: --%s is not a number\n", Name);
  return Value;
}

/// The stand-ins of this process and the HTTP servers that expose them.
struct StandInProcess {
  LogStandIn m_Log;
  HostListStandIn m_Hosts;
  std::vector<std::unique_ptr<TargetStandIn>> m_Targets;
  std::vector<std::unique_ptr<HttpServer>> m_HttpServers;
};

void startPlatform(StandInProcess &Process, int Port) {
  Process.m_HttpServers.push_back(startServer(
      Port, PlatformWorkers,
      [&Process](const httplib::Request &Request, httplib::Response &Response) {
        if (!Process.m_Log.handle(Request, Response) &&
            !Process.m_Hosts.handle(Request, Response))
          Response.status = 404;
      }));
}

void startTarget(StandInProcess &Process, const Target &Each, const Pool &Owner,
                 const ParsedOptions &Options) {
  TargetBehaviour Behaviour;
  Behaviour.m_OwnsKeys = Owner.isOwnedByKey();
  Behaviour.m_ChecksFences = Owner.checksFences();
  Behaviour.m_ServiceMicros = numberOption(Options, "service-us", 1000);
  Behaviour.m_WarmAfter = numberOption(Options, "warm-after", 0);
  Behaviour.m_ColdCapacity = Owner.policy().m_ColdLimit;
  Process.m_Targets.push_back(std::make_unique<TargetStandIn>(Each, Behaviour));
  TargetStandIn *StandIn = Process.m_Targets.back().get();
  Process.m_HttpServers.push_back(startServer(
      Each.m_Port, numberOption(Options, "workers", Each.m_Slots * 8),
      [StandIn](const httplib::Request &Request, httplib::Response &Response) {
        StandIn->handle(Request, Response);
      }));
}

int startTargets(StandInProcess &Process, const ParsedOptions &Options) {
  const std::string Path = *Options.value("pools");
  const auto File = parseJsonFile(Path, ErrorKind::TableInvalid);
  const auto Loaded =
      File ? decodeTables(File.value(), Path) : Outcome<Tables>(File.error());
  if (!Loaded) {
    std::fprintf(stderr, "standinserver: %s\n",
                 Loaded.error().m_Message.c_str());
    return ExitFailed;
  }
  const std::vector<std::string> Included = absl::StrSplit(
      Options.value("only").value_or(""), ',', absl::SkipEmpty());
  const std::vector<std::string> Excluded = absl::StrSplit(
      Options.value("except").value_or(""), ',', absl::SkipEmpty());
  const auto Contains = [](const auto &Names, const std::string &Name) {
    return std::find(Names.begin(), Names.end(), Name) != Names.end();
  };
  for (const Pool &Each : Loaded.value().pools())
    for (const Target &Member : Each.targets())
      if ((Included.empty() || Contains(Included, Member.m_Name)) &&
          !Contains(Excluded, Member.m_Name))
        startTarget(Process, Member, Each, Options);
  return ExitOk;
}

int run(const ParsedOptions &Options) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  StandInProcess Process;
  if (Options.value("platform"))
    startPlatform(Process, numberOption(Options, "platform", 0));
  if (Options.value("pools"))
    if (const int Exit = startTargets(Process, Options); Exit != ExitOk)
      return Exit;
  std::printf("stand-ins ready\n");
  std::fflush(stdout);
  int Received = 0;
  sigwait(&Signals, &Received);
  return ExitOk;
}

} // namespace

} // namespace monsoon

int main(int Count, char **Arguments) {
  using namespace monsoon;
  const OptionParser Parser(
      "standinserver", "stand-ins for the platform and for targets",
      {{"platform", 'l', "serve the log and the host list on PORT", "PORT"},
       {"pools", 'p', "serve the targets of the pools table in FILE", "FILE"},
       {"only", 'o', "serve only the targets with these names", "NAMES"},
       {"except", 'x', "serve all targets except those with these names",
        "NAMES"},
       {"service-us", 't', "service time of a request", "MICROSECONDS"},
       {"workers", 'k', "threads per target", "COUNT"},
       {"warm-after", 'w', "executions after which a cold target is warm",
        "COUNT"}});
  int Exit = ExitOk;
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  const auto Options =
      Parser.parse(Count, const_cast<const char **>(Arguments), Exit);
  return Options ? run(*Options) : Exit;
}
