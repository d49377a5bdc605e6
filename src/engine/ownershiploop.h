#ifndef MONSOON_ENGINE_OWNERSHIPLOOP_H
#define MONSOON_ENGINE_OWNERSHIPLOOP_H

#include "concurrency/periodictask.h"
#include "concurrency/workerpool.h"
#include "core/groupnode.h"
#include "engine/router.h"
#include "ports/clock.h"
#include "ports/grantservice.h"
#include "ports/peerservice.h"
#include "ports/recordstreams.h"

#include "absl/synchronization/mutex.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// The outside that ownership works with.
struct OwnershipPorts {
  OwnershipStreams &m_Streams;
  GrantService &m_Grants;
  PeerService &m_Peers;
  WaitingClock &m_Time;
};

/// Runs the nodes of all groups: drives their time, carries their messages and
/// records, and feeds back the replies. Each message is carried by a worker,
/// so that a frozen receiver delays nobody else.
///
/// Lock order: m_Mutex, then a group's mutex, then its view's.
class OwnershipLoop {
public:
  OwnershipLoop(HostId Self, const OwnershipTiming &Timing,
                OwnershipPorts Ports);
  ~OwnershipLoop();
  OwnershipLoop(const OwnershipLoop &) = delete;
  OwnershipLoop &operator=(const OwnershipLoop &) = delete;

  /// Takes the pools that are owned by key.
  void setTable(const std::shared_ptr<const RoutingTable> &Table,
                const std::set<std::string> &Leaving);
  void setHosts(const std::set<HostId> &Hosts);

  Outcome<HeartbeatReply> onHeartbeat(const Heartbeat &Message);
  Outcome<CanvassReply> onCanvass(const Canvass &Message);

  /// Prepares a planned stop; true once nothing is decided here any more.
  bool stopDeciding();

  std::vector<GroupReport> report() const;

private:
  struct Group {
    Group(const HostId &Self, const std::string &PoolName,
          const OwnershipTiming &Timing,
          std::shared_ptr<PoolRuntime> RuntimeToUse, TimePoint Now)
        : m_Runtime(std::move(RuntimeToUse)),
          m_Node(Self, PoolName, Timing, m_Runtime->m_View, Now) {}

    const std::shared_ptr<PoolRuntime> m_Runtime;
    mutable absl::Mutex m_Mutex;
    GroupNode m_Node ABSL_GUARDED_BY(m_Mutex);
    std::atomic<bool> m_Reading{false};
    TimePoint m_ReadAt;
  };
  using GroupPtr = std::shared_ptr<Group>;

  std::vector<GroupPtr> groups() const;
  GroupPtr find(const std::string &Pool) const;
  void tick();
  void carry(const GroupPtr &Each, const Outbox &Out);
  void carryToHost(const GroupPtr &Each, const Outbox::ToHost &Message);
  void carryGrant(const GroupPtr &Each, const GrantOrder &Order);
  void carryRecord(const GroupPtr &Each, const OwnershipRecord &Record);
  void startRead(const GroupPtr &Each);
  void read(const GroupPtr &Each);

  const HostId m_Self;
  const OwnershipTiming m_Timing;
  const OwnershipPorts m_Ports;
  mutable absl::Mutex m_Mutex;
  std::map<std::string, GroupPtr> m_Groups ABSL_GUARDED_BY(m_Mutex);
  std::set<HostId> m_Hosts ABSL_GUARDED_BY(m_Mutex);
  WorkerPool m_Workers;
  PeriodicTask m_Ticker;
};

} // namespace monsoon

#endif
