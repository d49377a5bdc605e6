#ifndef MONSOON_CORE_HOSTREPORT_H
#define MONSOON_CORE_HOSTREPORT_H

#include "core/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace monsoon {

/// How far a host has read a topic of the log.
struct TopicProgress {
  /// Offset after the last record that was read.
  uint64_t m_End = 0;
  /// Offset after the last record that changed something; the records from
  /// there to the end may be passed over.
  uint64_t m_Changed = 0;
  /// How long ago the topic ended there.
  Milliseconds m_Age{0};

  auto tie() const { return std::tie(m_End, m_Changed, m_Age); }
  friend bool operator==(const TopicProgress &A, const TopicProgress &B) {
    return A.tie() == B.tie();
  }
};

/// Keys that got another owner or another fence.
struct OwnerChange {
  uint32_t m_First = 0;
  uint32_t m_Last = 0;
  std::string m_Owner;
  int64_t m_Incarnation = 0;
  uint64_t m_Fence = 0;

  auto tie() const {
    return std::tie(m_First, m_Last, m_Owner, m_Incarnation, m_Fence);
  }
  friend bool operator==(const OwnerChange &A, const OwnerChange &B) {
    return A.tie() == B.tie();
  }
};

/// What one record of a pool's owners has changed. Saves the other hosts the
/// read of the record.
struct OwnersNews {
  std::string m_Pool;
  /// Offsets of the log before and after the record.
  uint64_t m_From = 0;
  uint64_t m_End = 0;
  uint64_t m_NextFence = 0;
  std::vector<OwnerChange> m_Changes;

  auto tie() const {
    return std::tie(m_Pool, m_From, m_End, m_NextFence, m_Changes);
  }
  friend bool operator==(const OwnersNews &A, const OwnersNews &B) {
    return A.tie() == B.tie();
  }
};

/// What a host that has held the lease of a pool tells its successor.
struct EndedTerm {
  uint64_t m_Term = 0;
  /// How much longer owners may hold keys by orders of that term or of those
  /// before it.
  Milliseconds m_HoldsLeft{0};

  friend bool operator==(const EndedTerm &A, const EndedTerm &B) {
    return std::tie(A.m_Term, A.m_HoldsLeft) ==
           std::tie(B.m_Term, B.m_HoldsLeft);
  }
};

/// What one entry host tells the others of its own work.
struct HostReport {
  std::string m_Host;
  /// Rises with each report of the host.
  uint64_t m_Sequence = 0;
  /// True for one that is sent between the regular ones and tells only what is
  /// read, recorded and over.
  bool m_Brief = false;
  /// Requests in flight by target; targets without any are left out.
  std::map<std::string, int> m_InFlight;
  /// Requests that wait for the owner of their key, by target.
  std::map<std::string, int> m_Waiting;
  /// Requests since the last report by pool and key.
  std::map<std::string, std::map<uint32_t, uint32_t>> m_KeyCounts;
  /// By topic.
  std::map<std::string, TopicProgress> m_Topics;
  /// Changes since the last report.
  std::vector<OwnersNews> m_News;
  /// The last terms of this host that are over, by pool.
  std::map<std::string, EndedTerm> m_EndedTerms;

  auto tie() const {
    return std::tie(m_Host, m_Sequence, m_Brief, m_InFlight, m_Waiting,
                    m_KeyCounts, m_Topics, m_News, m_EndedTerms);
  }
  friend bool operator==(const HostReport &A, const HostReport &B) {
    return A.tie() == B.tie();
  }
};

} // namespace monsoon

#endif
