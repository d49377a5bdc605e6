#include "net/address.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace monsoon {

namespace asio = boost::asio;

namespace {

using UserTimeoutOption =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr int MaxPort = 65'535;

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  Endpoint Result;
  Result.m_Host = std::string(Text.substr(0, Colon));
  boost::system::error_code Error;
  asio::ip::make_address_v4(Result.m_Host, Error);
  const bool PortIsNumber =
      absl::SimpleAtoi(std::string(Text.substr(Colon + 1)), &Result.m_Port);
  if (Error || !PortIsNumber || Result.m_Port < 1 || Result.m_Port > MaxPort)
    return std::nullopt;
  return Result;
}

std::string endpointText(const Endpoint &Address) {
  return absl::StrCat(Address.m_Host, ":", Address.m_Port);
}

asio::ip::tcp::endpoint socketAddress(const Endpoint &Address) {
  return {asio::ip::make_address_v4(Address.m_Host),
          static_cast<unsigned short>(Address.m_Port)};
}

void setSocketOptions(asio::ip::tcp::socket &Socket, Milliseconds UserTimeout) {
  // Errors are ignored: the options only shorten delays in sending and in the
  // detection of failed connections.
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(UserTimeoutOption(static_cast<int>(UserTimeout.count())),
                    Ignored);
}

void resetSocket(asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace monsoon
