#ifndef MONSOON_NET_LINKPOOL_H
#define MONSOON_NET_LINKPOOL_H

#include "net/httplink.h"

#include <memory>
#include <vector>

namespace monsoon {

/// The open connections to one peer. The pool keeps each connection until it is
/// closed, so a caller of acquire() does not return it.
class LinkPool {
public:
  LinkPool(boost::asio::io_context &Loop, const Clock &Time,
           HttpLink::Options Config);
  ~LinkPool();

  LinkPool(const LinkPool &) = delete;
  LinkPool &operator=(const LinkPool &) = delete;

  /// Connections that a request was sent on.
  using UsedLinks = std::vector<std::weak_ptr<const HttpLink>>;

  /// Returns the most recently used idle connection, or else a new one, which
  /// connects when a request is sent. A connection on which a request is still
  /// being written is not idle, even if its response is complete. Connections
  /// in Used are left out: a request that is sent again under the same id has
  /// to name those it was sent on before, since a late duplicate of an earlier
  /// response bears the id too and would be taken for the response to the new
  /// send.
  std::shared_ptr<HttpLink> acquire(const UsedLinks &Used = {});

  /// Returns a new connection, on which no response to an earlier request can
  /// arrive.
  std::shared_ptr<HttpLink> acquireNew();

  /// The number of connections, including closed ones not yet removed.
  size_t size() const { return m_Links.size(); }

private:
  void dropClosed();

  boost::asio::io_context &m_Loop;
  const Clock &m_Clock;
  const HttpLink::Options m_Config;
  std::vector<std::shared_ptr<HttpLink>> m_Links;
};

} // namespace monsoon

#endif
