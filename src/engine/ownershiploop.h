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

/// External services that the ownership protocol depends on.
struct OwnershipPorts {
  OwnershipStreams &m_Streams;
  GrantService &m_Grants;
  PeerService &m_Peers;
  WaitingClock &m_Time;
};

/// Drives the group nodes of all pools that are owned by key: calls their
/// timers, sends their messages, appends their records, and passes the replies
/// back. Each message is sent by a worker, so that an unresponsive receiver
/// does not delay messages to the others.
///
/// Lock order: m_Mutex, then a group's mutex, then the mutex of its view.
class OwnershipLoop {
public:
  OwnershipLoop(HostId Self, const OwnershipTiming &Timing,
                OwnershipPorts Ports);
  ~OwnershipLoop();
  OwnershipLoop(const OwnershipLoop &) = delete;
  OwnershipLoop &operator=(const OwnershipLoop &) = delete;

  /// Creates a group for each new pool that is owned by key, and updates the
  /// pool and the leaving targets of each group.
  void setTable(const std::shared_ptr<const RoutingTable> &Table,
                const std::set<std::string> &Leaving);
  void setHosts(const std::set<HostId> &Hosts);

  Outcome<HeartbeatReply> onHeartbeat(const Heartbeat &Message);
  Outcome<CanvassReply> onCanvass(const Canvass &Message);

  /// Prepares a planned stop: completes the handovers in progress, then gives
  /// up lease and vote in each group. Call repeatedly; true once that is done.
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
    std::atomic<bool> m_IsReading{false};
    TimePoint m_LastReadAt;
  };
  using GroupPtr = std::shared_ptr<Group>;

  std::vector<GroupPtr> groups() const;
  GroupPtr findGroup(const std::string &Pool) const;
  void tick();
  void dispatch(const GroupPtr &Each, const Outbox &Out);
  void sendToPeer(const GroupPtr &Each, const Outbox::ToHost &Message);
  void sendGrant(const GroupPtr &Each, const GrantOrder &Order);
  void appendRecord(const GroupPtr &Each, const OwnershipRecord &Record);
  void startRead(const GroupPtr &Each);
  void readRecords(const GroupPtr &Each);

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
