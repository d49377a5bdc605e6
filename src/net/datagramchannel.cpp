#include "net/datagramchannel.h"

#include "net/address.h"

#include "absl/strings/str_cat.h"

namespace monsoon {

namespace asio = boost::asio;
using boost::system::error_code;

DatagramChannel::DatagramChannel(asio::io_context &Loop) : m_Socket(Loop) {}

Outcome<void> DatagramChannel::listen(const Endpoint &Address) {
  error_code Error;
  const asio::ip::udp::endpoint Where(
      asio::ip::make_address_v4(Address.m_Host),
      static_cast<unsigned short>(Address.m_Port));
  m_Socket.open(Where.protocol(), Error);
  if (!Error)
    m_Socket.bind(Where, Error);
  if (!Error)
    m_Socket.non_blocking(true, Error);
  if (Error)
    return Failure{ErrorKind::SettingsInvalid,
                   absl::StrCat("can't receive at ", endpointText(Address),
                                ": ", Error.message())};
  receiveNext();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Endpoint DatagramChannel::address() const {
  error_code Error;
  const auto Where = m_Socket.local_endpoint(Error);
  if (Error)
    return {};
  return {Where.address().to_string(), Where.port()};
}

void DatagramChannel::send(const Endpoint &To, const std::string &Message) {
  if (Message.size() > LongestMessage)
    return;
  // Reports are repeated, so one that can't be sent at once is let go.
  error_code Ignored;
  m_Socket.send_to(asio::buffer(Message),
                   {asio::ip::make_address_v4(To.m_Host),
                    static_cast<unsigned short>(To.m_Port)},
                   0, Ignored);
}

void DatagramChannel::receiveNext() {
  m_Socket.async_receive_from(asio::buffer(m_Buffer), m_Sender,
                              [this](const error_code &Error, size_t Size) {
                                if (Error == asio::error::operation_aborted)
                                  return;
                                if (!Error && m_Received)
                                  m_Received(
                                      std::string(m_Buffer.data(), Size));
                                receiveNext();
                              });
}

} // namespace monsoon
