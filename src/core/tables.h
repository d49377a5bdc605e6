#ifndef MONSOON_CORE_TABLES_H
#define MONSOON_CORE_TABLES_H

#include "core/pathtemplate.h"
#include "core/timepoint.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace monsoon {

/// Wildcard in a route's methods: matches every method.
inline constexpr std::string_view AnyMethod = "*";

/// Kind of work that a route carries. Under overload, load is shed in the order
/// of the enumerators.
enum class TrafficClass { Download, Lookup, Order, Confirmation };

std::string_view trafficClassName(TrafficClass Class);
std::optional<TrafficClass> trafficClassFromName(std::string_view Name);

/// Part of a request that contains the key.
enum class KeyPlace { None, PathParameter, Header, Query };

/// Where the requests of a route contain their key, and under which name.
struct KeySource {
  KeyPlace m_Place = KeyPlace::None;
  std::string m_Name;

  friend bool operator==(const KeySource &A, const KeySource &B) {
    return std::tie(A.m_Place, A.m_Name) == std::tie(B.m_Place, B.m_Name);
  }
};

/// Weight of a pool in the traffic split of a route.
struct PoolWeight {
  std::string m_Pool;
  double m_Weight = 0;

  friend bool operator==(const PoolWeight &A, const PoolWeight &B) {
    return std::tie(A.m_Pool, A.m_Weight) == std::tie(B.m_Pool, B.m_Weight);
  }
};

/// Assigns requests to a pool and defines how they are handled.
class Route {
public:
  class Builder;

  const std::string &name() const { return m_Name; }
  const std::vector<std::string> &methods() const { return m_Methods; }
  const PathTemplate &path() const { return *m_Path; }
  const KeySource &key() const { return m_Key; }
  TrafficClass trafficClass() const { return m_Class; }
  /// Header that names the tenant; empty when the route has no tenants.
  const std::string &tenantHeader() const { return m_TenantHeader; }
  bool isIdempotent() const { return m_Idempotent; }
  /// True when responses are streamed to the caller instead of buffered.
  bool isStreamed() const { return m_Streamed; }
  Duration deadline() const { return m_Deadline; }
  const std::string &pool() const { return m_Pool; }
  /// Host that requests have to name; empty when any host matches.
  const std::string &host() const { return m_Host; }
  /// Pools among which requests are split; empty when all go to pool().
  const std::vector<PoolWeight> &split() const { return m_Split; }
  /// Number of targets to which one request may be sent, including the first.
  int maxAttempts() const { return m_MaxAttempts; }
  /// Time within which a response has its full value for the caller.
  Duration latencyObjective() const { return m_LatencyObjective; }
  /// Priority under overload; 0 is the highest and served first.
  int priority() const { return m_Priority; }
  /// True if requests need no customer's key.
  bool isPublic() const { return m_Public; }

  bool accepts(std::string_view Method, std::string_view Path) const;

  auto tie() const {
    return std::tie(m_Name, m_Methods, m_Path->text(), m_Key, m_Class,
                    m_TenantHeader, m_Idempotent, m_Streamed, m_Deadline,
                    m_Pool, m_Host, m_Split, m_MaxAttempts, m_LatencyObjective,
                    m_Priority, m_Public);
  }

  friend bool operator==(const Route &A, const Route &B) {
    return A.tie() == B.tie();
  }
  friend bool operator!=(const Route &A, const Route &B) { return !(A == B); }

private:
  Route() = default;
  std::string m_Name;
  std::vector<std::string> m_Methods;
  std::optional<PathTemplate> m_Path;
  KeySource m_Key;
  TrafficClass m_Class = TrafficClass::Lookup;
  std::string m_TenantHeader;
  bool m_Idempotent = false;
  bool m_Streamed = false;
  Duration m_Deadline = Milliseconds(1000);
  std::string m_Pool;
  std::string m_Host;
  std::vector<PoolWeight> m_Split;
  int m_MaxAttempts = 2;
  Duration m_LatencyObjective = Milliseconds(1000);
  int m_Priority = 0;
  bool m_Public = false;
};

/// Builds a Route.
class Route::Builder {
public:
  Builder(std::string Name, PathTemplate Path, std::string Pool);
  Builder &methods(std::vector<std::string> Value);
  Builder &key(KeySource Value);
  Builder &trafficClass(TrafficClass Value);
  Builder &tenantHeader(std::string Value);
  Builder &idempotent(bool Value);
  Builder &streamed(bool Value);
  Builder &deadline(Duration Value);
  Builder &host(std::string Value);
  Builder &split(std::vector<PoolWeight> Value);
  Builder &maxAttempts(int Value);
  Builder &latencyObjective(Duration Value);
  Builder &priority(int Value);
  Builder &isPublic(bool Value);
  Route build() const { return m_Route; }

private:
  Route m_Route;
};

/// One back end of a pool: its address and its capacity.
struct Target {
  std::string m_Name;
  std::string m_Host;
  int m_Port = 0;
  std::string m_FailureDomain;
  /// Requests that it runs concurrently.
  int m_Slots = 4;
  /// Connections that it accepts from all entry hosts together.
  int m_Connections = 100;

  auto tie() const {
    return std::tie(m_Name, m_Host, m_Port, m_FailureDomain, m_Slots,
                    m_Connections);
  }
  friend bool operator==(const Target &A, const Target &B) {
    return A.tie() == B.tie();
  }
};

/// Limits on the work that is dispatched to the targets of a pool.
struct PoolPolicy {
  /// Limit of requests in flight from all entry hosts to a target that has just
  /// started.
  int m_ColdLimit = 1;
  /// Time of trouble-free service after which this limit doubles.
  Duration m_WarmStep = Milliseconds(500);
  /// Retries allowed, in percent of first attempts.
  double m_RetryPercent = 10;
  /// Requests in flight per slot at which a target counts as full.
  double m_QueuePerSlot = 2;
  /// Hedged attempts allowed, in percent of idempotent requests.
  double m_HedgePercent = 0;
  /// Requests per second that a cold target can handle, from all entry hosts
  /// together; 0 when the pool does not define it.
  double m_WarmupRate = 0;

  auto tie() const {
    return std::tie(m_ColdLimit, m_WarmStep, m_RetryPercent, m_QueuePerSlot,
                    m_HedgePercent, m_WarmupRate);
  }
  friend bool operator==(const PoolPolicy &A, const PoolPolicy &B) {
    return A.tie() == B.tie();
  }
};

/// A named set of targets that serve the same requests.
class Pool {
public:
  class Builder;

  const std::string &name() const { return m_Name; }
  /// True when each key has one owner among the targets.
  bool isOwnedByKey() const { return m_OwnedByKey; }
  /// True when the targets refuse requests whose fence is outdated.
  bool checksFences() const { return m_ChecksFences; }
  /// Number of equal ranges into which the hashed key space is divided.
  uint32_t ranges() const { return m_Ranges; }
  const std::vector<Target> &targets() const { return m_Targets; }
  /// Failure domains that operators have taken out of service.
  const std::vector<std::string> &domainsOut() const { return m_DomainsOut; }
  const PoolPolicy &policy() const { return m_Policy; }
  /// Path of the health check of a target.
  const std::string &healthPath() const { return m_HealthPath; }

  bool isDomainOut(std::string_view Domain) const;
  const Target *findTarget(std::string_view Name) const;

  auto tie() const {
    return std::tie(m_Name, m_OwnedByKey, m_ChecksFences, m_Ranges, m_Targets,
                    m_DomainsOut, m_Policy, m_HealthPath);
  }

  friend bool operator==(const Pool &A, const Pool &B) {
    return A.tie() == B.tie();
  }
  friend bool operator!=(const Pool &A, const Pool &B) { return !(A == B); }

private:
  Pool() = default;
  std::string m_Name;
  bool m_OwnedByKey = false;
  bool m_ChecksFences = true;
  uint32_t m_Ranges = 64;
  std::vector<Target> m_Targets;
  std::vector<std::string> m_DomainsOut;
  PoolPolicy m_Policy;
  std::string m_HealthPath = "/health";
};

/// Builds a Pool.
class Pool::Builder {
public:
  explicit Builder(std::string Name);
  Builder &ownedByKey(bool Value);
  Builder &checksFences(bool Value);
  Builder &ranges(uint32_t Value);
  Builder &addTarget(Target Value);
  Builder &domainsOut(std::vector<std::string> Value);
  Builder &policy(PoolPolicy Value);
  Builder &healthPath(std::string Value);
  Pool build() const { return m_Pool; }

private:
  Pool m_Pool;
};

/// The two tables that operators publish, as one immutable version.
class Tables {
public:
  Tables() = default;
  Tables(std::vector<Route> Routes, std::vector<Pool> Pools);

  const std::vector<Route> &routes() const { return m_Routes; }
  const std::vector<Pool> &pools() const { return m_Pools; }

  /// The first route that accepts a request, or null.
  const Route *match(std::string_view Method, std::string_view Path) const;
  const Pool *findPool(std::string_view Name) const;
  const Route *findRoute(std::string_view Name) const;

  friend bool operator==(const Tables &A, const Tables &B) {
    return std::tie(A.m_Routes, A.m_Pools) == std::tie(B.m_Routes, B.m_Pools);
  }

private:
  std::vector<Route> m_Routes;
  std::vector<Pool> m_Pools;
};

using TablesPtr = std::shared_ptr<const Tables>;

} // namespace monsoon

#endif
