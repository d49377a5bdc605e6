#ifndef MONSOON_ENTRY_DISPATCHER_H
#define MONSOON_ENTRY_DISPATCHER_H

#include "entry/pooldispatcher.h"
#include "policy/weightedsplit.h"
#include "ports/dialect.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoon {

/// Handles every caller request of this entry host: finds its route, chooses
/// the pool and passes it to the pool's dispatcher. Refuses requests itself
/// while the host stops, before routing tables are loaded, and if no route or
/// pool matches. While its tables may not be the ones in force, a request
/// without a route is refused as not run instead of unknown, and while a newer
/// version is known, every request; see docs/design/currency.md. All calls are
/// made on the event loop's thread.
class Dispatcher : public RequestHandler {
public:
  /// Returns the key ownership of a pool, or null.
  using OwnershipLookup =
      std::function<std::shared_ptr<RangeAssigner>(const std::string &Pool)>;

  Dispatcher(boost::asio::io_context &Loop, const Dialect &Protocol,
             PoolDispatcher::Parts Parts, OwnershipLookup FindOwnership);

  /// Installs another version of the routing tables. Requests that have arrived
  /// keep the version with which they arrived; they are still dispatched if
  /// their pool was removed.
  /// Customers come from the same version; null if it has none. A queued
  /// request whose key is no longer valid is refused.
  void setRoutes(RouteIndexPtr Routes, CustomerTablePtr Customers = nullptr);
  const RouteIndexPtr &routes() const { return m_Routes; }

  /// Checks the queued requests of all pools again. Called when targets, owners
  /// or hosts have changed.
  void dispatchWaiting();

  /// Sets the moment from which on keys may have been revoked by a version that
  /// this host does not know. Requests that need a key are then refused as not
  /// run.
  void setConfirmedUntil(TimePoint Value) { m_ConfirmedUntil = Value; }

  /// Refuses all new requests as not run from now on; accepted ones go on.
  void refuseNewRequests() { m_RefusesNew = true; }

  /// Keeps the queues checked while requests wait, and drops removed pools that
  /// have no request left. Called several times a second.
  void tick();

  /// The dispatcher of a pool, or null.
  const PoolDispatcher *findPool(const std::string &Name) const;

  /// Number of requests queued here for each key owner, by its target id.
  std::map<std::string, int> waitingByOwner() const;

  /// Use of the retry allowances of all pools.
  std::vector<RetryUse> retryUse() const;

  // RequestHandler
  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override;
  std::optional<HttpResponse> refuseByHeader(const HttpRequest &Head) override;
  HttpResponse refuse(ErrorKind Kind, const std::string &Detail) override;
  RequestLimits limits() const override;

private:
  /// The outcome of matching a request with a route and a customer: a refusal,
  /// or where it goes.
  struct Match {
    std::optional<HttpResponse> m_Refusal;
    /// Set in refusals that are counted.
    std::optional<ErrorKind> m_Error;
    const char *m_Reason = "";
    const Route *m_Route = nullptr;
    RequestCustomer m_Customer;
    ConfigView m_Config;
  };
  /// What this host knows of its configuration now.
  ConfigView configView() const;
  Match match(const HttpRequest &Request, const std::string &RequestId) const;
  /// Sets the refusal of a request that this host can't decide, since its
  /// configuration may not be the one in force.
  static void refuseUncertain(Match &Result, const std::string &RequestId,
                              const char *Reason, Milliseconds RetryAfter);
  /// Finds the customer by the key in the request; sets the refusal if there is
  /// none.
  void authenticate(const HttpRequest &Request, const std::string &RequestId,
                    Match &Result) const;
  /// Sets the refusal if this host is overloaded and sheds the request.
  void shed(Match &Found, const std::string &RequestId) const;
  /// Counts the request towards its customer's allowance; sets the refusal if
  /// it is used up.
  void takeAllowance(Match &Found, const std::string &RequestId);
  void reportRefusal(const Match &Found, const std::string &RequestId);
  /// Name of the route's pool; chosen by weight if the route has a split.
  const std::string &choosePool(const Route &MatchedRoute);
  /// Starts the timer that checks the queues, if requests wait.
  void armDispatchTimer();
  void dropRemovedPools();

  boost::asio::io_context &m_Loop;
  const Dialect &m_Dialect;
  const PoolDispatcher::Parts m_Parts;
  OwnershipLookup m_FindOwnership;
  RouteIndexPtr m_Routes;
  CustomerTablePtr m_Customers;
  TimePoint m_ConfirmedUntil = TimePoint::max();
  std::map<std::string, std::unique_ptr<PoolDispatcher>> m_Pools;
  std::map<std::string, WeightedSplit> m_Splits;
  boost::asio::steady_timer m_DispatchTimer;
  bool m_IsTimerArmed = false;
  bool m_RefusesNew = false;
};

} // namespace monsoon

#endif
