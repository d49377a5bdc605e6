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

namespace monsoon {

/// Takes every request of the callers: finds its route and hands it to the
/// dispatcher of the pool.
class Dispatcher : public RequestHandler {
public:
  /// Returns the keeper of a pool's keys, or null.
  using KeeperOf = std::function<RangeKeeper *(const std::string &Pool)>;

  Dispatcher(boost::asio::io_context &Loop, const Dialect &Words,
             PoolDispatcher::Parts Parts, KeeperOf Keepers);

  /// Puts another version of the tables in force.
  void setRoutes(RouteIndexPtr Routes);
  const RouteIndexPtr &routes() const { return m_Routes; }

  /// Targets, owners or hosts changed: waiting requests are looked at again.
  void offerWaiting();

  /// From now on new requests are refused as not run; those under way go on.
  void refuseNew() { m_Refusing = true; }

  /// Called several times a second.
  void tick() { armOffer(); }

  /// The dispatcher of a pool, or null.
  const PoolDispatcher *findPool(const std::string &Name) const;

  /// Requests that wait for the owner of their key, by owner.
  std::map<std::string, int> waiting() const;

  // RequestHandler
  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override;
  HttpAnswer refuse(ErrorKind Kind, const std::string &Detail) override;
  RequestLimits limits() const override;

private:
  const std::string &choosePool(const Route &Path);
  void armOffer();

  boost::asio::io_context &m_Loop;
  const Dialect &m_Dialect;
  const PoolDispatcher::Parts m_Parts;
  KeeperOf m_KeeperOf;
  RouteIndexPtr m_Routes;
  std::map<std::string, std::unique_ptr<PoolDispatcher>> m_Pools;
  std::map<std::string, WeightedSplit> m_Splits;
  boost::asio::steady_timer m_OfferTimer;
  bool m_OfferArmed = false;
  bool m_Refusing = false;
};

} // namespace monsoon

#endif
