#ifndef MONSOON_MEMBERSHIP_HOSTPRESENCE_H
#define MONSOON_MEMBERSHIP_HOSTPRESENCE_H

#include "core/hostshare.h"
#include "membership/topicfollower.h"

#include <map>
#include <string>

namespace monsoon {

/// Tells the other entry hosts through the log that this one is there, and
/// learns which others are, so that limits over all hosts can be divided.
class HostPresence {
public:
  HostPresence(std::string Host, std::string Topic, SharedLog &Log,
               const Clock &Time);

  HostPresence(const HostPresence &) = delete;
  HostPresence &operator=(const HostPresence &) = delete;

  void tick();
  /// Removes this host; called at a stop.
  void leave();

  /// How limits are divided at the moment. A host that lost touch with the log
  /// has no part, since the others divide it among themselves by then.
  HostShare share() const;
  /// Hosts that are there, this one included.
  size_t hosts() const;

private:
  void announce(TimePoint Now);
  void noteRecords(const KeyedPage &Page);

  const std::string m_Host;
  const std::string m_Topic;
  SharedLog &m_Log;
  const Clock &m_Clock;
  TopicFollower m_Follower;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  std::map<std::string, TimePoint> m_Seen;
  bool m_Announcing = false;
  bool m_Left = false;
  TimePoint m_NextAnnouncement{};
  TimePoint m_LastAnnounced{};
};

} // namespace monsoon

#endif
