#ifndef MONSOON_CORE_ERRORKIND_H
#define MONSOON_CORE_ERRORKIND_H

#include <array>
#include <chrono>
#include <string_view>

namespace monsoon {

/// Every way in which a request or an operator's command can fail. The list is
/// closed: whatever happens is reported to the outside as one of these.
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
  Count
};

/// Whether the request was executed by a target.
enum class RunState { No, Yes, Unknown };

/// The answer that an error kind leads to.
struct ErrorRule {
  ErrorKind m_Kind;
  std::string_view m_Name;
  /// HTTP status of the answer.
  int m_Status;
  RunState m_Ran;
  /// True when the caller may send the same request again, whatever it is.
  bool m_MayResend;
  /// Value of Retry-After; zero means that the header is left out.
  std::chrono::seconds m_RetryAfter;
  std::string_view m_Meaning;
};

/// The rule for one kind.
const ErrorRule &errorRule(ErrorKind Kind);

/// All rules, in the order of ErrorKind.
const std::array<ErrorRule, static_cast<std::size_t>(ErrorKind::Count)> &
errorRules();

std::string_view errorName(ErrorKind Kind);
std::string_view runStateName(RunState State);

} // namespace monsoon

#endif
