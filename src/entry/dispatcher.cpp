#include "entry/dispatcher.h"

#include "core/keyspace.h"

#include <iterator>
#include <utility>

namespace monsoon {

namespace {

/// Interval at which queued requests are checked. A slot can become free
/// without an event here, since the load from other hosts is only estimated.
constexpr Milliseconds WaitingCheckInterval{20};
/// Retry-After while this host stops; another host can serve the caller at
/// once.
constexpr Milliseconds StoppingRetryAfter{50};

} // namespace

Dispatcher::Dispatcher(boost::asio::io_context &Loop, const Dialect &Protocol,
                       PoolDispatcher::Parts Parts,
                       OwnershipLookup FindOwnership)
    : m_Loop(Loop), m_Dialect(Protocol), m_Parts(std::move(Parts)),
      m_FindOwnership(std::move(FindOwnership)), m_DispatchTimer(Loop) {}

void Dispatcher::setRoutes(RouteIndexPtr Routes) {
  m_Routes = std::move(Routes);
  for (const Pool &Each : m_Routes->tables().pools()) {
    auto &Found = m_Pools[Each.name()];
    if (!Found)
      Found = std::make_unique<PoolDispatcher>(Each.name(), m_Parts);
    Found->setPool(Each);
    Found->setOwnership(Each.isOwnedByKey() ? m_FindOwnership(Each.name())
                                            : nullptr);
  }
  dispatchWaiting();
}

void Dispatcher::tick() {
  dropRemovedPools();
  armDispatchTimer();
}

void Dispatcher::dropRemovedPools() {
  // The tables' pools are all in the map, so it has no others at equal size.
  if (!m_Routes || m_Pools.size() == m_Routes->tables().pools().size())
    return;
  for (auto It = m_Pools.begin(); It != m_Pools.end();) {
    const bool IsUsed =
        m_Routes->tables().findPool(It->first) || It->second->hasRequests();
    It = IsUsed ? std::next(It) : m_Pools.erase(It);
  }
}

void Dispatcher::dispatchWaiting() {
  for (const auto &[Name, Each] : m_Pools)
    Each->dispatchWaiting();
}

const PoolDispatcher *Dispatcher::findPool(const std::string &Name) const {
  const auto It = m_Pools.find(Name);
  return It == m_Pools.end() ? nullptr : It->second.get();
}

const std::string &Dispatcher::choosePool(const Route &MatchedRoute) {
  if (MatchedRoute.split().empty())
    return MatchedRoute.pool();
  auto It = m_Splits.find(MatchedRoute.name());
  if (It == m_Splits.end() || It->second.parts() != MatchedRoute.split())
    It = m_Splits
             .insert_or_assign(MatchedRoute.name(),
                               WeightedSplit(MatchedRoute.split(),
                                             stableHash(m_Parts.m_HostName)))
             .first;
  return It->second.next();
}

std::shared_ptr<PendingRequest> Dispatcher::handle(HttpRequest Request,
                                                   Reply Done) {
  RequestMetadata Facts = m_Dialect.readRequest(Request);
  if (m_RefusesNew) {
    Done(errorAnswer(ErrorKind::Stopping, Facts.m_Id, "this host is stopping",
                     StoppingRetryAfter));
    return nullptr;
  }
  if (!m_Routes) {
    Done(errorAnswer(ErrorKind::NoConfiguration, Facts.m_Id,
                     "routing tables are not loaded yet", Milliseconds(300)));
    return nullptr;
  }
  const std::string *Host = Request.m_Fields.find("Host");
  const Route *MatchedRoute =
      Host ? m_Routes->match(*Host, Request.path()) : nullptr;
  if (!MatchedRoute) {
    Done(errorAnswer(ErrorKind::RouteUnknown, Facts.m_Id,
                     "no route for this host and path", {}));
    return nullptr;
  }
  const std::string Pool = choosePool(*MatchedRoute);
  const auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end()) {
    Done(errorAnswer(ErrorKind::NoTarget, Facts.m_Id,
                     "the pool of the route is not defined",
                     Milliseconds(300)));
    return nullptr;
  }
  const auto Started = std::make_shared<Exchange>(
      m_Loop, m_Parts.m_Clock, m_Dialect, m_Routes, *MatchedRoute, Pool,
      std::move(Request), std::move(Facts), std::move(Done));
  Found->second->submit(Started);
  armDispatchTimer();
  if (Started->isFinished())
    return nullptr;
  return Started;
}

std::map<std::string, int> Dispatcher::waitingByOwner() const {
  std::map<std::string, int> Result;
  for (const auto &[Name, Each] : m_Pools)
    Each->addWaiting(Result);
  return Result;
}

void Dispatcher::armDispatchTimer() {
  if (m_IsTimerArmed)
    return;
  bool HasWaiting = false;
  for (const auto &[Name, Each] : m_Pools)
    HasWaiting = HasWaiting || Each->hasWaiting();
  if (!HasWaiting)
    return;
  m_IsTimerArmed = true;
  m_DispatchTimer.expires_after(WaitingCheckInterval);
  m_DispatchTimer.async_wait([this](const boost::system::error_code &Error) {
    m_IsTimerArmed = false;
    if (Error)
      return;
    dispatchWaiting();
    armDispatchTimer();
  });
}

HttpResponse Dispatcher::refuse(ErrorKind Kind, const std::string &Detail) {
  return errorAnswer(Kind, "", Detail, {});
}

RequestLimits Dispatcher::limits() const {
  return m_Routes ? m_Routes->limits() : RequestLimits();
}

} // namespace monsoon
