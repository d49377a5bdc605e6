#ifndef MONSOON_TESTS_STANDIN_GRANTHOLDER_H
#define MONSOON_TESTS_STANDIN_GRANTHOLDER_H

#include "core/ownershipmessages.h"

#include <map>
#include <set>
#include <string>

namespace monsoon {

/// The server's side of range ownership: the ranges granted to one server
/// instance, the fencing token of each, and the lease under which they are
/// held. A holder with ChecksFences rejects outdated orders and serves a range
/// only under the granted fence and before the lease ends; one without it
/// accepts every order and serves every request. Reads no clock: callers pass
/// the time.
class GrantHolder {
public:
  GrantHolder(std::string Instance, bool ChecksFences)
      : m_Instance(std::move(Instance)), m_ChecksFences(ChecksFences) {}

  /// Applies an order of the lease holder and returns the state after it. An
  /// order is outdated if its term is lower, or its term is the same and its
  /// sequence number not higher, than that of the last accepted order.
  /// An accepted order of another term ends the present lease. If the order
  /// echoes a timestamp, names this instance and has the present set version,
  /// it extends the lease to Order.m_Lifetime after the echoed timestamp (a
  /// reading of this server's clock), not after Now.
  GrantReply apply(const GrantOrder &Order, TimePoint Now);

  /// Whether a request sent under Fence may start executing at Now.
  bool mayServe(RangeId Range, GroupVersion Fence, TimePoint Now) const;

  /// Whether a request that started under Fence may still take effect at Now.
  /// Also true if the range was released after the start, until the lease ends.
  bool mayCommit(RangeId Range, GroupVersion Fence, TimePoint Now) const;

  /// Counts a request of a range as in flight. The range is reported as
  /// draining if it is released before the last of them ends.
  void beginRequest(RangeId Range) { ++m_InFlight[Range]; }
  void endRequest(RangeId Range);

  const std::map<RangeId, GroupVersion> &ranges() const { return m_Ranges; }
  TimePoint leaseEnd() const { return m_LeaseEnd; }

private:
  const std::string m_Instance;
  const bool m_ChecksFences;
  Term m_Term = 0;
  uint64_t m_Seq = 0;
  uint64_t m_SetVersion = 0;
  TimePoint m_LeaseEnd;
  std::map<RangeId, GroupVersion> m_Ranges;
  /// Released ranges that still have requests in flight.
  std::map<RangeId, GroupVersion> m_Draining;
  std::map<RangeId, int> m_InFlight;
};

} // namespace monsoon

#endif
