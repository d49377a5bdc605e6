#ifndef MONSOON_MEMBERSHIP_TOPICFOLLOWER_H
#define MONSOON_MEMBERSHIP_TOPICFOLLOWER_H

#include "core/hostreport.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/sharedlog.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsoon {

/// Follows a keyed topic: reads the newest record of each key, then all later
/// records. Repeats the full read if records expired before they were read, and
/// in a new epoch of the log.
///
/// The entry hosts gossip their read progress and, if the callback publishes
/// them, the records that changed something. Of each key the record with the
/// highest offset counts, so a record is delivered when it arrives, whatever is
/// missing before it; an own read later passes over what it replaces. Only the
/// read position needs all records before it. The host with reader rank 0, the
/// designated reader, reads continuously. Another host reads when a peer has
/// seen a change and the gossip has not delivered it within m_GossipWait, or
/// when its knowledge of the topic is older than m_StandbyStaleness plus a
/// delay by rank. Failed reads are repeated after 150 ms, doubled up to 600 ms.
///
/// A page may end before the topic does. The host then counts as out of date
/// and reads on at once: the rest of the records, or the newest record of each
/// key if these are fewer, so that the time to catch up does not grow with the
/// time that was missed.
/// Logs topic_read_failed, once per series of failures, topic_caught_up after
/// more than 2 s in which the topic was not known completely, and topic_gap
/// once per gap in the records that peers publish.
class TopicFollower {
public:
  struct Options {
    std::string m_Topic;
    /// How long a read waits for a record.
    Milliseconds m_Wait{1000};
    /// Pause between two reads; a longer one saves calls.
    Milliseconds m_Pause{0};
    /// Staleness from which a host other than the designated reader reads.
    Milliseconds m_StandbyStaleness{1000};
    /// How long such a host waits for gossip to deliver a change that a peer
    /// has read, before it reads by itself.
    Milliseconds m_GossipWait{0};
  };

  /// Called with the records of each read. IsFull is true if the page holds the
  /// newest record of every key, so that keys that are not in it don't exist.
  /// Returns true if the records changed something that peers need to read.
  using Callback = std::function<bool(const KeyedPage &Page, bool IsFull)>;

  TopicFollower(Options Config, SharedLog &Log, const Clock &Time,
                EventSink &Events, Callback OnRecords);

  TopicFollower(const TopicFollower &) = delete;
  TopicFollower &operator=(const TopicFollower &) = delete;

  /// Starts a read if one is due; called several times a second.
  void tick();

  void setPause(Milliseconds Value) { m_Config.m_Pause = Value; }
  void setStandbyStaleness(Milliseconds Value) {
    m_Config.m_StandbyStaleness = Value;
  }

  /// Sets the reader rank of this host; 0 is the designated reader, the others
  /// read later by rank.
  void setReaderRank(size_t Value) { m_Rank = Value; }
  size_t readerRank() const { return m_Rank; }
  /// Applies the read progress of a peer.
  void applyPeerProgress(const TopicProgress &Peer);
  /// Read progress of this host, for the peers.
  TopicProgress progress() const;
  /// Makes the next read a full one.
  void requestFullRead();

  /// What the follower does about the records that it doesn't know, for logs:
  /// "reading", "retrying" after failed reads, "awaiting_gossip" when a peer
  /// has read more, or "idle".
  const char *activity() const;

  /// True once a full read has succeeded.
  bool isSynced() const { return m_IsSynced; }
  /// Latest moment for which this host is known to know the topic completely:
  /// the start of a read that reached the end, or a peer's, however long the
  /// answer or the peer's report took.
  TimePoint upToDateAt() const { return m_UpToDateAt; }
  LogOffset end() const { return m_End; }
  /// True while the callback gets the first page of a later epoch than the
  /// former pages. It may lack records that former pages had.
  bool isDeliveringRestored() const { return m_IsDeliveringRestored; }
  /// Skips to the present end of the topic, when all records before it are
  /// known from elsewhere.
  void skipTo(LogOffset End);
  /// Skips the records before this offset, which a peer has delivered.
  void advanceByGossip(LogOffset End);

  /// Called by the callback for each record of the page that peers need, so
  /// that they get it by gossip. Has no effect for records that came by gossip,
  /// in the first read of the topic, and for those that a peer has read, unless
  /// this is the designated reader.
  void publish(const KeyedRecord &Record);
  /// Called instead of publish() if a record changed something but peers have
  /// to read it from the log themselves.
  void withhold();
  /// True while the callback gets records that it should publish.
  bool isPublishing() const { return m_IsPublishing; }
  /// Returns the published records since the last call. Of a page with more
  /// than 8 KB of them only that much is kept, removals first; peers read the
  /// rest from the log.
  std::vector<TopicRecords> takePublished() {
    return std::exchange(m_Published, {});
  }
  /// Delivers records that a peer has published, but for those that are older
  /// than what is known of their keys. Before the first read they are kept.
  void applyPublished(const TopicRecords &Records);

private:
  void readFull();
  void readNext();
  void scheduleRetry(const Failure &Error);
  /// Logs that published records can't be applied in order.
  void logGap(const TopicRecords &Records);
  /// Logs the end of a time in which the topic was not known completely.
  void logCaughtUp(TimePoint Now);
  bool isReadDue(TimePoint Now) const;
  /// CompleteAt: the topic is known with this page as it was at this moment;
  /// empty if more is to be read.
  void deliver(const KeyedPage &Page, bool IsFull,
               std::optional<TimePoint> CompleteAt);
  /// Moves the records that the callback has published for the page up to m_End
  /// to m_Published. Only a whole page continues the records before From: what
  /// a full read passed over, and what was left out, is unknown to peers.
  void finishPublishing(LogOffset From, bool IsFull);
  /// True if the record is newer than what is known of its key.
  bool isNews(const std::string &Key, LogOffset Offset) const;
  /// Notes that some peer knows of a change before End.
  void notePeersChanged(LogOffset End);
  /// Forgets the records in m_Ahead that lie before m_End.
  void dropPassed();
  /// Replaces the records of a full read that m_Ahead has newer ones for, and
  /// notes those that were appended while it was read.
  void mergeAhead(KeyedPage &Page);

  Options m_Config;
  SharedLog &m_Log;
  const Clock &m_Clock;
  EventSink &m_Events;
  Callback m_OnRecords;
  /// Lets callbacks of the log detect that the follower was destroyed.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  bool m_IsSynced = false;
  bool m_NeedsFullRead = true;
  /// True after a page that ended before the topic did.
  bool m_IsCatchingUp = false;
  /// Number of records in the last full read.
  size_t m_FullReadRecords = 0;
  bool m_IsReading = false;
  TimePoint m_ReadStart{};
  LogOffset m_End = 0;
  /// Offset after the last record that changed something; peers may skip the
  /// records from there to m_End.
  LogOffset m_Changed = 0;
  /// Highest such offset that peers have reported, and the time at which it
  /// first exceeded m_End.
  LogOffset m_PeersChanged = 0;
  TimePoint m_PeersChangedAt{};
  bool m_IsDeliveringRestored = false;
  size_t m_Rank = 0;
  TimePoint m_UpToDateAt{};
  /// Time at which this host's own reads last covered the topic. Only this is
  /// sent to peers: if hosts forwarded what they learnt by gossip, its age
  /// would never grow.
  TimePoint m_OwnReadAt{};
  TimePoint m_NextRead{};
  Milliseconds m_RetryDelay;
  /// Own reads that have failed since the last successful one.
  int m_FailedReads = 0;
  /// True while the records of an own read other than the first are delivered.
  bool m_IsPublishing = false;
  /// m_End at the last gap that was logged.
  std::optional<LogOffset> m_LoggedGapAt;
  /// Known records that lie after m_End, the newest of each key: a peer has
  /// published them, or a full read found them after its end. The callback
  /// finds nothing new in them when an own read covers them.
  std::map<std::string, TopicRecord> m_Ahead;
  std::vector<TopicRecord> m_BeingPublished;
  /// True if the page has changes that peers have to read themselves.
  bool m_HasWithheld = false;
  std::vector<TopicRecords> m_Published;
};

} // namespace monsoon

#endif
