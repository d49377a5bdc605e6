#ifndef MONSOON_PORTS_TARGETSERVICE_H
#define MONSOON_PORTS_TARGETSERVICE_H

#include "core/attempt.h"

#include <functional>
#include <memory>
#include <string_view>

namespace monsoon {

/// Receives a streamed answer: first its head, then its body in pieces.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  /// Receives status and header fields; returns false to cancel the answer.
  virtual bool head(const TargetAnswer &Head) = 0;
  /// Receives a piece of the body; returns false to cancel the answer.
  virtual bool body(std::string_view Piece) = 0;
};

/// Sends one request to one target.
class TargetService {
public:
  virtual ~TargetService() = default;

  /// Sends an attempt and blocks until it is answered. MaySend is called right
  /// before the first byte is written; nothing is sent if it returns false. If
  /// Sink is given, it receives the body in pieces; otherwise the result holds
  /// the whole body.
  virtual AttemptResult send(const Attempt &Request,
                             const std::function<bool()> &MaySend,
                             AnswerSink *Sink) = 0;

  /// Asks the target to cancel a request that is no longer needed.
  virtual void cancel(const Target &Destination,
                      const std::string &CorrelationId) = 0;
};

} // namespace monsoon

#endif
