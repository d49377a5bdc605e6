#ifndef MONSOON_HTTP_TARGETCLIENT_H
#define MONSOON_HTTP_TARGETCLIENT_H

#include "concurrency/workerpool.h"
#include "http/connectionpool.h"
#include "ports/targetservice.h"

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <memory>
#include <optional>
#include <string>

namespace monsoon {

/// Sends requests to targets over HTTP, on kept-open connections.
///
/// What is agreed with targets: X-Request-Id names the request,
/// X-Correlation-Id the try (returned with the answer), X-Deadline-Ms the time
/// that is left, X-Range and X-Fence the right of an owner. A refusal without
/// execution carries X-Not-Run with a reason; X-Instance names the process.
/// X-Clock is the target's monotonic clock in milliseconds as it answers;
/// X-Not-After is a reading of that clock after which a request must not take
/// effect, however long it was on its way.
class TargetClient : public TargetService {
public:
  TargetClient();

  AttemptResult send(const Attempt &Order, const std::function<bool()> &MaySend,
                     AnswerSink *Sink) override;
  void cancel(const Target &Destination,
              const std::string &CorrelationId) override;

private:
  /// A reading of a target's clock, and when it was received here.
  struct ClockReading {
    int64_t m_TargetMs = 0;
    TimePoint m_ReceivedAt;
  };
  struct Peer {
    Peer(const Endpoint &Address, Milliseconds ConnectTimeout)
        : m_Pool(Address, ConnectTimeout) {}
    ConnectionPool m_Pool;
    absl::Mutex m_Mutex;
    std::optional<ClockReading> m_Clock ABSL_GUARDED_BY(m_Mutex);
  };

  Peer &peerFor(const Target &Destination);
  static void noteClock(Peer &To, const httplib::Response &Response);
  /// The target's clock at a moment of ours, or a little earlier.
  static std::optional<int64_t> targetClock(Peer &To, TimePoint Moment);
  static void askClock(Peer &To, const Attempt &Order);

  absl::Mutex m_Mutex;
  absl::flat_hash_map<std::string, std::unique_ptr<Peer>>
      m_Peers ABSL_GUARDED_BY(m_Mutex);
  WorkerPool m_Cancellations;
};

} // namespace monsoon

#endif
