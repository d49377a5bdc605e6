#ifndef MONSOON_CORE_MEMBERSHIP_H
#define MONSOON_CORE_MEMBERSHIP_H

#include "core/hostshare.h"
#include "core/ownershipmessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// Gossip message from one entry host to another.
struct Hello {
  std::string m_Name;
  HostId m_Id;
  /// Names of the hosts that the sender has heard within HeardWithin.
  std::set<std::string> m_Heard;
  uint64_t m_ConfigVersion = 0;
  /// Changes whenever the warm-up state of targets changes at the sender.
  uint64_t m_WarmthVersion = 0;
  bool m_Stopping = false;
};

/// Liveness of the other entry hosts as seen by this one. The possible hosts
/// are those of the settings. A host counts as gone only when neither this host
/// nor any peer that it hears has heard it for GoneAfter. Not safe for
/// concurrent use.
class Membership {
public:
  /// Silence after which a host no longer counts as heard.
  static constexpr Milliseconds HeardWithin{1000};
  /// Silence after which others may use a host's share of a limit. Longer than
  /// HeardWithin, so that a host that was cut off has stopped using its share.
  static constexpr Milliseconds GoneAfter{2500};
  /// Time for which a host must have heard at least half of its peers before it
  /// uses its share again; until then some of them may not know that it is
  /// back.
  static constexpr Milliseconds RejoinDelay{1000};

  Membership(std::string Self, const std::set<std::string> &Peers,
             TimePoint Now);

  /// Applies a gossip message. Messages of unknown hosts are ignored.
  void heard(const Hello &Message, TimePoint Now);

  /// Names of the hosts heard directly within HeardWithin.
  std::set<std::string> recentlyHeard(TimePoint Now) const;

  /// Identities of the live hosts, which can be asked for votes.
  std::set<HostId> liveIds(TimePoint Now) const;

  /// The share of limits that this host may use. Must be called regularly, as
  /// it also detects that contact with the peers was lost.
  HostShare share(TimePoint Now);

  /// Peers whose warm-up state has changed since noteWarmthFetched().
  std::vector<std::string> peersWithNewWarmth() const;
  /// Records that the given version of a peer's warm-up state was fetched.
  void noteWarmthFetched(const std::string &Peer, uint64_t Version);

  /// The newest configuration version that a peer runs, and the name of that
  /// peer.
  uint64_t newestConfigVersion() const;
  std::string newestConfigPeer() const;

private:
  struct Peer {
    HostId m_Id;
    /// When this host, or a peer that it hears, last heard the peer.
    TimePoint m_LastKnownAlive;
    /// When this host last heard the peer.
    TimePoint m_LastHeard;
    uint64_t m_ConfigVersion = 0;
    uint64_t m_WarmthVersion = 0;
    uint64_t m_FetchedWarmthVersion = 0;
    bool m_WasHeard = false;
  };

  /// Updates m_ConnectedSince.
  void updateConnectivity(TimePoint Now);

  const std::string m_Self;
  std::map<std::string, Peer> m_Peers;
  /// Since when at least half of the peers have been heard without a gap.
  std::optional<TimePoint> m_ConnectedSince;
};

} // namespace monsoon

#endif
