#include "net/acceptor.h"

#include "net/address.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int Backlog = 1024;
/// Pause after a failed accept, which mostly means too few descriptors.
constexpr Milliseconds AcceptPause{50};

} // namespace

Acceptor::Acceptor(asio::io_context &Loop, const Clock &Time,
                   RequestHandler &Handler)
    : m_Clock(Time), m_Handler(Handler), m_Acceptor(Loop), m_Pause(Loop) {}

Outcome<void> Acceptor::listen(const Endpoint &Address) {
  error_code Error;
  const auto Where = socketAddress(Address);
  m_Acceptor.open(Where.protocol(), Error);
  if (!Error)
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    m_Acceptor.bind(Where, Error);
  if (!Error)
    m_Acceptor.listen(Backlog, Error);
  if (Error)
    return Failure{ErrorKind::SettingsInvalid,
                   absl::StrCat("can't listen at ", endpointText(Address), ": ",
                                Error.message())};
  acceptNext();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Endpoint Acceptor::address() const {
  error_code Error;
  const auto Where = m_Acceptor.local_endpoint(Error);
  if (Error)
    return {};
  return {Where.address().to_string(), Where.port()};
}

void Acceptor::close() {
  error_code Ignored;
  m_Acceptor.close(Ignored);
}

void Acceptor::acceptNext() {
  m_Acceptor.async_accept(
      [this](const error_code &Error, asio::ip::tcp::socket Socket) {
        if (!m_Acceptor.is_open())
          return;
        if (Error) {
          m_Pause.expires_after(AcceptPause);
          m_Pause.async_wait([this](const error_code &Cancelled) {
            if (!Cancelled && m_Acceptor.is_open())
              acceptNext();
          });
          return;
        }
        std::make_shared<CallerSession>(std::move(Socket), m_Clock, m_Handler,
                                        m_Sessions)
            ->start();
        acceptNext();
      });
}

} // namespace monsoon
