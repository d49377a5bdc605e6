#include "entry/dispatcher.h"

#include "core/keyspace.h"

#include <utility>

namespace monsoon {

namespace {

/// Interval in which waiting requests are looked at, since what other hosts
/// send to a target is only estimated and ends unseen.
constexpr Milliseconds OfferInterval{20};
/// Another host takes the caller at once.
constexpr Milliseconds StoppingReturn{50};

} // namespace

Dispatcher::Dispatcher(boost::asio::io_context &Loop, const Dialect &Words,
                       PoolDispatcher::Parts Parts, KeeperOf Keepers)
    : m_Loop(Loop), m_Dialect(Words), m_Parts(std::move(Parts)),
      m_KeeperOf(std::move(Keepers)), m_OfferTimer(Loop) {}

void Dispatcher::setRoutes(RouteIndexPtr Routes) {
  m_Routes = std::move(Routes);
  for (const Pool &Each : m_Routes->tables().pools()) {
    auto &Found = m_Pools[Each.name()];
    if (!Found)
      Found = std::make_unique<PoolDispatcher>(Each.name(), m_Parts);
    Found->setPool(Each);
    Found->setKeeper(Each.isOwnedByKey() ? m_KeeperOf(Each.name()) : nullptr);
  }
  offerWaiting();
}

void Dispatcher::offerWaiting() {
  for (const auto &[Name, Each] : m_Pools)
    Each->offerWaiting();
}

const PoolDispatcher *Dispatcher::findPool(const std::string &Name) const {
  const auto It = m_Pools.find(Name);
  return It == m_Pools.end() ? nullptr : It->second.get();
}

const std::string &Dispatcher::choosePool(const Route &Path) {
  if (Path.split().empty())
    return Path.pool();
  auto It = m_Splits.find(Path.name());
  if (It == m_Splits.end() || It->second.parts() != Path.split())
    It = m_Splits
             .insert_or_assign(
                 Path.name(),
                 WeightedSplit(Path.split(), stableHash(m_Parts.m_HostName)))
             .first;
  return It->second.next();
}

std::shared_ptr<PendingRequest> Dispatcher::handle(HttpRequest Request,
                                                   Reply Done) {
  RequestFacts Facts = m_Dialect.readRequest(Request);
  if (m_Refusing) {
    Done(errorAnswer(ErrorKind::Stopping, Facts.m_Id, "this host is stopping",
                     StoppingReturn));
    return nullptr;
  }
  if (!m_Routes) {
    Done(errorAnswer(ErrorKind::NoConfiguration, Facts.m_Id,
                     "no tables were read yet", Milliseconds(300)));
    return nullptr;
  }
  const std::string *Host = Request.m_Fields.find("Host");
  const Route *Path = Host ? m_Routes->match(*Host, Request.path()) : nullptr;
  if (!Path) {
    Done(errorAnswer(ErrorKind::RouteUnknown, Facts.m_Id,
                     "no route for this host and path", {}));
    return nullptr;
  }
  const std::string Pool = choosePool(*Path);
  const auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end()) {
    Done(errorAnswer(ErrorKind::NoTarget, Facts.m_Id, "the pool is unknown",
                     Milliseconds(300)));
    return nullptr;
  }
  const auto Started = std::make_shared<Exchange>(
      m_Loop, m_Parts.m_Clock, m_Dialect, m_Routes, *Path, Pool,
      std::move(Request), std::move(Facts), std::move(Done));
  Found->second->submit(Started);
  armOffer();
  if (Started->isOver())
    return nullptr;
  return Started;
}

std::map<std::string, int> Dispatcher::waiting() const {
  std::map<std::string, int> Result;
  for (const auto &[Name, Each] : m_Pools)
    Each->addWaiting(Result);
  return Result;
}

void Dispatcher::armOffer() {
  if (m_OfferArmed)
    return;
  bool Any = false;
  for (const auto &[Name, Each] : m_Pools)
    Any = Any || Each->hasWaiting();
  if (!Any)
    return;
  m_OfferArmed = true;
  m_OfferTimer.expires_after(OfferInterval);
  m_OfferTimer.async_wait([this](const boost::system::error_code &Error) {
    m_OfferArmed = false;
    if (Error)
      return;
    offerWaiting();
    armOffer();
  });
}

HttpAnswer Dispatcher::refuse(ErrorKind Kind, const std::string &Detail) {
  return errorAnswer(Kind, "", Detail, {});
}

RequestLimits Dispatcher::limits() const {
  return m_Routes ? m_Routes->limits() : RequestLimits();
}

} // namespace monsoon
