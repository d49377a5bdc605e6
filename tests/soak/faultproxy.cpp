#include "soak/faultproxy.h"

#include "net/address.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace monsoon {

namespace asio = boost::asio;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

namespace {

constexpr Milliseconds DelayLength{150};
constexpr size_t ChunkBytes = 16'384;

asio::ip::tcp::endpoint endpointOf(const Endpoint &Address) {
  return {asio::ip::make_address_v4(Address.m_Host),
          static_cast<unsigned short>(Address.m_Port)};
}

} // namespace

/// A connection through the proxy.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
public:
  Pair(FaultProxy &Owner, Socket Caller)
      : m_Owner(Owner), m_Caller(std::move(Caller)), m_Server(Owner.m_Loop) {}

  void start() {
    m_Server.async_connect(
        endpointOf(m_Owner.m_To),
        [Self = shared_from_this()](const error_code &Error) {
          if (Error) {
            Self->reset();
            return;
          }
          Self->pump(Self->m_Caller, Self->m_Server, Self->m_Up, true);
          Self->pump(Self->m_Server, Self->m_Caller, Self->m_Down, false);
        });
  }

  void reset() {
    resetSocket(m_Caller);
    resetSocket(m_Server);
  }

private:
  using Chunk = std::array<char, ChunkBytes>;

  void pump(Socket &From, Socket &To, Chunk &Bytes, bool IsUp) {
    From.async_read_some(asio::buffer(Bytes),
                         [Self = shared_from_this(), &From, &To, &Bytes,
                          IsUp](const error_code &Error, size_t Size) {
                           if (Error)
                             Self->end(To, Error);
                           else
                             Self->pass(From, To, Bytes, Size, IsUp);
                         });
  }

  void pass(Socket &From, Socket &To, Chunk &Bytes, size_t Size, bool IsUp) {
    const Mode Now = m_Owner.m_Mode;
    if (Now == Mode::Silent || (Now == Mode::OneWay && !IsUp)) {
      pump(From, To, Bytes, IsUp);
      return;
    }
    const auto Timer = std::make_shared<asio::steady_timer>(m_Owner.m_Loop);
    Timer->expires_after(Now == Mode::Delay ? DelayLength : Milliseconds(0));
    Timer->async_wait([Self = shared_from_this(), Timer, &From, &To, &Bytes,
                       Size, IsUp](const error_code & /*Error*/) {
      asio::async_write(To, asio::buffer(Bytes, Size),
                        [Self, &From, &To, &Bytes,
                         IsUp](const error_code &Error, size_t /*Size*/) {
                          if (Error)
                            Self->reset();
                          else
                            Self->pump(From, To, Bytes, IsUp);
                        });
    });
  }

  void end(Socket &To, const error_code &Error) {
    const Mode Now = m_Owner.m_Mode;
    // Behind a cut nobody learns that the other end has closed.
    if (Now == Mode::Silent || Now == Mode::OneWay)
      return;
    error_code Ignored;
    if (Error == asio::error::eof)
      To.shutdown(Socket::shutdown_send, Ignored);
    else
      reset();
  }

  FaultProxy &m_Owner;
  Socket m_Caller;
  Socket m_Server;
  Chunk m_Up{};
  Chunk m_Down{};
};

FaultProxy::FaultProxy(asio::io_context &Loop, const Endpoint &To)
    : m_Loop(Loop), m_Acceptor(Loop, endpointOf({"127.0.0.1", 0})), m_To(To) {
  accept();
}

FaultProxy::~FaultProxy() {
  for (const auto &Each : m_Pairs)
    if (const auto Open = Each.lock())
      Open->reset();
}

Endpoint FaultProxy::address() const {
  return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
}

void FaultProxy::accept() {
  m_Acceptor.async_accept([this](const error_code &Error, Socket Caller) {
    if (Error == asio::error::operation_aborted)
      return;
    if (!Error && m_Mode == Mode::Reset) {
      resetSocket(Caller);
    } else if (!Error) {
      const auto Next = std::make_shared<Pair>(*this, std::move(Caller));
      m_Pairs.erase(
          std::remove_if(m_Pairs.begin(), m_Pairs.end(),
                         [](const auto &Each) { return Each.expired(); }),
          m_Pairs.end());
      m_Pairs.push_back(Next);
      Next->start();
    }
    accept();
  });
}

void FaultProxy::setMode(Mode Value) {
  const bool Loses = m_Mode == Mode::Silent || m_Mode == Mode::OneWay;
  m_Mode = Value;
  m_ChangedAt = std::chrono::steady_clock::now();
  if (!Loses && Value != Mode::Reset)
    return;
  for (const auto &Each : m_Pairs)
    if (const auto Open = Each.lock())
      Open->reset();
}

} // namespace monsoon
