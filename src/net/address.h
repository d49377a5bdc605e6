#ifndef MONSOON_NET_ADDRESS_H
#define MONSOON_NET_ADDRESS_H

#include "core/settings.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace monsoon {

/// Parses "10.0.0.1:80"; nothing unless it is an IPv4 address and a port.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

std::string endpointText(const Endpoint &Address);

/// The address for a socket. The host must be an IPv4 address.
boost::asio::ip::tcp::endpoint socketAddress(const Endpoint &Address);

/// Sends small writes at once, and gives the connection up when sent bytes stay
/// without an acknowledgement for the given time.
void setSocketOptions(boost::asio::ip::tcp::socket &Socket,
                      Milliseconds UserTimeout);

/// Closes a socket with a reset, so that no bytes are delivered afterwards.
void resetSocket(boost::asio::ip::tcp::socket &Socket);

} // namespace monsoon

#endif
