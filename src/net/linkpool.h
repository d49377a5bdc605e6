#ifndef MONSOON_NET_LINKPOOL_H
#define MONSOON_NET_LINKPOOL_H

#include "net/httplink.h"

#include <memory>
#include <vector>

namespace monsoon {

/// The open connections to one peer. A connection is taken for one request and
/// comes back by itself when it is free again.
class LinkPool {
public:
  LinkPool(boost::asio::io_context &Loop, const Clock &Time,
           HttpLink::Options Config);
  ~LinkPool();

  LinkPool(const LinkPool &) = delete;
  LinkPool &operator=(const LinkPool &) = delete;

  /// A connection that is free, the most recently used one first; else a new
  /// one, which connects when something is sent.
  std::shared_ptr<HttpLink> take();

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
