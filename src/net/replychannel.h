#ifndef MONSOON_NET_REPLYCHANNEL_H
#define MONSOON_NET_REPLYCHANNEL_H

#include "core/httpmessage.h"

#include <cstddef>
#include <functional>
#include <type_traits>
#include <utility>

namespace monsoon {

/// Where the response to one request goes.
class ReplyChannel {
public:
  using Send = std::function<void(HttpResponse)>;
  /// True if the caller has closed its connection.
  using DisconnectCheck = std::function<bool()>;

  ReplyChannel() = default;
  ReplyChannel(std::nullptr_t /*None*/) {}
  /// A caller that is not known to disconnect.
  template <typename Function,
            typename = std::enable_if_t<
                std::is_invocable_v<Function &, HttpResponse> &&
                !std::is_same_v<std::decay_t<Function>, ReplyChannel>>>
  ReplyChannel(Function Reply) : m_Send(std::move(Reply)) {}
  ReplyChannel(Send Reply, DisconnectCheck HasDisconnected)
      : m_Send(std::move(Reply)),
        m_HasDisconnected(std::move(HasDisconnected)) {}

  explicit operator bool() const { return static_cast<bool>(m_Send); }
  void operator()(HttpResponse Response) const { m_Send(std::move(Response)); }

  /// Asks the caller's connection; a disconnect may not have been read yet.
  bool hasCallerDisconnected() const {
    return m_HasDisconnected && m_HasDisconnected();
  }

private:
  Send m_Send;
  DisconnectCheck m_HasDisconnected;
};

} // namespace monsoon

#endif
