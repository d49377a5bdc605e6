#include "net/acceptor.h"

#include "net/address.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int Backlog = 1024;
/// Connections accepted at a time. One a turn of the event loop is too few when
/// a turn takes long; more would delay requests on other connections.
constexpr int MaxAcceptsInTurn = 64;
/// Pause after a failed accept, usually because no descriptors are left.
constexpr Milliseconds AcceptRetryDelay{50};

} // namespace

Acceptor::Acceptor(asio::io_context &Loop, const Clock &Time,
                   RequestHandler &Handler)
    : m_Clock(Time), m_Handler(Handler), m_Acceptor(Loop), m_RetryTimer(Loop) {}

Outcome<void> Acceptor::listen(const Endpoint &Address) {
  error_code Error;
  const auto Local = socketAddress(Address);
  m_Acceptor.open(Local.protocol(), Error);
  if (!Error)
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    m_Acceptor.bind(Local, Error);
  if (!Error)
    m_Acceptor.listen(Backlog, Error);
  if (Error)
    return Failure{ErrorKind::SettingsInvalid,
                   absl::StrCat("cannot listen at ", endpointText(Address),
                                ": ", Error.message())};
  acceptNext();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Endpoint Acceptor::address() const {
  error_code Error;
  const auto Local = m_Acceptor.local_endpoint(Error);
  if (Error)
    return {};
  return {Local.address().to_string(), Local.port()};
}

void Acceptor::close() {
  error_code Error;
  m_Acceptor.non_blocking(true, Error);
  while (!Error) {
    auto Socket = m_Acceptor.accept(Error);
    if (!Error)
      startSession(std::move(Socket));
  }
  m_Acceptor.close(Error);
}

bool Acceptor::closeWhenIdle() {
  m_Sessions.drainAll(true);
  if (m_Sessions.size() > 0)
    return false;
  if (!m_Acceptor.is_open())
    return true;
  // A connection whose accept has completed gets its session in the next turn
  // of the event loop.
  close();
  return false;
}

void Acceptor::startSession(asio::ip::tcp::socket Socket) {
  std::make_shared<CallerSession>(std::move(Socket), m_Clock, m_Handler,
                                  m_Sessions)
      ->start();
}

void Acceptor::acceptNext() {
  m_Acceptor.async_accept(
      [this](const error_code &Error, asio::ip::tcp::socket Socket) {
        if (!Error)
          startSession(std::move(Socket));
        if (!m_Acceptor.is_open())
          return;
        if (Error) {
          m_RetryTimer.expires_after(AcceptRetryDelay);
          m_RetryTimer.async_wait([this](const error_code &TimerError) {
            if (!TimerError && m_Acceptor.is_open())
              acceptNext();
          });
          return;
        }
        acceptWaiting();
        acceptNext();
      });
}

void Acceptor::acceptWaiting() {
  error_code Error;
  m_Acceptor.non_blocking(true, Error);
  for (int Count = 0; Count < MaxAcceptsInTurn && !Error; ++Count) {
    auto Socket = m_Acceptor.accept(Error);
    if (!Error)
      startSession(std::move(Socket));
  }
}

} // namespace monsoon
