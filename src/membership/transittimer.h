#ifndef MONSOON_MEMBERSHIP_TRANSITTIMER_H
#define MONSOON_MEMBERSHIP_TRANSITTIMER_H

#include "core/hostreport.h"
#include "ports/clock.h"

#include <map>
#include <optional>
#include <string>

namespace monsoon {

/// Bounds how long the messages of peers were on their way, without
/// synchronized clocks. Each message echoes the newest clock reading that its
/// sender has got from the receiver. It was sent after that reading arrived, so
/// it is no older than the reading, less the time for which the sender held it.
/// The bound holds however long messages wait in queues and buffers.
class TransitTimer {
public:
  explicit TransitTimer(const Clock &Time) : m_Clock(Time) {}

  /// The stamp for a message that is sent to the peer now.
  MessageStamp stampFor(const std::string &Peer) const;
  /// Notes the stamp of a message that was received now. Returns the longest
  /// time for which it can have been on its way; empty if it echoes nothing or
  /// an impossible reading, so that nothing is known.
  std::optional<Duration> noteReceived(const std::string &Peer,
                                       const MessageStamp &Stamp);
  /// Forgets a peer that is no longer a member.
  void forget(const std::string &Peer) { m_Newest.erase(Peer); }

private:
  struct Reading {
    Milliseconds m_SentAt{0};
    TimePoint m_ReceivedAt{};
  };

  const Clock &m_Clock;
  std::map<std::string, Reading> m_Newest;
};

} // namespace monsoon

#endif
