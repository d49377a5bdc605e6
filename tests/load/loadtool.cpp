// Generates load for a limited time on entry hosts or directly on a target. On
// request, compares the outcomes reported to the callers with the executions
// that the stand-in targets counted.

#include "codec/jsontext.h"
#include "core/timepoint.h"
#include "program/exitcode.h"
#include "program/optionparser.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <thread>
#include <vector>

namespace monsoon {

namespace {

using Clock = std::chrono::steady_clock;

struct LoadOptions {
  std::vector<std::string> m_Hosts;
  std::string m_Mix;
  int m_Callers = 1;
  double m_Seconds = 1;
  /// Pause of each caller after a response, in microseconds; 0 for none.
  int m_PauseMicros = 0;
  int m_Keys = 500;
};

/// The outcome of one non-idempotent request as reported to its caller.
struct ReportedExecution {
  std::string m_Id;
  /// Whether the request was executed: `yes`, `no` or `unknown`.
  std::string m_Ran;
  /// The target that acknowledged the request; empty if none is known.
  std::string m_ServedBy;
};

/// Results of one caller, or of all callers together.
struct Tally {
  std::vector<double> m_LatenciesMs;
  std::map<std::string, int> m_Outcomes;
  std::vector<ReportedExecution> m_Reported;
};

/// Method and path of a generated request.
struct RequestKind {
  const char *m_Method;
  std::string m_Path;
  bool m_IsIdempotent;
};

RequestKind pickRequestKind(const LoadOptions &Options,
                            std::mt19937_64 &Random) {
  const std::string Key = absl::StrCat("k", Random() % Options.m_Keys);
  if (Options.m_Mix != "karadere")
    return {"GET", Options.m_Mix, true};
  switch (Random() % 10) {
  case 0:
  case 1:
    return {"POST", "/orders", false};
  case 2:
    return {"POST", absl::StrCat("/deliveries/", Key), false};
  case 3:
    return {"POST", absl::StrCat("/ledger/", Key, "/entries"), false};
  default:
    return {"GET", absl::StrCat("/ledger/", Key), true};
  }
}

std::string outcomeOf(const httplib::Result &Result) {
  if (!Result)
    return absl::StrCat("transport_", httplib::to_string(Result.error()));
  if (Result->has_header("X-Error-Kind"))
    return Result->get_header_value("X-Error-Kind");
  return absl::StrCat(Result->status / 100, "xx");
}

std::string reportedExecution(const httplib::Result &Result) {
  if (!Result)
    return Result.error() == httplib::Error::Connection ? "no" : "unknown";
  if (Result->has_header("X-Ran"))
    return Result->get_header_value("X-Ran");
  return Result->status < 300 ? "yes" : "unknown";
}

std::string servedBy(const httplib::Result &Result) {
  if (!Result)
    return {};
  const auto Body =
      parseJson(Result->body, "answer", ErrorKind::AnswerMismatch);
  return Body && Body.value().isObject() ? Body.value()["served_by"].asString()
                                         : std::string();
}

std::unique_ptr<httplib::Client> connect(const std::string &Address) {
  auto Client = std::make_unique<httplib::Client>("http://" + Address);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  Client->set_read_timeout(10);
  return Client;
}

void callInLoop(const LoadOptions &Options, int Caller, Clock::time_point End,
                const std::string &RunId, Tally &CallerTally) {
  std::mt19937_64 Random(static_cast<uint64_t>(Caller) + 1);
  size_t HostIndex = static_cast<size_t>(Caller) % Options.m_Hosts.size();
  auto Client = connect(Options.m_Hosts[HostIndex]);
  for (uint64_t Number = 0; Clock::now() < End; ++Number) {
    const RequestKind Chosen = pickRequestKind(Options, Random);
    httplib::Request Request;
    Request.method = Chosen.m_Method;
    Request.path = Chosen.m_Path;
    const std::string Id = absl::StrCat(RunId, "-", Caller, "-", Number);
    Request.set_header("X-Request-Id", Id);
    Request.set_header("X-Tenant", absl::StrCat("t", Caller % 4));
    if (!Chosen.m_IsIdempotent)
      Request.body = "{}";
    const auto Start = Clock::now();
    const httplib::Result Result = Client->send(Request);
    CallerTally.m_LatenciesMs.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - Start)
            .count());
    ++CallerTally.m_Outcomes[outcomeOf(Result)];
    if (!Chosen.m_IsIdempotent)
      CallerTally.m_Reported.push_back(
          {Id, reportedExecution(Result), servedBy(Result)});
    if (!Result) {
      // Models a load balancer that moves the caller to the next entry host.
      HostIndex = (HostIndex + 1) % Options.m_Hosts.size();
      Client = connect(Options.m_Hosts[HostIndex]);
    }
    if (Options.m_PauseMicros > 0)
      std::this_thread::sleep_for(
          std::chrono::microseconds(Options.m_PauseMicros));
  }
}

double quantile(std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  const auto Index =
      static_cast<size_t>(Fraction * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

/// Reads the executions per request id from all targets of the pools table.
/// Targets that do not answer are left out.
std::map<std::string, int> fetchExecutions(const std::string &PoolsPath) {
  std::map<std::string, int> Result;
  const auto File = parseJsonFile(PoolsPath, ErrorKind::TableInvalid);
  if (!File)
    return Result;
  for (const Json::Value &Pool : File.value()["pools"])
    for (const Json::Value &Target : Pool["targets"]) {
      httplib::Client Client(Target["host"].asString(), Target["port"].asInt());
      const auto Answer = Client.Get("/stats?ids=1");
      if (!Answer)
        continue;
      const auto Stats =
          parseJson(Answer->body, "stats", ErrorKind::AnswerMismatch);
      if (!Stats)
        continue;
      const Json::Value &Executions = Stats.value()["executions"];
      for (const std::string &Id : Executions.getMemberNames())
        Result[Id] += Executions[Id].asInt();
    }
  return Result;
}

/// Counts reported outcomes that the executions contradict. Acknowledgements
/// of killed targets are not checked for a missing execution, because the
/// target's counts are lost with it.
Json::Value verify(const Tally &Total, const std::string &PoolsPath,
                   const std::set<std::string> &Killed) {
  const auto Executions = fetchExecutions(PoolsPath);
  int ExecutedRepeatedly = 0;
  int ExecutedButDenied = 0;
  int AcknowledgedButNotExecuted = 0;
  for (const ReportedExecution &Each : Total.m_Reported) {
    const auto It = Executions.find(Each.m_Id);
    const int Count = It == Executions.end() ? 0 : It->second;
    ExecutedRepeatedly += Count > 1 ? 1 : 0;
    ExecutedButDenied += Each.m_Ran == "no" && Count > 0 ? 1 : 0;
    AcknowledgedButNotExecuted +=
        Each.m_Ran == "yes" && Count == 0 && Killed.count(Each.m_ServedBy) == 0
            ? 1
            : 0;
  }
  Json::Value Result;
  Result["checked"] = Json::UInt64(Total.m_Reported.size());
  Result["ran_more_than_once"] = ExecutedRepeatedly;
  Result["ran_but_said_not_run"] = ExecutedButDenied;
  Result["acknowledged_but_not_run"] = AcknowledgedButNotExecuted;
  return Result;
}

Json::Value summarize(Tally &Total, double Seconds) {
  std::sort(Total.m_LatenciesMs.begin(), Total.m_LatenciesMs.end());
  Json::Value Result;
  Result["requests"] = Json::UInt64(Total.m_LatenciesMs.size());
  Result["per_second"] =
      static_cast<double>(Total.m_LatenciesMs.size()) / Seconds;
  Result["p50_ms"] = quantile(Total.m_LatenciesMs, 0.5);
  Result["p99_ms"] = quantile(Total.m_LatenciesMs, 0.99);
  Result["p999_ms"] = quantile(Total.m_LatenciesMs, 0.999);
  Result["max_ms"] = quantile(Total.m_LatenciesMs, 1);
  for (const auto &[Outcome, Count] : Total.m_Outcomes)
    Result["outcomes"][Outcome] = Count;
  return Result;
}

int run(const ParsedOptions &Parsed) {
  LoadOptions Options;
  Options.m_Hosts =
      absl::StrSplit(Parsed.value("hosts").value_or("127.0.0.1:7101"), ',');
  Options.m_Mix = Parsed.value("mix").value_or("karadere");
  const auto Number = [&Parsed](const char *Name, int Default) {
    int Value = Default;
    if (const auto Text = Parsed.value(Name))
      if (!absl::SimpleAtoi(*Text, &Value))
        Value = Default;
    return Value;
  };
  Options.m_Callers = Number("callers", 1);
  Options.m_Seconds = Number("ms", 1000) / 1000.0;
  Options.m_PauseMicros = Number("pause-us", 0);
  Options.m_Keys = Number("keys", 500);

  const std::string RunId = absl::StrCat(
      "r", Clock::now().time_since_epoch().count() % 1'000'000'000);
  const auto End =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(Options.m_Seconds));
  std::vector<Tally> Tallies(static_cast<size_t>(Options.m_Callers));
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < Options.m_Callers; ++Caller)
    Callers.emplace_back([&, Caller] {
      callInLoop(Options, Caller, End, RunId,
                 Tallies[static_cast<size_t>(Caller)]);
    });
  for (std::thread &Each : Callers)
    Each.join();

  Tally Total;
  for (Tally &Each : Tallies) {
    Total.m_LatenciesMs.insert(Total.m_LatenciesMs.end(),
                               Each.m_LatenciesMs.begin(),
                               Each.m_LatenciesMs.end());
    for (const auto &[Outcome, Count] : Each.m_Outcomes)
      Total.m_Outcomes[Outcome] += Count;
    Total.m_Reported.insert(Total.m_Reported.end(), Each.m_Reported.begin(),
                            Each.m_Reported.end());
  }
  Json::Value Summary = summarize(Total, Options.m_Seconds);
  bool HasContradiction = false;
  if (const auto Pools = Parsed.value("verify")) {
    Summary["truth"] =
        verify(Total, *Pools,
               absl::StrSplit(Parsed.value("killed").value_or(""), ',',
                              absl::SkipEmpty()));
    for (const char *Field : {"ran_more_than_once", "ran_but_said_not_run",
                              "acknowledged_but_not_run"})
      HasContradiction =
          HasContradiction || Summary["truth"][Field].asInt() != 0;
  }
  std::printf("%s\n", writePrettyJson(Summary).c_str());
  return HasContradiction ? ExitFailed : ExitOk;
}

} // namespace

} // namespace monsoon

int main(int Count, char **Arguments) {
  using namespace monsoon;
  const OptionParser Parser(
      "loadtool", "generates load for measurements and process tests",
      {{"hosts", 'o', "addresses to call, separated by commas", "LIST"},
       {"mix", 'm', "\"karadere\", or a path to request with GET", "MIX"},
       {"callers", 'c', "callers, each with a persistent connection", "COUNT"},
       {"ms", 't', "duration of the load", "MILLISECONDS"},
       {"pause-us", 'u', "pause between a caller's requests", "MICROSECONDS"},
       {"keys", 'k', "number of distinct keys", "COUNT"},
       {"verify", 'v',
        "compare with the executions of this pools table's targets", "FILE"},
       {"killed", 'x', "targets that are killed during the load", "NAMES"}});
  int Exit = ExitOk;
  const auto Parsed =
      Parser.parse(Count, const_cast<const char **>(Arguments), Exit);
  return Parsed ? run(*Parsed) : Exit;
}
