#ifndef MONSOON_MEMBERSHIP_TOPICFOLLOWER_H
#define MONSOON_MEMBERSHIP_TOPICFOLLOWER_H

#include "core/hostreport.h"
#include "ports/clock.h"
#include "ports/sharedlog.h"

#include <functional>
#include <memory>
#include <string>

namespace monsoon {

/// Follows a keyed topic: first the newest record of each key, then all that
/// comes after. Starts over when records were dropped before they were read.
///
/// Of several hosts that tell each other how far they have read, one leads and
/// reads all the time. The others read when it has seen a change, or when
/// nobody has told for some time how far the topic goes.
class TopicFollower {
public:
  struct Options {
    std::string m_Topic;
    /// How long a read waits for a record.
    Milliseconds m_Wait{1000};
    /// Pause between two reads; longer ones save calls.
    Milliseconds m_Pause{0};
    /// A host that does not lead reads when its knowledge is older than this.
    Milliseconds m_StandbyAge{1000};
    /// How long it waits for changes that others have read to be told.
    Milliseconds m_TellingTime{0};
  };

  /// Whole is true when the page holds the newest record of every key, so that
  /// keys which are not in it don't exist. Returns true when the records have
  /// changed something that other hosts have to know as well.
  using Callback = std::function<bool(const KeyedPage &Page, bool Whole)>;

  TopicFollower(Options Config, SharedLog &Log, const Clock &Time,
                Callback Records);

  TopicFollower(const TopicFollower &) = delete;
  TopicFollower &operator=(const TopicFollower &) = delete;

  /// Starts a read when one is due; called several times a second.
  void tick();

  void setPause(Milliseconds Value) { m_Config.m_Pause = Value; }

  /// The first of the hosts leads, the next ones follow it after a while.
  void setRank(size_t Value) { m_Rank = Value; }
  /// Another host has read that far.
  void notePeer(const TopicProgress &Peer);
  /// How far this host knows the topic.
  TopicProgress progress() const;
  /// Reads the whole topic anew before anything else.
  void startOver();

  /// True once the topic was read as a whole.
  bool isSynced() const { return m_Synced; }
  /// The topic was known whole up to this moment.
  TimePoint coveredAt() const { return m_CoveredAt; }
  LogOffset end() const { return m_End; }
  /// The topic ends there now, and what comes before is known.
  void skipTo(LogOffset End);
  /// Another host has told what comes before that offset.
  void noteTold(LogOffset End);

private:
  void readAll();
  void readOn();
  void failed(ErrorKind Kind);
  bool isDue(TimePoint Now) const;
  void passOn(const KeyedPage &Page, bool Whole);

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
  /// Offset after the last record that changed something.
  LogOffset m_Changed = 0;
  /// The same as far as other hosts have told, and when they did first.
  LogOffset m_Wanted = 0;
  TimePoint m_WantedAt{};
  size_t m_Rank = 0;
  TimePoint m_CoveredAt{};
  /// The same by this host's own reads. Only that is told to others: knowledge
  /// that is passed on and on would never grow old.
  TimePoint m_ReadAt{};
  TimePoint m_NextRead{};
  Milliseconds m_RetryPause;
};

} // namespace monsoon

#endif
