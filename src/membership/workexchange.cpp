#include "membership/workexchange.h"

#include "codec/hostreportcodec.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Requests take some 100 to 300 ms, so this is about as often as they end.
constexpr Milliseconds ReportInterval{200};
/// A report counts for this long.
constexpr Milliseconds Recent{700};

} // namespace

WorkExchange::WorkExchange(std::string Host, PeerChannel &Channel,
                           const Clock &Time, Source Own, Sink Peers)
    : m_Host(std::move(Host)), m_Channel(Channel), m_Clock(Time),
      m_Source(std::move(Own)), m_Sink(std::move(Peers)) {
  m_Channel.onMessage([this](const std::string &Message) { receive(Message); });
}

void WorkExchange::setPeers(std::map<std::string, Endpoint> Peers) {
  Peers.erase(m_Host);
  for (auto It = m_Known.begin(); It != m_Known.end();)
    It = Peers.count(It->first) > 0 ? std::next(It) : m_Known.erase(It);
  m_Peers = std::move(Peers);
}

void WorkExchange::tick() {
  const TimePoint Now = m_Clock.now();
  const bool Brief = Now < m_NextReport;
  if (m_Peers.empty() || (Brief && !m_Hurrying))
    return;
  m_Hurrying = false;
  if (!Brief)
    m_NextReport = Now + ReportInterval;
  HostReport Report = m_Source(Brief);
  Report.m_Brief = Brief;
  Report.m_Host = m_Host;
  Report.m_Sequence = ++m_Sequence;
  const std::string Message = encodeHostReport(Report);
  for (const auto &[Host, Address] : m_Peers)
    m_Channel.send(Address, Message);
}

void WorkExchange::receive(const std::string &Message) {
  auto Report = decodeHostReport(Message);
  if (!Report || m_Peers.count(Report.value().m_Host) == 0)
    return;
  Known &Former = m_Known[Report.value().m_Host];
  // Late and doubled reports are older than what is known.
  if (Report.value().m_Sequence <= Former.m_Sequence)
    return;
  Former.m_Sequence = Report.value().m_Sequence;
  m_Sink(Report.value());
  if (Report.value().m_Brief)
    return;
  Former.m_Report = std::move(Report).value();
  Former.m_At = m_Clock.now();
}

size_t WorkExchange::reportingHosts() const {
  const TimePoint Now = m_Clock.now();
  return 1 + static_cast<size_t>(std::count_if(
                 m_Known.begin(), m_Known.end(), [Now](const auto &Each) {
                   return Now - Each.second.m_At < Recent;
                 }));
}

WorkElsewhere WorkExchange::elsewhere() const {
  const TimePoint Now = m_Clock.now();
  WorkElsewhere Result;
  for (const auto &[Host, Each] : m_Known) {
    if (Now - Each.m_At >= Recent)
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
