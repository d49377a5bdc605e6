#ifndef MONSOON_TESTS_SOAK_FAULTPROXY_H
#define MONSOON_TESTS_SOAK_FAULTPROXY_H

#include "core/settings.h"
#include "core/timepoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace monsoon {

/// Passes TCP connections on to an address of the loopback, and does to them
/// what a bad network does.
class FaultProxy {
public:
  enum class Mode {
    Pass,
    /// Bytes arrive late.
    Delay,
    /// Nothing arrives in either direction, and nothing is closed.
    Silent,
    /// What the caller sends arrives; answers don't.
    OneWay,
    /// Connections are reset, new ones too.
    Reset
  };

  FaultProxy(boost::asio::io_context &Loop, const Endpoint &To);
  ~FaultProxy();

  Endpoint address() const;
  void setTarget(const Endpoint &To) { m_To = To; }
  /// Connections that were silenced are reset when that ends: what was sent
  /// meanwhile is lost.
  void setMode(Mode Value);
  Mode mode() const { return m_Mode; }
  /// When the present mode began.
  TimePoint changedAt() const { return m_ChangedAt; }

private:
  class Pair;
  void accept();

  boost::asio::io_context &m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  Endpoint m_To;
  Mode m_Mode = Mode::Pass;
  TimePoint m_ChangedAt{};
  std::vector<std::weak_ptr<Pair>> m_Pairs;
};

} // namespace monsoon

#endif
