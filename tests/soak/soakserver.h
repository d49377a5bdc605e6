#ifndef MONSOON_TESTS_SOAK_SOAKSERVER_H
#define MONSOON_TESTS_SOAK_SOAKSERVER_H

#include "net/acceptor.h"
#include "platform/storestandin.h"
#include "ports/grantchannel.h"
#include "soak/faultproxy.h"
#include "soak/invariantchecker.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// An application server (a target) behind a fault proxy. It executes requests
/// in a fixed number of slots with a short queue, sends heartbeats to the
/// store, and in the keyed pool serves only keys for which it holds a grant.
class SoakServer : public RequestHandler {
public:
  /// A range of keys that was granted to the server.
  struct HeldGrant {
    KeyRange m_Keys;
    uint64_t m_Fence = 0;
    TimePoint m_Expiry{};
  };
  /// Returns true if a server other than Self holds some of the keys.
  using HeldElsewhere =
      std::function<bool(const SoakServer &Self, const KeyRange &Keys)>;

  /// What all servers of a soak share. The references must outlive the server.
  struct Parts {
    boost::asio::io_context &m_Loop;
    StoreStandIn &m_Store;
    InvariantChecker &m_Checker;
    std::mt19937_64 &m_Random;
    HeldElsewhere m_HeldElsewhere;
  };

  SoakServer(std::string Id, std::string Pool, std::string Domain,
             const Parts &Shared);

  const std::string &id() const { return m_Id; }
  FaultProxy &proxy() { return m_Proxy; }
  bool isUp() const { return m_IsUp; }
  /// Returns true if an unexpired grant overlaps Keys.
  bool holdsAnyOf(const KeyRange &Keys) const;

  /// Aborts connections and running requests and loses grants. Its entry leaves
  /// the store after EntryLifetime, unless a new incarnation has the same id.
  void crash();
  /// Starts a new incarnation, under the same id or another one.
  void restart(const std::string &Id);
  /// Reports itself as draining in its heartbeats. The caller stops the server
  /// later.
  void drain();
  bool isDraining() const { return m_IsDraining; }
  /// While true, no heartbeats are sent to the store, which removes the entry
  /// after EntryLifetime.
  void setCutFromStore(bool IsCut) { m_IsCutFromStore = IsCut; }
  /// The store was restored from an older copy. Entries that had lapsed and are
  /// back in it lapse again; its own is written by the next heartbeat.
  void noteStoreRestored();
  /// Multiplies the work of the requests that are started from now on.
  void setSlowness(int Factor) { m_Slowness = Factor; }
  /// Executes the next Count requests without sending their responses.
  void dropResponses(int Count) { m_ResponsesToDrop = Count; }
  /// While true, requests are executed and answered with a failure.
  void setFailing(bool IsFailing) { m_IsFailing = IsFailing; }

  // RequestHandler
  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override;
  HttpResponse refuse(ErrorKind Kind, const std::string &Detail) override;
  RequestLimits limits() const override { return {}; }

private:
  class Job;

  void sendHeartbeat();
  /// Writes the entry if more than its sequence has changed, or if the store
  /// has lost it.
  void updateEntry();
  HttpResponse makeResponse(int Status) const;
  HttpResponse makeNotExecuted(int Status) const;
  HttpResponse handleGrant(const std::string &Body);
  void handleRelease(const std::string &Body, const Reply &Done);
  void startQueued();
  void finishJob(const std::shared_ptr<Job> &Which);

  std::string m_Id;
  const std::string m_Pool;
  const std::string m_Domain;
  const Parts m_Parts;
  BootTimeClock m_Clock;
  std::unique_ptr<Acceptor> m_Acceptor;
  /// Acceptors of earlier incarnations, whose sessions end by themselves.
  std::vector<std::unique_ptr<Acceptor>> m_PreviousAcceptors;
  FaultProxy m_Proxy;
  boost::asio::steady_timer m_HeartbeatTimer;
  bool m_IsUp = false;
  bool m_IsDraining = false;
  bool m_IsCutFromStore = false;
  int m_ResponsesToDrop = 0;
  bool m_IsFailing = false;
  int m_Slowness = 1;
  /// Ids of earlier incarnations.
  std::set<std::string> m_FormerIds;
  /// Start of the incarnation, in milliseconds since the epoch.
  int64_t m_Incarnation = 0;
  int64_t m_Sequence = 0;
  /// The entry as last written, and the same without its sequence.
  std::string m_WrittenEntry;
  std::string m_WrittenState;
  TimePoint m_LastHeartbeat{};
  std::vector<HeldGrant> m_HeldGrants;
  /// All grants accepted in this incarnation, to refuse those with older
  /// fences.
  std::vector<HeldGrant> m_SeenGrants;
  std::vector<std::shared_ptr<Job>> m_Running;
  std::deque<std::shared_ptr<Job>> m_Queue;
};

} // namespace monsoon

#endif
