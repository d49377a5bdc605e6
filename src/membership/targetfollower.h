#ifndef MONSOON_MEMBERSHIP_TARGETFOLLOWER_H
#define MONSOON_MEMBERSHIP_TARGETFOLLOWER_H

#include "core/outcome.h"
#include "membership/targetdirectory.h"
#include "membership/topicfollower.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace monsoon {

/// Follows the topic in which the targets register, and keeps the directory of
/// them. Decides which entries peers need: those that change more than a
/// heartbeat does, and removals of targets that this host does not keep.
///
/// Entries that say that their target is leaving are also told in short, so
/// that a wave of them fits into one message, and twice, since messages may be
/// lost; see takeLeaves().
class TargetFollower {
public:
  /// Receives what the follower learns. Calls come from update() and from own
  /// reads of the topic.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// The targets have changed. Source: "read", "full_read", "gossip", or
    /// "expiry" of an entry that was kept while it was missing.
    virtual void targetsChanged(const TargetMap &Targets,
                                const char *Source) = 0;
    /// An own read has found news for the peers.
    virtual void newsRead() = 0;
    /// True if peers have told this host that the target's present process is
    /// leaving.
    virtual bool isKnownToLeave(const TargetInfo &Info) const = 0;
    /// True if the next heartbeat of the target matters to all hosts.
    virtual bool isHeartbeatAwaited(const std::string &Id) const = 0;
  };

  /// Decodes the entry of a target.
  using Decoder = std::function<Outcome<TargetInfo>(const std::string &Id,
                                                    const std::string &Text)>;

  TargetFollower(TopicFollower::Options Config, SharedLog &Log,
                 const Clock &Time, EventSink &Events, Decoder DecodeEntry,
                 Listener &Owner);

  TargetFollower(const TargetFollower &) = delete;
  TargetFollower &operator=(const TargetFollower &) = delete;

  /// Passes on what peers have published since the last call, and drops missing
  /// entries that are no longer kept; called several times a second, before
  /// tick() of the topic.
  void update();

  /// Takes the targets, with their incarnations, of which peers should hear in
  /// the next report that they are leaving. At most 256 at a time.
  std::map<std::string, int64_t> takeLeaves();
  /// True if takeLeaves() has targets that were not told yet.
  bool hasUntoldLeaves() const;

  TopicFollower &topic() { return m_Topic; }
  const TopicFollower &topic() const { return m_Topic; }
  const TargetMap &targets() const { return m_Directory.targets(); }

private:
  /// Applies the records of a page. Returns true if peers need one of them.
  bool apply(const KeyedPage &Page, bool IsFull);
  void applyEntry(const KeyedRecord &Record, bool &Changed);
  /// Removes the targets that a page with all entries lacks, and returns the
  /// removals.
  std::vector<KeyedRecord> removeMissing(const KeyedPage &Page);
  /// Passes removals on, once notify() has decided which targets are kept.
  void publishRemovals(const std::vector<KeyedRecord> &Removals);
  /// Passes the targets on if they have changed.
  void notify(const char *Source);

  const Clock &m_Clock;
  EventSink &m_Events;
  Decoder m_DecodeEntry;
  Listener &m_Listener;
  TargetDirectory m_Directory;
  /// True if records of peers were applied since the last notify(). The targets
  /// are passed on at the next update(): many messages tell of one wave.
  bool m_HasGossip = false;
  struct UntoldLeave {
    int64_t m_Incarnation = 0;
    /// Reports that still have to tell it.
    int m_Reports = 0;
  };
  std::map<std::string, UntoldLeave> m_Leaves;
  TopicFollower m_Topic;
};

} // namespace monsoon

#endif
