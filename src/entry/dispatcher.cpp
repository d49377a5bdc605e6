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
/// Retry-After while other hosts have a newer configuration; they can serve the
/// caller at once.
constexpr Milliseconds OutdatedRetryAfter{50};
/// The configuration is read within a few hundred milliseconds.
constexpr Milliseconds NoConfigurationRetryAfter{300};

} // namespace

Dispatcher::Dispatcher(boost::asio::io_context &Loop, const Dialect &Protocol,
                       PoolDispatcher::Parts Parts,
                       OwnershipLookup FindOwnership)
    : m_Loop(Loop), m_Dialect(Protocol), m_Parts(std::move(Parts)),
      m_FindOwnership(std::move(FindOwnership)), m_DispatchTimer(Loop) {}

void Dispatcher::setRoutes(RouteIndexPtr Routes, CustomerTablePtr Customers) {
  m_Routes = std::move(Routes);
  m_Customers = std::move(Customers);
  for (const Pool &Each : m_Routes->tables().pools()) {
    auto &Found = m_Pools[Each.name()];
    if (!Found)
      Found = std::make_unique<PoolDispatcher>(Each.name(), m_Parts);
    Found->setPool(Each);
    Found->setOwnership(Each.isOwnedByKey() ? m_FindOwnership(Each.name())
                                            : nullptr);
  }
  // Includes the pools that were removed.
  for (const auto &[Name, Each] : m_Pools)
    Each->setCustomers(m_Customers);
  if (m_Parts.m_Allowances)
    m_Parts.m_Allowances->setCustomers(m_Parts.m_Clock.now(), m_Customers);
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

ConfigView Dispatcher::configView() const {
  if (m_Parts.m_Currency)
    return m_Parts.m_Currency->view(m_Parts.m_Clock.now());
  ConfigView View;
  View.m_Standing =
      m_Routes ? ConfigStanding::Confirmed : ConfigStanding::Missing;
  View.m_Version = View.m_KnownVersion = m_Routes ? m_Routes->version() : 0;
  return View;
}

Dispatcher::Match Dispatcher::match(const HttpRequest &Request,
                                    const std::string &RequestId) const {
  Match Result;
  Result.m_Config = configView();
  if (!m_Routes) {
    Result.m_Refusal = errorAnswer(ErrorKind::NoConfiguration, RequestId,
                                   "routing tables are not loaded yet",
                                   NoConfigurationRetryAfter);
    return Result;
  }
  if (Result.m_Config.m_Standing == ConfigStanding::Outdated) {
    refuseUncertain(Result, RequestId, "config_outdated", OutdatedRetryAfter);
    return Result;
  }
  const std::string *Host = Request.m_Fields.find("Host");
  const Route *MatchedRoute =
      Host ? m_Routes->match(*Host, Request.path()) : nullptr;
  if (!MatchedRoute &&
      Result.m_Config.m_Standing != ConfigStanding::Confirmed) {
    refuseUncertain(Result, RequestId, "config_unconfirmed",
                    NoConfigurationRetryAfter);
    return Result;
  }
  if (!MatchedRoute) {
    Result.m_Error = ErrorKind::RouteUnknown;
    Result.m_Reason = "no_route";
    Result.m_Refusal = errorAnswer(ErrorKind::RouteUnknown, RequestId,
                                   "no route for this host and path", {});
    return Result;
  }
  Result.m_Route = MatchedRoute;
  if (m_Customers)
    authenticate(Request, RequestId, Result);
  return Result;
}

void Dispatcher::refuseUncertain(Match &Result, const std::string &RequestId,
                                 const char *Reason, Milliseconds RetryAfter) {
  Result.m_Error = ErrorKind::ViewStale;
  Result.m_Reason = Reason;
  Result.m_Refusal =
      errorAnswer(ErrorKind::ViewStale, RequestId,
                  "this host's configuration may be outdated", RetryAfter);
}

void Dispatcher::authenticate(const HttpRequest &Request,
                              const std::string &RequestId,
                              Match &Result) const {
  Result.m_Customer.m_Table = m_Customers;
  const Credential Named = m_Dialect.readCredential(Request.m_Fields);
  if (Named.m_State == CredentialState::Present) {
    Result.m_Customer.m_Key = KeyDigest::of(Named.m_Key);
    Result.m_Customer.m_Customer = m_Customers->find(*Result.m_Customer.m_Key);
  }
  if (Result.m_Route->isPublic())
    return;
  if (m_Parts.m_Clock.now() >= m_ConfirmedUntil) {
    refuseUncertain(Result, RequestId, "config_unconfirmed",
                    NoConfigurationRetryAfter);
    return;
  }
  if (Result.m_Customer.m_Customer)
    return;
  Result.m_Error = ErrorKind::CustomerUnknown;
  Result.m_Reason = Named.m_State == CredentialState::Present ? "key_unknown"
                    : Named.m_State == CredentialState::Missing
                        ? "key_missing"
                        : "key_malformed";
  Result.m_Refusal =
      errorAnswer(ErrorKind::CustomerUnknown, RequestId, Result.m_Reason, {});
}

void Dispatcher::shed(Match &Found, const std::string &RequestId) const {
  if (!m_Parts.m_HostLoad)
    return;
  const Customer *Sender = Found.m_Customer.m_Customer;
  const int Priority = Sender && Sender->m_Priority ? *Sender->m_Priority
                                                    : Found.m_Route->priority();
  // Differs from host to host, so that another one admits the request.
  const uint64_t Hash =
      mixHash(stableHash(m_Parts.m_HostName), stableHash(RequestId));
  m_Parts.m_HostLoad->noteArrival(Priority);
  if (m_Parts.m_HostLoad->admits(Priority, Hash))
    return;
  Found.m_Error = ErrorKind::Overloaded;
  Found.m_Reason = "host_overloaded";
  Found.m_Refusal =
      errorAnswer(ErrorKind::Overloaded, RequestId, "this host sheds load",
                  HostLoad::retryAfter(Hash));
}

void Dispatcher::takeAllowance(Match &Found, const std::string &RequestId) {
  const Customer *Sender = Found.m_Customer.m_Customer;
  if (!Sender || !Sender->m_Allowance.isLimited() || !m_Parts.m_Allowances)
    return;
  const AllowanceDecision Decision =
      m_Parts.m_Allowances->admit(m_Parts.m_Clock.now(), *Sender);
  Found.m_Customer.m_UsesAllowance = Decision.m_IsAdmitted;
  if (Decision.m_IsAdmitted)
    return;
  Found.m_Error = ErrorKind::OverAllowance;
  Found.m_Reason = "over_allowance";
  Found.m_Refusal =
      errorAnswer(ErrorKind::OverAllowance, RequestId,
                  "the customer's allowance is used up", Decision.m_RetryAfter);
}

void Dispatcher::reportRefusal(const Match &Found,
                               const std::string &RequestId) {
  if (!Found.m_Error)
    return;
  RequestReport Report;
  Report.m_RequestId = RequestId;
  if (Found.m_Route) {
    Report.m_Route = Found.m_Route->name();
    Report.m_Class = Found.m_Route->trafficClass();
  }
  Report.m_Status = Found.m_Refusal->m_Status;
  Report.m_Error = Found.m_Error;
  Report.m_Reason = Found.m_Reason;
  Report.m_ConfigVersion = Found.m_Config.m_Version;
  Report.m_Config = Found.m_Config;
  if (Found.m_Customer.m_Customer)
    Report.m_Tenant = Found.m_Customer.m_Customer->m_Name;
  m_Parts.m_Metrics.requestDone(Report);
}

std::optional<HttpResponse>
Dispatcher::refuseByHeader(const HttpRequest &Head) {
  const bool IsShedding = m_Parts.m_HostLoad &&
                          m_Parts.m_HostLoad->level() != HostLoadLevel::Normal;
  if ((!m_Customers && !IsShedding) || m_RefusesNew)
    return std::nullopt;
  const std::string Id = m_Dialect.readRequest(Head).m_Id;
  Match Found = match(Head, Id);
  if (!Found.m_Refusal)
    shed(Found, Id);
  if (Found.m_Error != ErrorKind::CustomerUnknown &&
      Found.m_Error != ErrorKind::Overloaded)
    return std::nullopt;
  reportRefusal(Found, Id);
  return std::move(Found.m_Refusal);
}

std::shared_ptr<PendingRequest> Dispatcher::handle(HttpRequest Request,
                                                   Reply Done) {
  RequestMetadata Facts = m_Dialect.readRequest(Request);
  if (m_RefusesNew) {
    Done(errorAnswer(ErrorKind::Stopping, Facts.m_Id, "this host is stopping",
                     StoppingRetryAfter));
    return nullptr;
  }
  Match Found = match(Request, Facts.m_Id);
  if (!Found.m_Refusal)
    shed(Found, Facts.m_Id);
  if (Found.m_Refusal) {
    reportRefusal(Found, Facts.m_Id);
    Done(std::move(*Found.m_Refusal));
    return nullptr;
  }
  const std::string Pool = choosePool(*Found.m_Route);
  const auto PoolFound = m_Pools.find(Pool);
  if (PoolFound == m_Pools.end()) {
    Done(errorAnswer(ErrorKind::NoTarget, Facts.m_Id,
                     "the pool of the route is not defined",
                     Milliseconds(300)));
    return nullptr;
  }
  takeAllowance(Found, Facts.m_Id);
  if (Found.m_Refusal) {
    reportRefusal(Found, Facts.m_Id);
    Done(std::move(*Found.m_Refusal));
    return nullptr;
  }
  const auto Started = std::make_shared<Exchange>(
      m_Loop, m_Parts.m_Clock, m_Dialect, m_Routes, *Found.m_Route, Pool,
      std::move(Request), std::move(Facts), std::move(Done));
  Started->setCustomer(std::move(Found.m_Customer));
  Started->setConfigView(Found.m_Config);
  PoolFound->second->submit(Started);
  armDispatchTimer();
  if (Started->isFinished())
    return nullptr;
  return Started;
}

std::vector<RetryUse> Dispatcher::retryUse() const {
  std::vector<RetryUse> Result;
  for (const auto &[Name, Each] : m_Pools)
    Result.push_back(Each->retryUse());
  return Result;
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
