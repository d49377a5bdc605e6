#ifndef MONSOON_CORE_HOSTREPORT_H
#define MONSOON_CORE_HOSTREPORT_H

#include "core/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace monsoon {

/// Time for which the last reported demand of a host's customers counts when
/// no further report of it arrives. The host itself keeps its share of their
/// allowances for less than that, so no part of it is used twice.
constexpr std::chrono::seconds CustomerDemandLifetime{6};

/// Age of read progress whose way to this host may have taken any time.
constexpr std::chrono::hours UnknownProgressAge{24};

/// Read position of a host in a topic of the log.
struct TopicProgress {
  /// Offset after the last record that the host has read.
  uint64_t m_End = 0;
  /// Offset after the last record that changed the state; a reader that has
  /// got this far may skip the records up to m_End.
  uint64_t m_LastChangeEnd = 0;
  /// Time since the host read that the topic ended at m_End. At the receiver of
  /// a report, an upper bound that includes the way of the report.
  Milliseconds m_Age{0};

  auto tie() const { return std::tie(m_End, m_LastChangeEnd, m_Age); }
  friend bool operator==(const TopicProgress &A, const TopicProgress &B) {
    return A.tie() == B.tie();
  }
};

/// A record of a keyed topic as gossip carries it. Without a value, the key was
/// removed.
struct TopicRecord {
  std::string m_Key;
  std::optional<std::string> m_Value;
  uint64_t m_Offset = 0;

  auto tie() const { return std::tie(m_Key, m_Value, m_Offset); }
  friend bool operator==(const TopicRecord &A, const TopicRecord &B) {
    return A.tie() == B.tie();
  }
};

/// The records of a topic that changed something between two offsets. Entry
/// hosts gossip them so that their peers need not read them from the log.
struct TopicRecords {
  std::string m_Topic;
  /// Offset after the last change before these records. A peer that has read
  /// this far misses none by applying them.
  uint64_t m_From = 0;
  /// Offset up to which there are no other changes.
  uint64_t m_End = 0;
  std::vector<TopicRecord> m_Records;

  auto tie() const { return std::tie(m_Topic, m_From, m_End, m_Records); }
  friend bool operator==(const TopicRecords &A, const TopicRecords &B) {
    return A.tie() == B.tie();
  }
};

/// Clock readings that two hosts exchange with their messages, so that the
/// receiver can bound how long a message was on its way; see TransitTimer.
struct MessageStamp {
  /// Reading of the sender's clock when it sent the message. Only the sender
  /// can interpret it.
  Milliseconds m_SentAt{0};
  /// m_SentAt of the newest message that the sender has received from the
  /// receiver of this one; empty if there is none.
  std::optional<Milliseconds> m_Echo;
  /// Time between the receipt of that message and the sending of this one.
  Milliseconds m_EchoHeldFor{0};

  auto tie() const { return std::tie(m_SentAt, m_Echo, m_EchoHeldFor); }
  friend bool operator==(const MessageStamp &A, const MessageStamp &B) {
    return A.tie() == B.tie();
  }
};

/// The members of the group of entry hosts in one generation.
struct MemberList {
  uint64_t m_Generation = 0;
  std::set<std::string> m_Names;

  friend bool operator==(const MemberList &A, const MemberList &B) {
    return A.m_Generation == B.m_Generation && A.m_Names == B.m_Names;
  }
};

/// Load of several entry hosts together, by target.
struct LoadSummary {
  /// Number of hosts whose load is included.
  uint32_t m_Hosts = 0;
  std::map<std::string, int> m_InFlight;
  std::map<std::string, int> m_Waiting;
  /// Demand of customers, as in HostReport.
  std::map<std::string, int> m_CustomerDemand;

  auto tie() const {
    return std::tie(m_Hosts, m_InFlight, m_Waiting, m_CustomerDemand);
  }
  friend bool operator==(const LoadSummary &A, const LoadSummary &B) {
    return A.tie() == B.tie();
  }
};

/// Keys from m_First to m_Last, both included, whose owner or fence changed.
struct OwnerChange {
  uint32_t m_First = 0;
  uint32_t m_Last = 0;
  std::string m_Owner;
  int64_t m_Incarnation = 0;
  uint64_t m_Fence = 0;

  auto tie() const {
    return std::tie(m_First, m_Last, m_Owner, m_Incarnation, m_Fence);
  }
  friend bool operator==(const OwnerChange &A, const OwnerChange &B) {
    return A.tie() == B.tie();
  }
};

/// Changes that one log record made to the owner table of a pool. Entry hosts
/// gossip them so that their peers need not read the record from the log.
struct OwnerTableUpdate {
  std::string m_Pool;
  /// Log offsets before and after the record. A peer applies the update only
  /// if its own table stands at m_From.
  uint64_t m_From = 0;
  uint64_t m_End = 0;
  uint64_t m_NextFence = 0;
  std::vector<OwnerChange> m_Changes;

  auto tie() const {
    return std::tie(m_Pool, m_From, m_End, m_NextFence, m_Changes);
  }
  friend bool operator==(const OwnerTableUpdate &A, const OwnerTableUpdate &B) {
    return A.tie() == B.tie();
  }
};

/// The last term of a previous lease holder of a pool, reported to the next
/// holder.
struct EndedTerm {
  uint64_t m_Term = 0;
  /// Time for which owners may still hold keys under grants of that term or of
  /// earlier terms.
  Milliseconds m_RemainingHoldTime{0};
  friend bool operator==(const EndedTerm &A, const EndedTerm &B) {
    return std::tie(A.m_Term, A.m_RemainingHoldTime) ==
           std::tie(B.m_Term, B.m_RemainingHoldTime);
  }
};

/// What a host knows of the owners of a pool from before a restoration of the
/// log. Reported until a host has taken over in the present epoch.
struct FormerOwners {
  /// Epoch of the log that the host has read.
  uint64_t m_Epoch = 0;
  /// The next fence of its table. Every change of the owners raises it, so of
  /// two tables the one with the higher fence has all changes of the other.
  uint64_t m_NextFence = 0;

  friend bool operator==(const FormerOwners &A, const FormerOwners &B) {
    return std::tie(A.m_Epoch, A.m_NextFence) ==
           std::tie(B.m_Epoch, B.m_NextFence);
  }
};

/// Gossip message of one entry host to its peers: its load, its progress in the
/// log topics and what it has read or changed there. Among many hosts, relays
/// also pass on what they have received; see LoadGossip.
struct HostReport {
  std::string m_Host;
  /// Increases with each report of the host; older reports are dropped.
  uint64_t m_Sequence = 0;
  /// Differs between the receivers of one report; added by encodeStamped().
  std::optional<MessageStamp> m_Stamp;
  /// Highest version of the configuration that this host or, as far as it has
  /// heard, another one has applied; 0 if none.
  int64_t m_ConfigVersion = 0;
  /// True for an extra report between two regular ones. It has no load figures
  /// (m_InFlight, m_Waiting, m_CustomerDemand, m_KeyCounts), only topics, owner
  /// updates and ended terms.
  bool m_OmitsLoad = false;
  /// Requests in flight by target; idle targets are left out.
  std::map<std::string, int> m_InFlight;
  /// Requests in the owner queues, by target.
  std::map<std::string, int> m_Waiting;
  /// Requests of customers in ten seconds, by customer name; only those beyond
  /// an equal part of the customer's limit.
  std::map<std::string, int> m_CustomerDemand;
  /// Requests since the last report, by pool and key.
  std::map<std::string, std::map<uint32_t, uint32_t>> m_KeyCounts;
  /// Read positions by topic.
  std::map<std::string, TopicProgress> m_Topics;
  /// Changes of owner tables since the last report.
  std::vector<OwnerTableUpdate> m_OwnerUpdates;
  /// The last ended term of this host, by pool.
  std::map<std::string, EndedTerm> m_EndedTerms;
  /// By pool; only pools whose log was restored.
  std::map<std::string, FormerOwners> m_FormerOwners;
  /// Records read since the last report that changed something.
  std::vector<TopicRecords> m_TopicRecords;
  /// Targets whose answers say that they are leaving, with their incarnations.
  std::map<std::string, int64_t> m_LeavingTargets;
  /// The members of the group, if this host has just read them.
  std::optional<MemberList> m_Members;
  /// Number of hosts that the load figures are the sum of. More than 1 in the
  /// reports that relays send to other failure domains.
  uint32_t m_SummedHosts = 1;
  /// Load of the hosts in other failure domains, from a relay.
  LoadSummary m_OtherDomains;
  /// Read positions of hosts in other failure domains, from a relay.
  std::map<std::string, TopicProgress> m_RelayedTopics;

  auto tie() const {
    return std::tie(m_Host, m_Sequence, m_OmitsLoad, m_InFlight, m_Waiting,
                    m_CustomerDemand, m_KeyCounts, m_Topics, m_OwnerUpdates,
                    m_EndedTerms, m_FormerOwners, m_TopicRecords, m_Members,
                    m_SummedHosts, m_OtherDomains, m_RelayedTopics,
                    m_LeavingTargets, m_Stamp, m_ConfigVersion);
  }
  friend bool operator==(const HostReport &A, const HostReport &B) {
    return A.tie() == B.tie();
  }
};

} // namespace monsoon

#endif
