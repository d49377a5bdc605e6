#ifndef MONSOON_ENTRY_TARGETREGISTRY_H
#define MONSOON_ENTRY_TARGETREGISTRY_H

#include "entry/targetnode.h"
#include "policy/targetnotices.h"
#include "ports/dialect.h"
#include "ports/eventsink.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoon {

/// From where, and how old, the membership is that a host acts on.
struct MembershipOrigin {
  /// As LeaveNotice::m_Source.
  const char *m_Source = "read";
  /// Time since the membership was last known completely.
  Duration m_Age{};
};

/// The targets of all pools with the state that this host keeps of each, and
/// the failure domains that operators have taken out. Follows the membership.
/// Logs target_joined, target_draining, target_leaving, target_gone, domain_out
/// and domain_back.
class TargetRegistry {
public:
  using LinkPoolFactory =
      std::function<std::unique_ptr<LinkPool>(const Endpoint &)>;

  TargetRegistry(const Clock &Time, LinkPoolFactory MakeLinkPool,
                 EventSink &Events);

  /// Replaces all targets. One with a new incarnation starts with fresh state.
  void setTargets(const TargetMap &Targets, const MembershipOrigin &Origin);
  void setTargets(const TargetMap &Targets) { setTargets(Targets, {}); }
  /// How long ago the membership was last known completely.
  void setMembershipAge(Duration Value) { m_MembershipAge = Value; }
  Duration membershipAge() const { return m_MembershipAge; }
  /// Sets the callback that is called when this host learns from an answer that
  /// a target is leaving.
  void onLeaving(std::function<void()> Callback) {
    m_OnLeaving = std::move(Callback);
  }
  /// Applies what an answer to this host says of the target's own state.
  /// SentAt: when its request was sent. Logs target_limited and
  /// target_unlimited.
  void noteAnswer(const TargetInfo &From, const AnswerMetadata &Facts,
                  TimePoint SentAt);
  /// Notes that the target has stated that it is leaving; Peer is the host that
  /// reports it, or empty if this host got the answer. Returns true if that was
  /// not known.
  bool noteLeaving(const std::string &Id, int64_t Incarnation,
                   const std::string &Peer);
  /// Targets that told this host so lately, with their incarnations; without
  /// those whose entry in the membership says it as well.
  std::map<std::string, int64_t> leavingToReport() const;
  /// Takes a failure domain out or back. Targets of a domain that is back count
  /// as cold until their entries tell or confirmWarmup() ends that.
  void setDomainOut(const std::string &Domain, bool Out);
  /// Replaces the set of failure domains that are out.
  void setDomainsOut(const std::set<std::string> &Domains);

  /// The target with that id, or null.
  TargetNodePtr find(const std::string &Id) const;
  /// All targets of a pool, including those that are not isUsable().
  const std::vector<TargetNodePtr> &findByPool(const std::string &Pool) const;

  /// Number of requests that this host has in flight, by target id.
  std::map<std::string, int> inFlight() const;
  /// Updates the load from peers: requests in flight and queued, by target id.
  /// Coverage is the fraction of the peers that reported; the counts are scaled
  /// up by it, and ignored if it is too small.
  void updatePeerLoad(const std::map<std::string, int> &InFlight,
                      const std::map<std::string, int> &Waiting,
                      double Coverage);

  /// True while heartbeats of a domain that has just come back are expected,
  /// and some of its targets count as cold until then.
  bool expectsHeartbeats() const;
  /// Applies that all entries are known that had been written at KnownAt.
  void confirmWarmup(TimePoint KnownAt);
  /// True if the target may get new requests: it is not draining or leaving,
  /// and its failure domain is not out.
  bool isUsable(const TargetNode &Node) const;
  /// The same for the owner of a key, whom no other target can replace. One
  /// that has said in an answer that it is leaving goes on getting requests
  /// until its keys have been moved, but no longer than 1.5 s.
  bool isUsableOwner(const TargetNode &Node) const;
  /// True if a target of the pool is usable.
  bool hasUsable(const std::string &Pool) const;
  bool isDomainOut(const std::string &Domain) const {
    return m_DomainsOut.count(Domain) > 0;
  }

private:
  /// Notes and logs that a target leaves or is gone, and when this host last
  /// sent it a request.
  void noteLeave(const char *Event, TargetNode &Node,
                 const MembershipOrigin &Origin);
  void noteLimit(const TargetInfo &From, std::optional<double> PerSecond,
                 TimePoint SentAt);
  /// As isUsable(), whatever the target's answers say.
  bool isInService(const TargetNode &Node) const;

  const Clock &m_Clock;
  LinkPoolFactory m_MakeLinkPool;
  EventSink &m_Events;
  std::map<std::string, TargetNodePtr> m_Nodes;
  std::map<std::string, std::vector<TargetNodePtr>> m_ByPool;
  std::set<std::string> m_DomainsOut;
  TargetNotices m_Notices;
  std::function<void()> m_OnLeaving;
  /// When a failure domain last came back.
  TimePoint m_DomainBackAt{};
  Duration m_MembershipAge{};
};

} // namespace monsoon

#endif
