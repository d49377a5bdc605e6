#ifndef MONSOON_CUSTOMER_ALLOWANCEGATE_H
#define MONSOON_CUSTOMER_ALLOWANCEGATE_H

#include "core/hostshare.h"
#include "core/timepoint.h"
#include "customer/customertable.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

/// Demand of customers in requests per DemandSpan, by customer name.
using DemandCounts = std::map<std::string, int>;
constexpr std::chrono::seconds DemandSpan{10};
/// What a customer's request gets from its allowance.
struct AllowanceDecision {
  bool m_IsAdmitted = true;
  /// Time after which this host expects to have room for it; zero if admitted.
  Duration m_RetryAfter{};

  friend bool operator==(const AllowanceDecision &A,
                         const AllowanceDecision &B) {
    return A.m_IsAdmitted == B.m_IsAdmitted && A.m_RetryAfter == B.m_RetryAfter;
  }
};

/// What an operator sees of a customer's allowance at this host.
struct AllowanceUse {
  std::string m_Customer;
  uint64_t m_Admitted = 0;
  uint64_t m_Refused = 0;
  /// This host's share of the rate, in requests per second.
  double m_SharePerSecond = 0;
};

/// Limits the requests of each customer that this host passes on, so that all
/// entry hosts together stay within the customer's allowance although no host
/// counts the requests of the others.
///
/// Answers the load of customers whose few callers reach the hosts unevenly,
/// and of one that sends many times its usual rate. The limit is divided in
/// proportion to the demand that the hosts report. All hosts divide by the same
/// reports: a host counts its own demand as the peers know it by now, so the
/// shares add up to the limit. A host without reported demand has an equal part
/// of a small fraction of the limit in addition to that.
///
/// A host that hears of too few peers keeps its last share for a time that is
/// shorter than that for which the peers go on counting its last report, and
/// uses its equal part after that. A host that has just started and has not
/// heard of its peers uses an equal part of the whole limit for a time: that of
/// its predecessor, whose demand the peers still count.
///
/// While the demand that is known is well below the limit, requests beyond the
/// share are passed on as well, and later deducted from the share: demand that
/// has just begun or moved here is not refused while the reports of it are on
/// their way.
class AllowanceGate {
public:
  /// Sets the customers of the configuration in force; null for none. What is
  /// known of a customer that stays is kept.
  void setCustomers(TimePoint Now, const CustomerTablePtr &Customers);
  /// Sets the entry hosts, including this one. Before the first call no limited
  /// request is admitted.
  void setHosts(TimePoint Now, const HostShare &Hosts);
  /// Sets the sum of the demand that the peers report, and the fraction of the
  /// peers whose recent reports it contains.
  void setPeerDemand(TimePoint Now, const DemandCounts &Demand,
                     double Coverage);
  /// The demand of this host to be reported now: that of customers whose demand
  /// exceeds this host's equal part.
  DemandCounts demandToReport(TimePoint Now);

  /// Decides on a request of a customer and counts it. An admitted request that
  /// does not run has to be given back.
  AllowanceDecision admit(TimePoint Now, const Customer &Sender);
  void giveBack(TimePoint Now, const Customer &Sender);

  /// False while no customer is limited.
  bool isInUse() const { return !m_States.empty(); }

  /// The limited customers that have sent requests to this host.
  std::vector<AllowanceUse> use(TimePoint Now) const;

private:
  struct Reported {
    TimePoint m_At{};
    double m_PerSecond = 0;
  };
  struct State {
    Allowance m_Allowance;
    /// Moving average of the arrivals, in requests per second.
    double m_Demand = 0;
    TimePoint m_DemandAt{};
    /// The share when enough peers were last heard of.
    double m_LastShare = 0;
    double m_PeerDemand = 0;
    std::deque<Reported> m_Reports;
    /// Requests that may be passed on now; negative after ones beyond the
    /// share.
    double m_Tokens = 0;
    TimePoint m_TokensAt{};
    /// Until when room has been promised to refused requests.
    TimePoint m_PromisedUntil{};
    uint64_t m_Admitted = 0;
    uint64_t m_Refused = 0;
    /// True if this host is one of those that may pass on single requests of a
    /// customer of which they have no demand.
    bool m_IsRanked = false;
  };

  void rank(const std::string &Name, State &Of) const;
  static double demandAt(const State &Of, TimePoint Now);
  /// The demand of this host that the peers know by now.
  static double knownDemand(const State &Of, TimePoint Now);
  bool hearsPeers() const;
  /// This host's fraction of the customer's limit.
  double shareOf(const State &Of, TimePoint Now) const;
  /// True if the limit is certainly not reached by all hosts together.
  bool isFarBelowLimit(const State &Of, TimePoint Now) const;
  void refill(State &Of, TimePoint Now) const;

  std::map<std::string, State> m_States;
  std::optional<HostShare> m_HostShare;
  size_t m_Hosts = 0;
  double m_Coverage = 0;
  /// When enough peers were last heard of, and when the hosts were first known.
  TimePoint m_HeardAt{};
  TimePoint m_KnownSince{};
};

} // namespace monsoon

#endif
