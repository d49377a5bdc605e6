#include "net/datagramchannel.h"

#include "net/address.h"

#include "absl/strings/str_cat.h"

namespace monsoon {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Limits of what is received in one turn of the event loop. One message a turn
/// is too few when a turn takes long: the socket's buffer would fill, and its
/// messages be seconds old. Handling all of them at once would delay requests
/// on a host with little processor time.
constexpr int MaxMessagesInTurn = 64;
constexpr Milliseconds MaxTimeInTurn{20};

} // namespace

DatagramChannel::DatagramChannel(asio::io_context &Loop, const Clock &Time)
    : m_Socket(Loop), m_Clock(Time) {}

Outcome<void> DatagramChannel::listen(const Endpoint &Address) {
  error_code Error;
  const asio::ip::udp::endpoint Local(
      asio::ip::make_address_v4(Address.m_Host),
      static_cast<unsigned short>(Address.m_Port));
  m_Socket.open(Local.protocol(), Error);
  if (!Error)
    m_Socket.bind(Local, Error);
  if (!Error)
    m_Socket.non_blocking(true, Error);
  if (Error)
    return Failure{ErrorKind::SettingsInvalid,
                   absl::StrCat("cannot receive at ", endpointText(Address),
                                ": ", Error.message())};
  receiveNext();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Endpoint DatagramChannel::address() const {
  error_code Error;
  const auto Local = m_Socket.local_endpoint(Error);
  if (Error)
    return {};
  return {Local.address().to_string(), Local.port()};
}

bool DatagramChannel::send(const Endpoint &To, const std::string &Message) {
  if (Message.size() > MaxMessageBytes)
    return false;
  // Messages that cannot be sent without blocking are dropped: reports are
  // repeated, so a later one replaces them.
  error_code Ignored;
  m_Traffic.m_Sent += m_Socket.send_to(asio::buffer(Message),
                                       {asio::ip::make_address_v4(To.m_Host),
                                        static_cast<unsigned short>(To.m_Port)},
                                       0, Ignored);
  return true;
}

void DatagramChannel::receiveNext() {
  m_Socket.async_receive_from(asio::buffer(m_Buffer), m_Sender,
                              [this](const error_code &Error, size_t Size) {
                                if (Error == asio::error::operation_aborted)
                                  return;
                                if (!Error)
                                  received(Size);
                                receiveWaiting();
                                receiveNext();
                              });
}

void DatagramChannel::received(size_t Size) {
  m_Traffic.m_Received += Size;
  if (m_Callback)
    m_Callback(std::string(m_Buffer.data(), Size));
}

void DatagramChannel::receiveWaiting() {
  error_code Error;
  const TimePoint End = m_Clock.now() + MaxTimeInTurn;
  for (int Count = 0; Count < MaxMessagesInTurn && m_Clock.now() < End;
       ++Count) {
    const size_t Size =
        m_Socket.receive_from(asio::buffer(m_Buffer), m_Sender, 0, Error);
    if (Error)
      return;
    received(Size);
  }
}

} // namespace monsoon
