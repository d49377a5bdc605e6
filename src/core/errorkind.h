#ifndef MONSOON_CORE_ERRORKIND_H
#define MONSOON_CORE_ERRORKIND_H

#include <array>
#include <chrono>
#include <string_view>

namespace monsoon {

/// All kinds of errors of requests and of operators' commands. The list is
/// closed: every failure is reported to callers and operators as one of these.
enum class ErrorKind {
  BadRequest,
  RouteUnknown,
  KeyMissing,
  BodyTooLarge,
  HeaderTooLarge,
  RequestTimeout,
  Overloaded,
  TargetsBusy,
  OwnerUnknown,
  ViewStale,
  NoTarget,
  TargetRefused,
  ConnectFailed,
  AnswerLost,
  AnswerMismatch,
  AnswerCutShort,
  DeadlineSpent,
  DeadlineExceeded,
  CallerGone,
  Stopping,
  NoConfiguration,
  Internal,
  TableInvalid,
  SettingsInvalid,
  VersionLost,
  LogUnavailable,
  RecordUnreadable,
  RecordsExpired,
  CustomerUnknown,
  OverAllowance,
  Count
};

/// Whether a target executed the request.
enum class RunState { No, Yes, Unknown };

/// Defines the response to an error kind.
struct ErrorRule {
  ErrorKind m_Kind;
  /// Name of the kind in responses, logs and documentation.
  std::string_view m_Name;
  /// HTTP status of the response.
  int m_Status;
  RunState m_Ran;
  /// True when the caller may resend the request, idempotent or not.
  bool m_MayResend;
  /// Value of the Retry-After header; zero means that it is omitted.
  std::chrono::seconds m_RetryAfter;
  /// Explanation of the kind in one line.
  std::string_view m_Meaning;
};

/// The rule for one kind.
const ErrorRule &errorRule(ErrorKind Kind);

/// All rules, in the order of the ErrorKind enumerators.
const std::array<ErrorRule, static_cast<std::size_t>(ErrorKind::Count)> &
errorRules();

std::string_view errorName(ErrorKind Kind);
std::string_view runStateName(RunState State);

} // namespace monsoon

#endif
