#ifndef MONSOON_CORE_ATTEMPT_H
#define MONSOON_CORE_ATTEMPT_H

#include "core/errorkind.h"
#include "core/keyspace.h"
#include "core/tables.h"
#include "core/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsoon {

/// One header field.
struct HeaderField {
  std::string m_Name;
  std::string m_Value;
};

using HeaderFields = std::vector<HeaderField>;

/// Returns the value of the first field with that name, compared without case,
/// or null when there is none.
const std::string *findHeader(const HeaderFields &Fields,
                              std::string_view Name);

/// A request as the caller sent it, independent of the transport.
struct CallerRequest {
  std::string m_Method;
  /// Path and query as forwarded to the target.
  std::string m_Uri;
  std::string m_Path;
  HeaderFields m_Headers;
  std::string m_Body;
  std::string m_RequestId;
  TimePoint m_ReceivedAt;
  /// Socket of the caller, watched for a disconnect; -1 when there is none.
  int m_CallerSocket = -1;
};

/// Range and fence under which a request is sent to the owner of its key.
struct FencingToken {
  RangeId m_Range = 0;
  uint64_t m_Fence = 0;
};

/// One attempt to send a request to one target.
struct Attempt {
  const CallerRequest *m_Request = nullptr;
  Target m_Target;
  /// Identifies this attempt; the target returns it with its answer.
  std::string m_CorrelationId;
  TimePoint m_Deadline;
  std::optional<FencingToken> m_FencingToken;
  /// Connections that this entry host may hold to the target.
  int m_ConnectionShare = 1;
  /// True when the target must enforce the deadline by its own clock, because
  /// a later owner relies on it.
  bool m_TargetEnforcesDeadline = false;
};

/// What a target answered.
struct TargetAnswer {
  int m_Status = 0;
  HeaderFields m_Headers;
  std::string m_Body;
  /// Incarnation of the target; it changes when the target restarts.
  std::string m_Instance;
};

/// Result of one attempt: an answer or the kind of failure.
struct AttemptResult {
  std::optional<TargetAnswer> m_Answer;
  ErrorKind m_Error = ErrorKind::Internal;
  /// Incarnation of the target, set even when the target refused.
  std::string m_Instance;
  /// Reason that the target gave for refusing the request.
  std::string m_Refusal;

  static AttemptResult answered(TargetAnswer Answer);
  static AttemptResult failed(ErrorKind Error);

  bool isAnswered() const { return m_Answer.has_value(); }
  /// Whether the target executed the request.
  RunState ran() const {
    return isAnswered() ? RunState::Yes : errorRule(m_Error).m_Ran;
  }
};

} // namespace monsoon

#endif
