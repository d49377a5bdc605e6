#include "membership/loadgossip.h"

#include "codec/hostreportcodec.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Requests take about 100 to 300 ms, so reports are sent about as often as
/// requests end.
constexpr Milliseconds ReportInterval{200};
/// Time for which a report is used.
constexpr Milliseconds ReportLifetime{700};

} // namespace

LoadGossip::LoadGossip(std::string Host, PeerChannel &Channel,
                       const Clock &Time, Source WriteReport, Sink OnReport)
    : m_Host(std::move(Host)), m_Channel(Channel), m_Clock(Time),
      m_Source(std::move(WriteReport)), m_Sink(std::move(OnReport)) {
  m_Channel.onMessage([this](const std::string &Message) { receive(Message); });
}

void LoadGossip::setPeers(std::map<std::string, Endpoint> Peers) {
  Peers.erase(m_Host);
  for (auto It = m_PeerStates.begin(); It != m_PeerStates.end();)
    It = Peers.count(It->first) > 0 ? std::next(It) : m_PeerStates.erase(It);
  m_Peers = std::move(Peers);
}

void LoadGossip::tick() {
  const TimePoint Now = m_Clock.now();
  const bool Brief = Now < m_NextReport;
  if (m_Peers.empty() || (Brief && !m_IsBriefReportDue))
    return;
  m_IsBriefReportDue = false;
  if (!Brief)
    m_NextReport = Now + ReportInterval;
  HostReport Report = m_Source(Brief);
  Report.m_OmitsLoad = Brief;
  Report.m_Host = m_Host;
  Report.m_Sequence = ++m_Sequence;
  const std::string Message = encodeHostReport(Report);
  for (const auto &[Host, Address] : m_Peers)
    m_Channel.send(Address, Message);
}

void LoadGossip::receive(const std::string &Message) {
  auto Report = decodeHostReport(Message);
  if (!Report || m_Peers.count(Report.value().m_Host) == 0)
    return;
  PeerState &Last = m_PeerStates[Report.value().m_Host];
  // Delayed and duplicate reports are not newer than the last one.
  if (Report.value().m_Sequence <= Last.m_Sequence)
    return;
  Last.m_Sequence = Report.value().m_Sequence;
  m_Sink(Report.value());
  if (Report.value().m_OmitsLoad)
    return;
  Last.m_Report = std::move(Report).value();
  Last.m_ReceivedAt = m_Clock.now();
}

size_t LoadGossip::reportingHosts() const {
  const TimePoint Now = m_Clock.now();
  return 1 +
         static_cast<size_t>(std::count_if(
             m_PeerStates.begin(), m_PeerStates.end(), [Now](const auto &Each) {
               return Now - Each.second.m_ReceivedAt < ReportLifetime;
             }));
}

PeerLoad LoadGossip::peerLoad() const {
  const TimePoint Now = m_Clock.now();
  PeerLoad Result;
  for (const auto &[Host, Each] : m_PeerStates) {
    if (Now - Each.m_ReceivedAt >= ReportLifetime)
      continue;
    for (const auto &[Target, Count] : Each.m_Report.m_InFlight)
      Result.m_InFlight[Target] += Count;
    for (const auto &[Target, Count] : Each.m_Report.m_Waiting)
      Result.m_Waiting[Target] += Count;
  }
  if (!m_Peers.empty())
    Result.m_Coverage = static_cast<double>(reportingHosts() - 1) /
                        static_cast<double>(m_Peers.size());
  return Result;
}

} // namespace monsoon
