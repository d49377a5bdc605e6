#ifndef MONSOON_PORTS_DIALECT_H
#define MONSOON_PORTS_DIALECT_H

#include "core/httpmessage.h"
#include "core/targetinfo.h"

#include <cstdint>
#include <optional>
#include <string>

namespace monsoon {

/// What a request says of the customer that sends it.
enum class CredentialState {
  /// The request names no key.
  Missing,
  /// It names one in a form that is not understood, or more than one.
  Malformed,
  Present
};

/// The customer's key in a request.
struct Credential {
  CredentialState m_State = CredentialState::Missing;
  /// The key; empty unless Present. Must not be logged or passed on.
  std::string m_Key;
};

/// What the header fields of a caller's request say.
struct RequestMetadata {
  /// Id of the request; empty if there is none.
  std::string m_Id;
  /// How long the caller will wait, if the request says so.
  std::optional<Duration> m_TimeLeft;
  /// The key by which the owner is chosen, if the request has one.
  std::optional<uint32_t> m_Key;
};

/// What an answer says of the rate at which its target takes requests.
struct RequestLimitNotice {
  /// True if the answer is to be ignored here since what it says is unreadable.
  bool m_IsUnreadable = false;
  /// Requests per second that the target takes from all hosts together, from 0
  /// to MaxRequestLimit; unset if it names no limit.
  std::optional<double> m_PerSecond;
};

/// A target that takes more requests per second than this needs no limit.
inline constexpr double MaxRequestLimit = 1e6;

/// What the status and header fields of a target's answer say.
struct AnswerMetadata {
  /// Id of the request that is answered; empty if the answer does not say.
  std::string m_RequestId;
  /// True if the answer carries the target's signature.
  bool m_IsSigned = false;
  /// True if the target states that it did not execute the request.
  bool m_NotExecuted = false;
  /// True if another target than the one addressed now has the address.
  bool m_IsMisdirected = false;
  /// True if the target states that it is leaving and wants no new requests.
  bool m_IsLeaving = false;
  /// What the target states of the rate of requests that it takes.
  RequestLimitNotice m_RequestLimit;
  /// Load of the target, if reported.
  std::optional<LoadReport> m_Load;
  /// Remaining time of the target's warm-up, if reported.
  std::optional<Duration> m_WarmupLeft;
};

/// The header fields by which callers, entry hosts and targets of one
/// installation exchange request ids, deadlines, keys and load.
class Dialect {
public:
  virtual ~Dialect() = default;

  /// Reads the header fields of a caller's request; malformed ones are ignored.
  virtual RequestMetadata readRequest(const HttpRequest &Request) const = 0;

  /// Reads the customer's key from the header fields of a request.
  virtual Credential readCredential(const HttpFields &Fields) const = 0;

  /// Replaces what a caller's header fields say of the customer by the name of
  /// the customer, and removes the key. With an empty name only removes both.
  virtual void setCustomer(HttpFields &Fields,
                           const std::string &CustomerName) const = 0;

  /// Rewrites a caller's header fields for forwarding to a target. TimeLeft is
  /// the remaining time to the deadline.
  virtual void prepareForTarget(HttpFields &Fields, const TargetInfo &To,
                                Milliseconds TimeLeft) const = 0;

  /// Reads the header fields of a target's answer; malformed ones are ignored.
  virtual AnswerMetadata readAnswer(const HttpResponse &Answer) const = 0;

  /// Name of the header field that carries the id of a request.
  virtual std::string_view requestIdField() const = 0;
};

} // namespace monsoon

#endif
