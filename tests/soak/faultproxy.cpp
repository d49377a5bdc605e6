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

constexpr Milliseconds AddedDelay{150};
constexpr size_t ChunkBytes = 16'384;

asio::ip::tcp::endpoint toAsioEndpoint(const Endpoint &Address) {
  return {asio::ip::make_address_v4(Address.m_Host),
          static_cast<unsigned short>(Address.m_Port)};
}

} // namespace

/// A proxied connection: the caller's socket and the one to the destination.
class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(FaultProxy &Owner, Socket Caller)
      : m_Owner(Owner), m_Caller(std::move(Caller)), m_Server(Owner.m_Loop) {}

  void start() {
    m_Server.async_connect(
        toAsioEndpoint(m_Owner.m_Destination),
        [Self = shared_from_this()](const error_code &Error) {
          if (Error) {
            Self->reset();
            return;
          }
          Self->readNext(Self->m_Caller, Self->m_Server, Self->m_FromCaller,
                         true);
          Self->readNext(Self->m_Server, Self->m_Caller, Self->m_FromServer,
                         false);
        });
  }

  void reset() {
    resetSocket(m_Caller);
    resetSocket(m_Server);
  }

private:
  using Chunk = std::array<char, ChunkBytes>;

  void readNext(Socket &From, Socket &To, Chunk &Bytes, bool IsFromCaller) {
    From.async_read_some(asio::buffer(Bytes),
                         [Self = shared_from_this(), &From, &To, &Bytes,
                          IsFromCaller](const error_code &Error, size_t Size) {
                           if (Error)
                             Self->handleReadError(To, Error);
                           else
                             Self->forward(From, To, Bytes, Size, IsFromCaller);
                         });
  }

  void forward(Socket &From, Socket &To, Chunk &Bytes, size_t Size,
               bool IsFromCaller) {
    const Mode Active = m_Owner.m_Mode;
    if (Active == Mode::Blackhole ||
        (Active == Mode::OneWay && !IsFromCaller)) {
      readNext(From, To, Bytes, IsFromCaller);
      return;
    }
    const auto Timer = std::make_shared<asio::steady_timer>(m_Owner.m_Loop);
    Timer->expires_after(Active == Mode::Delay ? AddedDelay : Milliseconds(0));
    Timer->async_wait([Self = shared_from_this(), Timer, &From, &To, &Bytes,
                       Size, IsFromCaller](const error_code & /*Error*/) {
      asio::async_write(To, asio::buffer(Bytes, Size),
                        [Self, &From, &To, &Bytes, IsFromCaller](
                            const error_code &Error, size_t /*Size*/) {
                          if (Error)
                            Self->reset();
                          else
                            Self->readNext(From, To, Bytes, IsFromCaller);
                        });
    });
  }

  void handleReadError(Socket &To, const error_code &Error) {
    const Mode Active = m_Owner.m_Mode;
    // A partitioned network does not deliver the close either.
    if (Active == Mode::Blackhole || Active == Mode::OneWay)
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
  Chunk m_FromCaller{};
  Chunk m_FromServer{};
};

FaultProxy::FaultProxy(asio::io_context &Loop, const Endpoint &To)
    : m_Loop(Loop), m_Acceptor(Loop, toAsioEndpoint({"127.0.0.1", 0})),
      m_Destination(To) {
  accept();
}

FaultProxy::~FaultProxy() {
  for (const auto &Each : m_Connections)
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
      const auto Next = std::make_shared<Connection>(*this, std::move(Caller));
      m_Connections.erase(
          std::remove_if(m_Connections.begin(), m_Connections.end(),
                         [](const auto &Each) { return Each.expired(); }),
          m_Connections.end());
      m_Connections.push_back(Next);
      Next->start();
    }
    accept();
  });
}

void FaultProxy::setMode(Mode NewMode) {
  const bool WasDropping = m_Mode == Mode::Blackhole || m_Mode == Mode::OneWay;
  m_Mode = NewMode;
  m_ModeChangedAt = std::chrono::steady_clock::now();
  if (!WasDropping && NewMode != Mode::Reset)
    return;
  for (const auto &Each : m_Connections)
    if (const auto Open = Each.lock())
      Open->reset();
}

} // namespace monsoon
