#ifndef MONSOON_KEYOWNER_RANGEKEEPER_H
#define MONSOON_KEYOWNER_RANGEKEEPER_H

#include "core/hostreport.h"
#include "keyowner/keyload.h"
#include "keyowner/keytable.h"
#include "keyowner/rangeplanner.h"
#include "membership/topicfollower.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/grantchannel.h"
#include "ports/leasesource.h"
#include "ports/sharedlog.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace monsoon {

/// Times by which a pool's keys are kept.
struct KeeperTimes {
  /// For how long a grant holds, from its arrival. Shorter ones lapse before
  /// another host has taken over from a lost one; longer ones keep a lost
  /// owner's keys unserved for longer.
  Milliseconds m_Hold{2700};
  Milliseconds m_GrantRenewal{700};
  /// Longest hold that targets accept. Granted while the log does not answer,
  /// so that owners outlast its outage.
  Milliseconds m_LongestHold{10'000};
  /// How long the targets of a new pool have to stay the same before their
  /// first keys are assigned.
  Milliseconds m_Settling{1000};
};

/// Keeps one pool's keys assigned. Every entry host runs one; the one with the
/// pool's lease decides. Leases may overlap, so the hosts agree through a topic
/// of the log in which each append names the offset at which the topic has to
/// end: decisions are taken one after the other and on the newest state.
///
/// A holder begins by recording a term of its own with new fences. It plans
/// moves, records them and only then grants. A key is granted to another target
/// only after its former owner has released it under a grant of the same term,
/// or after the longest hold that anybody may have given it has run out. See
/// docs/design/platform.md.
class RangeKeeper {
public:
  struct Parts {
    const Clock &m_Clock;
    SharedLog &m_Log;
    GrantChannel &m_Grants;
    const LeaseSource &m_Leases;
    EventSink &m_Events;
  };

  RangeKeeper(std::string Host, std::string Pool, std::string Topic,
              KeeperTimes Times, Parts Ports);

  RangeKeeper(const RangeKeeper &) = delete;
  RangeKeeper &operator=(const RangeKeeper &) = delete;

  /// Called when another table holds.
  void onChange(std::function<void()> Callback) {
    m_Changed = std::move(Callback);
  }

  /// Follows the log and does what is due; called several times a second.
  void tick();
  /// Known are all targets of the pool; those in Usable may own keys, with
  /// their capacity.
  void setTargets(const std::map<std::string, TargetInfo> &Known,
                  const std::map<std::string, double> &Usable);
  /// A request for that key arrived here.
  void noteRequest(uint32_t Key) {
    m_Load.note(Key);
    ++m_Counts[Key];
  }
  /// Requests for that key arrived at another host.
  void noteRequestsElsewhere(uint32_t Key, uint32_t Count) {
    if (Key < KeyCount)
      m_Load.note(Key, Count);
  }
  /// The requests that arrived here since the last call, by key.
  std::map<uint32_t, uint32_t> takeCounts() {
    return std::exchange(m_Counts, {});
  }
  /// Requests a second that are known of.
  double requestRate() const { return m_Load.total(); }
  /// Each change of the owners is read by every host. With more of them, more
  /// changes are recorded and read at a time.
  void setHosts(size_t Count);
  /// Known requests a second, per unit of capacity, from which a target gives
  /// keys away.
  void setCrowdedLoad(double Value) { m_CrowdedLoad = Value; }
  /// The changes that this host has recorded since the last call, for others.
  std::vector<OwnersNews> takeNews() { return std::exchange(m_News, {}); }
  bool hasNews() const { return !m_News.empty(); }
  /// Another host has recorded changes. They are used for requests only: before
  /// this host decides anything it reads the log.
  void noteNews(const OwnersNews &News);
  /// The last term in which this host held the lease, once it is over.
  std::optional<EndedTerm> endedTerm() const;
  /// A host tells of a term of its own that is over. From the holder before
  /// this one it shortens the time for which owners out of reach keep keys.
  void noteEndedTerm(const std::string &Host, const EndedTerm &Ended);
  /// Some host has read the log at that moment, so that it is up.
  void noteLogSeen(TimePoint At) { m_LogSeen = std::max(m_LogSeen, At); }
  /// The topic of the log, and how it is read; see TopicFollower.
  const std::string &topic() const { return m_Topic; }
  TopicFollower &follower() { return m_Follower; }
  /// Null until the state was read.
  KeyTablePtr table() const { return m_Table; }
  const std::string &pool() const { return m_Pool; }
  bool isHolder() const { return m_Holding; }
  const OwnerLease &lease() const { return m_Lease; }
  /// True while the host keeps up with the log.
  bool isSynced() const { return m_Follower.isSynced(); }

private:
  /// A target that could not be reached, and until when it gets no keys.
  struct Shunned {
    TimePoint m_Until{};
    Duration m_Length{};
  };

  /// What is known of the grants of one assignment.
  struct GrantState {
    /// Until when the owner may hold the keys, on this host's clock.
    TimePoint m_HoldEnd{};
    /// The same without the order that is under way.
    TimePoint m_HoldEndBefore{};
    /// Both counting the orders of this holder alone.
    TimePoint m_OwnHoldEnd{};
    TimePoint m_OwnHoldEndBefore{};
    /// Until when an order without an answer may still be carried out.
    TimePoint m_UnansweredUntil{};
    TimePoint m_NextGrant{};
    TimePoint m_LastAccepted{};
    bool m_InFlight = false;
    /// True once the owner has accepted a grant of this holder, which makes it
    /// refuse those of former ones.
    bool m_Accepted = false;
    /// Another target has the owner's address.
    bool m_OwnerGone = false;
    int m_UnreachableInRow = 0;
    std::string m_Handover;
  };

  enum class MoveStep { Waiting, Releasing, Freed, Recording };

  struct Move {
    PlannedMove m_Plan;
    /// The assignment that ends.
    uint64_t m_Fence = 0;
    MoveStep m_Step = MoveStep::Waiting;
    TimePoint m_Started{};
    TimePoint m_NextRelease{};
    bool m_ReleaseInFlight = false;
    std::string m_Handover;
  };

  void resync();
  void fold(const KeyedPage &Page);
  void foldRecord(const KeyedRecord &Record);
  void adopt(KeyTablePtr Table);
  void takeOver();
  void stepDown(const char *Why);
  void append(const std::vector<KeyedRecord> &Records, const KeyTablePtr &Next,
              std::function<void()> Accepted);
  void addNews(const KeyTable &Next, LogOffset From, LogOffset End);
  void assignFirst(TimePoint Now);
  void advanceMoves(TimePoint Now);
  bool advanceRelease(Move &Each, TimePoint Now);
  void recordMoves();
  void planMoves(TimePoint Now);
  void startMoves(const std::vector<PlannedMove> &Plan, TimePoint Now);
  void shun(const std::string &Id, TimePoint Now);
  bool hasNewLife(const OwnedRange &Range) const;
  bool isOrphaned(const OwnedRange &Range, TimePoint Now) const;
  void renewGrants(TimePoint Now);
  void sendGrant(const OwnedRange &Range, const TargetInfo &To, TimePoint Now);
  void grantDone(uint64_t Fence, uint64_t Term, TimePoint Sent,
                 Milliseconds Hold, OrderResult Result);
  const TargetInfo *lifeOf(const OwnedRange &Range) const;
  bool isMoving(uint64_t Fence) const;
  bool isReleasing(uint64_t Fence) const;
  bool hasLease(TimePoint Now) const;
  static Milliseconds holdBound(Milliseconds Hold);
  void log(Severity Level, const char *Name, EventSink::Details Fields);

  const std::string m_Host;
  const std::string m_Pool;
  const std::string m_Topic;
  const KeeperTimes m_Times;
  const Parts m_Ports;
  std::function<void()> m_Changed;
  /// Callbacks outlive the keeper only as long as this does.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);

  TopicFollower m_Follower;
  bool m_Resyncing = false;
  /// A read after an append without an answer has failed as well.
  bool m_ResyncDue = false;
  /// Records before this offset are part of the state.
  LogOffset m_Folded = 0;
  bool m_AppendPending = false;
  KeyTablePtr m_Table;
  /// True while the table has changes that were told by other hosts.
  bool m_Told = false;
  std::vector<OwnersNews> m_News;
  OwnerLease m_Lease;

  bool m_Holding = false;
  TimePoint m_TookOver{};
  /// When another host was seen to have taken the lease over.
  TimePoint m_SupersededAt{};
  /// The lease that this host's own followed on.
  OwnerLease m_Former;
  uint64_t m_OwnTerm = 0;
  /// Until when owners may hold keys by the orders of former holders, and by
  /// those of this one.
  TimePoint m_FormerHoldsEnd{};
  TimePoint m_OwnHoldsEnd{};
  TimePoint m_LogSeen{};
  /// True while grants are given for the longest time.
  bool m_LogTroubled = false;

  std::map<std::string, TargetInfo> m_Known;
  std::map<std::string, double> m_Usable;
  TimePoint m_UsableSince{};
  std::map<uint64_t, GrantState> m_Grants;
  std::map<std::string, Shunned> m_Shunned;
  std::deque<Move> m_Moves;
  KeyLoad m_Load;
  std::map<uint32_t, uint32_t> m_Counts;
  double m_CrowdedLoad = 0;
  TimePoint m_NextFade{};
  TimePoint m_NextPlan{};
  TimePoint m_NextRecord{};
  Milliseconds m_RecordPause{0};
};

} // namespace monsoon

#endif
