#ifndef MONSOON_NET_ADDRESS_H
#define MONSOON_NET_ADDRESS_H

#include "core/settings.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace monsoon {

/// Parses text such as "10.0.0.1:80". Empty unless the text is an IPv4 address
/// and a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

/// The address in the form "10.0.0.1:80".
std::string endpointText(const Endpoint &Address);

/// Converts to an Asio endpoint. The host must be an IPv4 address.
boost::asio::ip::tcp::endpoint socketAddress(const Endpoint &Address);

/// Disables Nagle's algorithm and sets TCP_USER_TIMEOUT, after which the system
/// drops a connection whose sent bytes are not acknowledged.
void setSocketOptions(boost::asio::ip::tcp::socket &Socket,
                      Milliseconds UserTimeout);

/// Closes a socket with a reset, which discards bytes that are still unsent.
void resetSocket(boost::asio::ip::tcp::socket &Socket);

} // namespace monsoon

#endif
