#include "codec/settingscodec.h"

#include "codec/jsonreader.h"
#include "codec/jsontext.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <array>

namespace monsoon {

namespace {

constexpr int64_t MaxMilliseconds = 3'600'000;
constexpr int64_t MaxWorkers = 4096;
constexpr int64_t MaxConnections = 100'000;
constexpr int64_t MaxBodyBytes = 64LL << 20;
constexpr std::array<const char *, 4> LogLevels = {"debug", "info", "warning",
                                                   "error"};

CallerLimits readLimits(JsonReader &Outer, JsonFaults &Faults) {
  CallerLimits Result;
  if (!Outer.has("limits"))
    return Result;
  const Json::Value Value = Outer.object("limits");
  JsonReader Reader(Value, Outer.where("limits"), Faults);
  Result.m_Workers = static_cast<int>(
      Reader.count("workers", 1, MaxWorkers, Result.m_Workers));
  Result.m_Connections = static_cast<int>(
      Reader.count("connections", 1, MaxConnections, Result.m_Connections));
  Result.m_BodyBytes = static_cast<size_t>(Reader.count(
      "body_bytes", 1, MaxBodyBytes, static_cast<int64_t>(Result.m_BodyBytes)));
  Result.m_ReceiveTimeout = Reader.milliseconds(
      "receive_timeout_ms", 10, MaxMilliseconds, Result.m_ReceiveTimeout);
  Result.m_IdleTimeout = Reader.milliseconds(
      "idle_timeout_ms", 10, MaxMilliseconds, Result.m_IdleTimeout);
  Reader.rejectUnknown();
  return Result;
}

std::string readLogLevel(JsonReader &Reader) {
  std::string Level = Reader.text("log_level", "info");
  if (std::find(LogLevels.begin(), LogLevels.end(), Level) == LogLevels.end())
    Reader.fault("log_level", absl::StrCat("\"", Level, "\""),
                 absl::StrJoin(LogLevels, ", "));
  return Level;
}

} // namespace

Endpoint readEndpoint(JsonReader &Outer, const std::string &Field,
                      JsonFaults &Faults) {
  Endpoint Result;
  if (!Outer.has(Field)) {
    Outer.fault(Field, "nothing", "an object with \"host\" and \"port\"");
    return Result;
  }
  const Json::Value Value = Outer.object(Field);
  JsonReader Reader(Value, Outer.where(Field), Faults);
  Result.m_Host = Reader.text("host", Result.m_Host);
  Result.m_Port = static_cast<int>(Reader.count("port", 1, 65'535));
  Reader.rejectUnknown();
  return Result;
}

std::vector<PeerSettings> readPeers(JsonReader &Outer, const std::string &Field,
                                    const std::string &AddressField,
                                    JsonFaults &Faults) {
  std::vector<PeerSettings> Result;
  size_t Index = 0;
  for (const Json::Value &Each : Outer.objects(Field)) {
    JsonReader Reader(Each, absl::StrCat(Outer.where(Field), "[", Index++, "]"),
                      Faults);
    PeerSettings Peer;
    Peer.m_Name = Reader.text("name");
    Peer.m_Address = readEndpoint(Reader, AddressField, Faults);
    Reader.rejectUnknown();
    Result.push_back(Peer);
  }
  return Result;
}

Outcome<Settings> loadSettings(const std::string &Path) {
  const auto File = parseJsonFile(Path, ErrorKind::SettingsInvalid);
  if (!File)
    return File.error();
  JsonFaults Faults;
  JsonReader Reader(File.value(), Path, Faults);
  Settings Result;
  Result.m_Host = Reader.text("host");
  Result.m_FailureDomain = Reader.text("failure_domain");
  Result.m_Callers = readEndpoint(Reader, "callers", Faults);
  Result.m_Admin = readEndpoint(Reader, "admin", Faults);
  Result.m_Peer = readEndpoint(Reader, "peer", Faults);
  Result.m_Log = readEndpoint(Reader, "log", Faults);
  Result.m_HostList = readEndpoint(Reader, "host_list", Faults);
  Result.m_Peers = readPeers(Reader, "peers", "address", Faults);
  Result.m_Limits = readLimits(Reader, Faults);
  Result.m_StopGrace = Reader.milliseconds("stop_grace_ms", 0, MaxMilliseconds,
                                           Result.m_StopGrace);
  Result.m_StopLimit = Reader.milliseconds("stop_limit_ms", 1, MaxMilliseconds,
                                           Result.m_StopLimit);
  Result.m_LogPoll =
      Reader.milliseconds("log_poll_ms", 10, MaxMilliseconds, Result.m_LogPoll);
  Result.m_LogLevel = readLogLevel(Reader);
  Reader.rejectUnknown();
  if (!Faults.empty())
    return Failure{ErrorKind::SettingsInvalid, absl::StrJoin(Faults, "\n")};
  return Result;
}

} // namespace monsoon
