#ifndef MONSOON_HTTP_CLIENTCONNECTION_H
#define MONSOON_HTTP_CLIENTCONNECTION_H

#include "core/settings.h"
#include "http/socketstream.h"

#include <httplib.h>

#include <functional>
#include <string>

namespace monsoon {

/// What one exchange has to keep to.
struct ExchangeLimits {
  TimePoint m_Deadline;
  /// Socket whose hang-up ends the exchange; -1 for none.
  int m_WatchedSocket = -1;
  /// Descriptor that ends the exchange when readable; -1 for none.
  int m_CancelDescriptor = -1;
  /// Asked right before the first byte is written; may be empty.
  std::function<bool()> m_MaySend;
};

/// How an exchange ended, apart from the answer itself.
struct ExchangeEnd {
  bool m_Ok = false;
  bool m_Connected = false;
  /// False when it is certain that no byte of the request left this process.
  bool m_MaybeSent = false;
  bool m_TimedOut = false;
  bool m_WatchedHungUp = false;
  bool m_Cancelled = false;
  /// MaySend said no.
  bool m_Withheld = false;
};

/// One kept-open client connection. It serves one exchange at a time and
/// closes itself after any failure, so that a late answer can't reach a later
/// request.
class ClientConnection : private httplib::ClientImpl {
public:
  ClientConnection(const Endpoint &Address, Milliseconds ConnectTimeout);

  /// Sends a request and reads its answer into Response.
  ExchangeEnd exchange(httplib::Request &&Request, httplib::Response &Response,
                       const ExchangeLimits &Limits);

  bool isOpen() const { return is_socket_open() != 0; }
  void close() { stop(); }

  TimePoint lastUsed() const { return m_LastUsed; }

private:
  bool process_socket(const Socket &Open,
                      std::function<bool(httplib::Stream &)> Run) override;

  const ExchangeLimits *m_Limits = nullptr;
  ExchangeEnd m_End;
  TimePoint m_LastUsed;
};

} // namespace monsoon

#endif
