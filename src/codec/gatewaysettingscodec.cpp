#include "codec/gatewaysettingscodec.h"

#include "codec/jsonreader.h"
#include "codec/jsontext.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace monsoon {

namespace {

constexpr int64_t MaxSeconds = 3600;
constexpr int64_t MaxMilliseconds = MaxSeconds * 1000;
constexpr int MaxPort = 65'535;
constexpr int64_t MaxLogPartitions = 10'000;

/// Reads an address of the form "10.0.0.1:80".
Endpoint readAddress(JsonReader &Reader, const std::string &Field) {
  const std::string Text = Reader.text(Field);
  const size_t Colon = Text.rfind(':');
  Endpoint Result;
  Result.m_Host = Text.substr(0, Colon);
  const bool IsNumber =
      Colon != std::string::npos &&
      absl::SimpleAtoi(Text.substr(Colon + 1), &Result.m_Port);
  if (!IsNumber || Result.m_Host.empty() || Result.m_Port < 1 ||
      Result.m_Port > MaxPort)
    Reader.fault(Field, absl::StrCat("\"", Text, "\""), "ADDRESS:PORT");
  return Result;
}

} // namespace

Outcome<GatewaySettings> loadGatewaySettings(const std::string &Path) {
  const auto File = parseJsonFile(Path, ErrorKind::SettingsInvalid);
  if (!File)
    return File.error();
  JsonFaults Faults;
  JsonReader Reader(File.value(), Path, Faults);
  GatewaySettings Result;
  Result.m_Host = Reader.text("host");
  Result.m_FailureDomain = Reader.text("failure_domain");
  Result.m_Callers = readAddress(Reader, "callers");
  Result.m_Readiness = readAddress(Reader, "readiness");
  Result.m_Metrics = readAddress(Reader, "metrics");
  Result.m_Peers = readAddress(Reader, "peers");
  Result.m_Log = readAddress(Reader, "log");
  Result.m_LogPartitions = static_cast<uint32_t>(Reader.count(
      "log_partitions", 1, MaxLogPartitions, Result.m_LogPartitions));
  Result.m_RetryRatio = Reader.nonNegative("retry_ratio", Result.m_RetryRatio);
  Result.m_RetrySlack = Reader.nonNegative("retry_slack", Result.m_RetrySlack);
  Result.m_LinkMbps = Reader.nonNegative("link_mbps", Result.m_LinkMbps);
  Result.m_RetryWindow =
      Reader.seconds("retry_window_s", 1, MaxSeconds, Result.m_RetryWindow);
  Result.m_LongestHold = Reader.milliseconds(
      "longest_hold_ms", 100, MaxMilliseconds, Result.m_LongestHold);
  Result.m_ConfigApplyLimit = Reader.milliseconds(
      "config_apply_ms", 100, MaxMilliseconds, Result.m_ConfigApplyLimit);
  Result.m_StopLimit =
      Reader.seconds("stop_limit_s", 1, MaxSeconds, Result.m_StopLimit);
  Result.m_StrictRevocation =
      Reader.flag("strict_revocation", Result.m_StrictRevocation);
  Result.m_RevocationTimeout = Reader.milliseconds(
      "revoke_ms", 100, MaxMilliseconds, Result.m_RevocationTimeout);
  Result.m_LogLevel = Reader.text("log_level", "info");
  Reader.rejectUnknown();
  if (!Faults.empty())
    return Failure{ErrorKind::SettingsInvalid, absl::StrJoin(Faults, "\n")};
  return Result;
}

} // namespace monsoon
