#ifndef MONSOON_CORE_ROUTEINDEX_H
#define MONSOON_CORE_ROUTEINDEX_H

#include "core/tables.h"

#include "absl/container/flat_hash_map.h"

#include <map>
#include <string>
#include <string_view>

namespace monsoon {

/// Limits on the size of a caller's request and on the time to receive it.
struct RequestLimits {
  size_t m_HeaderBytes = 16 << 10;
  size_t m_BodyBytes = 1 << 20;
  /// Time for a complete header to arrive, from its first byte.
  Duration m_HeaderTimeout = Milliseconds(5000);
  /// Time after which an idle connection is closed.
  Duration m_IdleTimeout = Milliseconds(60'000);

  friend bool operator==(const RequestLimits &A, const RequestLimits &B) {
    return std::tie(A.m_HeaderBytes, A.m_BodyBytes, A.m_HeaderTimeout,
                    A.m_IdleTimeout) == std::tie(B.m_HeaderBytes, B.m_BodyBytes,
                                                 B.m_HeaderTimeout,
                                                 B.m_IdleTimeout);
  }
};

/// A published version of the tables, with an index of the routes that have a
/// host and a path with a final wildcard. A lookup takes one step per segment
/// of the path, independently of the number of routes.
class RouteIndex {
public:
  RouteIndex(int64_t Version, Tables Published, RequestLimits Limits);

  RouteIndex(const RouteIndex &) = delete;
  RouteIndex &operator=(const RouteIndex &) = delete;

  int64_t version() const { return m_Version; }
  const Tables &tables() const { return m_Tables; }
  const RequestLimits &limits() const { return m_Limits; }

  /// The route of that host with the longest prefix of the path, or null.
  const Route *match(std::string_view Host, std::string_view Path) const;

private:
  int64_t m_Version;
  Tables m_Tables;
  RequestLimits m_Limits;
  /// Routes by host and prefix; a prefix ends with a slash.
  absl::flat_hash_map<std::string,
                      absl::flat_hash_map<std::string, const Route *>>
      m_ByHost;
};

using RouteIndexPtr = std::shared_ptr<const RouteIndex>;

} // namespace monsoon

#endif
