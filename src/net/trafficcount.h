#ifndef MONSOON_NET_TRAFFICCOUNT_H
#define MONSOON_NET_TRAFFICCOUNT_H

#include <cstdint>
#include <tuple>

namespace monsoon {

/// Bytes of one kind of traffic of this host since its start: the payload of
/// connections and datagrams, without the headers of the network. Used only on
/// the thread of the event loop.
struct TrafficCount {
  uint64_t m_Sent = 0;
  uint64_t m_Received = 0;

  auto tie() const { return std::tie(m_Sent, m_Received); }
  friend bool operator==(const TrafficCount &A, const TrafficCount &B) {
    return A.tie() == B.tie();
  }
};

} // namespace monsoon

#endif
