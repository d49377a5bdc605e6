#include "codec/gatewaysettingscodec.h"

#include "codec/jsonreader.h"
#include "codec/jsontext.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace monsoon {

namespace {

constexpr int64_t MaxMilliseconds = 3'600'000;
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

/// Reads an optional number that is not negative.
double readNonNegative(JsonReader &Outer, const Json::Value &Object,
                       const std::string &Field, double Default) {
  if (!Outer.has(Field))
    return Default;
  const Json::Value &Value = Object[Field];
  if (Value.isNumeric() && Value.asDouble() >= 0)
    return Value.asDouble();
  Outer.fault(Field, Value.toStyledString(), "a number of at least 0");
  return Default;
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
  Result.m_LogPartitions = static_cast<uint32_t>(Reader.number(
      "log_partitions", 1, MaxLogPartitions, Result.m_LogPartitions));
  Result.m_RetryRatio =
      readNonNegative(Reader, File.value(), "retry_ratio", Result.m_RetryRatio);
  Result.m_RetrySlack =
      readNonNegative(Reader, File.value(), "retry_slack", Result.m_RetrySlack);
  Result.m_LinkMbps =
      readNonNegative(Reader, File.value(), "link_mbps", Result.m_LinkMbps);
  Result.m_RetryWindow =
      std::chrono::seconds(Reader.number("retry_window_s", 1, 3600, 10));
  Result.m_LongestHold = Reader.milliseconds(
      "longest_hold_ms", 100, MaxMilliseconds, Result.m_LongestHold.count());
  Result.m_ConfigApplyLimit =
      Reader.milliseconds("config_apply_ms", 100, MaxMilliseconds,
                          Result.m_ConfigApplyLimit.count());
  Result.m_StopLimit =
      std::chrono::seconds(Reader.number("stop_limit_s", 1, 3600, 6));
  Result.m_StrictRevocation =
      Reader.flag("strict_revocation", Result.m_StrictRevocation);
  Result.m_RevocationTimeout = Reader.milliseconds(
      "revoke_ms", 100, MaxMilliseconds, Result.m_RevocationTimeout.count());
  Result.m_LogLevel = Reader.text("log_level", "info");
  Reader.rejectUnknown();
  if (!Faults.empty())
    return Failure{ErrorKind::SettingsInvalid, absl::StrJoin(Faults, "\n")};
  return Result;
}

} // namespace monsoon
