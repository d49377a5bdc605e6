#ifndef MONSOON_PORTS_DIALECT_H
#define MONSOON_PORTS_DIALECT_H

#include "core/httpmessage.h"
#include "core/targetinfo.h"

#include <cstdint>
#include <optional>
#include <string>

namespace monsoon {

/// What a caller's request says besides method, path and body.
struct RequestFacts {
  std::string m_Id;
  /// How long the caller will wait, if it says so.
  std::optional<Milliseconds> m_TimeLeft;
  /// The key that decides the owner.
  std::optional<uint32_t> m_Key;
};

/// What a target's answer says besides status and body.
struct AnswerFacts {
  /// Request that it answers; empty if it does not say.
  std::string m_RequestId;
  /// True when the target vouches for the answer.
  bool m_Signed = false;
  /// True when the target states that the request was not run.
  bool m_NotExecuted = false;
  /// True when another target has the address.
  bool m_WrongTarget = false;
  std::optional<LoadReport> m_Load;
  std::optional<Milliseconds> m_WarmupLeft;
};

/// How requests and answers are worded between callers, entry hosts and
/// targets of an installation.
class Dialect {
public:
  virtual ~Dialect() = default;

  virtual RequestFacts readRequest(const HttpRequest &Request) const = 0;

  /// Turns a caller's fields into those that a target gets.
  virtual void prepare(HttpFields &Fields, const TargetInfo &To,
                       Milliseconds TimeLeft) const = 0;

  virtual AnswerFacts readAnswer(const HttpAnswer &Answer) const = 0;

  /// Field by which a target tells which request it answers.
  virtual std::string_view requestIdField() const = 0;
};

} // namespace monsoon

#endif
