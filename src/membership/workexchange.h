#ifndef MONSOON_MEMBERSHIP_WORKEXCHANGE_H
#define MONSOON_MEMBERSHIP_WORKEXCHANGE_H

#include "core/hostreport.h"
#include "ports/clock.h"
#include "ports/peerchannel.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace monsoon {

/// What the other hosts have at a target, as far as they have told lately.
struct WorkElsewhere {
  std::map<std::string, int> m_InFlight;
  std::map<std::string, int> m_Waiting;
  /// Part of the other hosts whose reports are recent.
  double m_Coverage = 0;
};

/// Exchanges reports of their work between the entry hosts, several times a
/// second. What a host knows of the others is used for choices only, never for
/// promises, so lost reports cost quality and nothing else.
class WorkExchange {
public:
  /// Writes what this host has read and recorded and, unless it is to be
  /// brief, what it has in flight and has counted since the last call.
  using Source = std::function<HostReport(bool Brief)>;
  /// A report of another host came.
  using Sink = std::function<void(const HostReport &)>;

  WorkExchange(std::string Host, PeerChannel &Channel, const Clock &Time,
               Source Own, Sink Peers);

  /// The other hosts and where they receive.
  void setPeers(std::map<std::string, Endpoint> Peers);
  void tick();
  /// Sends a brief report at the next tick, without regard to the interval.
  void hurry() { m_Hurrying = true; }

  /// Hosts whose reports are recent, this one included.
  size_t reportingHosts() const;
  WorkElsewhere elsewhere() const;

private:
  struct Known {
    uint64_t m_Sequence = 0;
    HostReport m_Report;
    TimePoint m_At{};
  };
  void receive(const std::string &Message);

  const std::string m_Host;
  PeerChannel &m_Channel;
  const Clock &m_Clock;
  Source m_Source;
  Sink m_Sink;
  std::map<std::string, Endpoint> m_Peers;
  std::map<std::string, Known> m_Known;
  uint64_t m_Sequence = 0;
  TimePoint m_NextReport{};
  bool m_Hurrying = false;
};

} // namespace monsoon

#endif
