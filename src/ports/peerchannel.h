#ifndef MONSOON_PORTS_PEERCHANNEL_H
#define MONSOON_PORTS_PEERCHANNEL_H

#include "core/settings.h"

#include <functional>
#include <string>

namespace monsoon {

/// Short messages between entry hosts. They may be lost, delayed or duplicated.
class PeerChannel {
public:
  using Received = std::function<void(const std::string &Message)>;

  virtual ~PeerChannel() = default;
  /// Sends a message without confirmation. Returns false if it is too long to
  /// be sent.
  virtual bool send(const Endpoint &To, const std::string &Message) = 0;
  /// Sets the callback for received messages.
  virtual void onMessage(Received Callback) = 0;
};

} // namespace monsoon

#endif
