#ifndef MONSOON_NET_DATAGRAMCHANNEL_H
#define MONSOON_NET_DATAGRAMCHANNEL_H

#include "core/outcome.h"
#include "net/trafficcount.h"
#include "ports/clock.h"
#include "ports/peerchannel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace monsoon {

/// A PeerChannel over UDP. Messages may be lost.
class DatagramChannel : public PeerChannel {
public:
  /// Largest message in bytes, which fits into one datagram. Longer ones are
  /// not sent.
  static constexpr size_t MaxMessageBytes = 60'000;

  DatagramChannel(boost::asio::io_context &Loop, const Clock &Time);

  /// Binds and starts receiving. Fails with SettingsInvalid, whose message
  /// names the address.
  Outcome<void> listen(const Endpoint &Address);
  /// The local address. Empty when the socket is not open.
  Endpoint address() const;

  bool send(const Endpoint &To, const std::string &Message) override;
  void onMessage(Received Callback) override {
    m_Callback = std::move(Callback);
  }

  const TrafficCount &traffic() const { return m_Traffic; }

private:
  void receiveNext();
  /// Receives the messages that wait in the socket, up to a limit.
  void receiveWaiting();
  void received(size_t Size);

  boost::asio::ip::udp::socket m_Socket;
  const Clock &m_Clock;
  boost::asio::ip::udp::endpoint m_Sender;
  std::array<char, MaxMessageBytes> m_Buffer{};
  Received m_Callback;
  TrafficCount m_Traffic;
};

} // namespace monsoon

#endif
