#ifndef MONSOON_TESTS_SOAK_FAULTPROXY_H
#define MONSOON_TESTS_SOAK_FAULTPROXY_H

#include "core/settings.h"
#include "core/timepoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace monsoon {

/// A TCP proxy on the loopback that forwards connections to one address and
/// injects network faults into them. Used from the event loop's thread only.
class FaultProxy {
public:
  enum class Mode {
    Pass,
    /// Each chunk is forwarded 150 ms late, in both directions.
    Delay,
    /// Bytes are discarded in both directions; closes are not forwarded.
    Blackhole,
    /// Requests are forwarded, responses discarded; closes are not forwarded.
    OneWay,
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset
  };

  FaultProxy(boost::asio::io_context &Loop, const Endpoint &To);
  ~FaultProxy();

  /// The address that the proxy listens on (127.0.0.1, a free port).
  Endpoint address() const;
  /// Takes effect for new connections; open ones stay as they are.
  void setDestination(const Endpoint &To) { m_Destination = To; }
  /// Switches the mode. Leaving Blackhole or OneWay resets open connections, as
  /// the bytes discarded in the meantime are lost.
  void setMode(Mode NewMode);
  Mode mode() const { return m_Mode; }
  /// Time of the last call to setMode().
  TimePoint modeChangedAt() const { return m_ModeChangedAt; }

private:
  class Connection;
  void accept();

  boost::asio::io_context &m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  Endpoint m_Destination;
  Mode m_Mode = Mode::Pass;
  TimePoint m_ModeChangedAt{};
  std::vector<std::weak_ptr<Connection>> m_Connections;
};

} // namespace monsoon

#endif
