#ifndef MONSOON_MEMBERSHIP_TOPICFOLLOWER_H
#define MONSOON_MEMBERSHIP_TOPICFOLLOWER_H

#include "ports/clock.h"
#include "ports/sharedlog.h"

#include <functional>
#include <memory>
#include <string>

namespace monsoon {

/// Follows a keyed topic: first the newest record of each key, then all that
/// comes after. Starts over when records were dropped before they were read.
class TopicFollower {
public:
  struct Options {
    std::string m_Topic;
    /// How long a read waits for a record.
    Milliseconds m_Wait{1000};
    /// Pause between two reads; longer ones save calls.
    Milliseconds m_Pause{0};
  };

  /// Whole is true when the page holds the newest record of every key, so that
  /// keys which are not in it don't exist.
  using Callback = std::function<void(const KeyedPage &Page, bool Whole)>;

  TopicFollower(Options Config, SharedLog &Log, const Clock &Time,
                Callback Records);

  TopicFollower(const TopicFollower &) = delete;
  TopicFollower &operator=(const TopicFollower &) = delete;

  /// Starts a read when one is due; called several times a second.
  void tick();

  void setPause(Milliseconds Value) { m_Config.m_Pause = Value; }

  /// True once the topic was read as a whole.
  bool isSynced() const { return m_Synced; }
  /// When a read was last answered.
  TimePoint lastRead() const { return m_LastRead; }
  LogOffset end() const { return m_End; }
  /// Raises the end after own records were appended there.
  void skipTo(LogOffset End);

private:
  void readAll();
  void readOn();
  void failed(ErrorKind Kind);

  Options m_Config;
  SharedLog &m_Log;
  const Clock &m_Clock;
  Callback m_Records;
  /// Callbacks of the log outlive the follower only as long as this does.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  bool m_Synced = false;
  bool m_StartOver = true;
  bool m_Reading = false;
  LogOffset m_End = 0;
  TimePoint m_LastRead{};
  TimePoint m_NextRead{};
};

} // namespace monsoon

#endif
