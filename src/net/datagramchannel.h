#ifndef MONSOON_NET_DATAGRAMCHANNEL_H
#define MONSOON_NET_DATAGRAMCHANNEL_H

#include "core/outcome.h"
#include "ports/peerchannel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace monsoon {

/// A PeerChannel over UDP.
class DatagramChannel : public PeerChannel {
public:
  /// Messages that don't fit into one datagram are left out.
  static constexpr size_t LongestMessage = 60'000;

  explicit DatagramChannel(boost::asio::io_context &Loop);

  /// Binds; the failure names the address.
  Outcome<void> listen(const Endpoint &Address);
  Endpoint address() const;

  void send(const Endpoint &To, const std::string &Message) override;
  void onMessage(Received Callback) override {
    m_Received = std::move(Callback);
  }

private:
  void receiveNext();

  boost::asio::ip::udp::socket m_Socket;
  boost::asio::ip::udp::endpoint m_Sender;
  std::array<char, LongestMessage> m_Buffer{};
  Received m_Received;
};

} // namespace monsoon

#endif
