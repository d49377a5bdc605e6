#ifndef MONSOON_CORE_OWNERSHIPLOG_H
#define MONSOON_CORE_OWNERSHIPLOG_H

#include "core/configlog.h"
#include "core/keyspace.h"
#include "core/replay.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace monsoon {

/// Number of a decider's term; it increases with every accepted claim.
using Term = uint64_t;

/// Number of accepted records of a group. It also serves as the fencing token
/// of an assignment: a later assignment always has a higher one.
using GroupVersion = uint64_t;

/// Identifies one incarnation of a host: the host's name and a part that
/// changes with each restart. A restarted host has lost its promises, so it
/// must not count as the elector that gave them.
using HostId = std::string;

/// The owner of a range.
struct RangeOwner {
  /// Name of the target; empty when the range has no owner yet.
  std::string m_Server;
  GroupVersion m_Fence = 0;
  /// The previous owner, which may not have released the range yet.
  std::string m_Former;

  auto tie() const { return std::tie(m_Server, m_Fence, m_Former); }
  friend bool operator==(const RangeOwner &A, const RangeOwner &B) {
    return A.tie() == B.tie();
  }
};

/// A host claims the next term of the group.
struct ClaimRecord {
  std::string m_Id;
  GroupVersion m_Base = 0;
  HostId m_Host;
  /// True if no majority of the electors could be reached.
  bool m_Cold = false;
};

/// The decider assigns ranges to servers.
struct AssignRecord {
  std::string m_Id;
  GroupVersion m_Base = 0;
  Term m_Term = 0;
  /// Number of ranges that the key space is divided into.
  uint32_t m_RangeCount = 0;
  std::map<std::string, std::vector<RangeId>> m_Moves;
};

/// The decider changes the set of electors, by one host at a time.
struct ElectorsRecord {
  std::string m_Id;
  GroupVersion m_Base = 0;
  Term m_Term = 0;
  std::vector<HostId> m_Electors;
};

/// A host permanently gives up its vote, as part of a planned stop.
struct ResignRecord {
  HostId m_Host;
};

/// A host announces a cold claim: a claim without a majority of the electors.
struct ColdNoticeRecord {
  GroupVersion m_Base = 0;
  HostId m_Host;
};

/// The current decider objects to an announced cold claim.
struct ColdObjectionRecord {
  GroupVersion m_Base = 0;
  Term m_Term = 0;
};

/// An operator confirms that the hosts of the previous term are gone.
struct ColdConfirmRecord {
  std::string m_Author;
};

struct OwnershipRecord;

/// The state of one group of ranges. All readers that apply the same records of
/// the log reach the same state.
class GroupState {
public:
  Term term() const { return m_Term; }
  GroupVersion version() const { return m_Version; }
  /// The decider of the current term.
  const HostId &holder() const { return m_Holder; }
  const std::vector<HostId> &electors() const { return m_Electors; }
  const std::vector<RangeOwner> &owners() const { return m_Owners; }
  /// True from a cold claim until an operator confirms it. Meanwhile ranges of
  /// unreachable servers must not move.
  bool isCold() const { return m_Cold; }
  /// The host that announced a cold claim; empty if there is none.
  const HostId &coldNotice() const { return m_ColdNotice; }

  bool isElector(const HostId &Host) const;
  /// Number of votes that form a majority of the electors.
  size_t majority() const { return m_Electors.size() / 2 + 1; }

  /// Applies the next record of the log. Returns whether it was accepted.
  Verdict apply(const OwnershipRecord &Record);

  auto tie() const {
    return std::tie(m_Term, m_Version, m_Holder, m_Electors, m_Owners, m_Cold,
                    m_ColdNotice);
  }
  friend bool operator==(const GroupState &A, const GroupState &B) {
    return A.tie() == B.tie();
  }

private:
  friend class GroupStateBuilder;

  Verdict apply(const ClaimRecord &Record);
  Verdict apply(const AssignRecord &Record);
  Verdict apply(const ElectorsRecord &Record);
  Verdict apply(const ResignRecord &Record);
  Verdict apply(const ColdNoticeRecord &Record);
  Verdict apply(const ColdObjectionRecord &Record);
  Verdict apply(const ColdConfirmRecord &Record);
  template <typename Other> Verdict apply(const Other &) {
    return Verdict::Ignored;
  }

  Term m_Term = 0;
  GroupVersion m_Version = 0;
  HostId m_Holder;
  std::vector<HostId> m_Electors;
  std::vector<RangeOwner> m_Owners;
  bool m_Cold = false;
  HostId m_ColdNotice;
};

/// Builds a GroupState from a snapshot.
class GroupStateBuilder {
public:
  GroupStateBuilder &term(Term Value, HostId Holder);
  GroupStateBuilder &version(GroupVersion Value);
  GroupStateBuilder &electors(std::vector<HostId> Value);
  GroupStateBuilder &owners(std::vector<RangeOwner> Value);
  GroupStateBuilder &cold(bool Value, HostId Notice);
  GroupState build() const { return m_State; }

private:
  GroupState m_State;
};

/// The state as of an offset. Records before the offset may expire.
struct GroupSnapshot {
  uint64_t m_AsOf = 0;
  GroupState m_State;
};

/// One record of a group's stream in the log.
struct OwnershipRecord {
  std::variant<UnknownRecord, ClaimRecord, AssignRecord, ElectorsRecord,
               ResignRecord, ColdNoticeRecord, ColdObjectionRecord,
               ColdConfirmRecord, GroupSnapshot>
      m_Body;

  const GroupSnapshot *snapshot() const {
    return std::get_if<GroupSnapshot>(&m_Body);
  }
};

using GroupReplay = Replay<GroupState, OwnershipRecord>;

} // namespace monsoon

#endif
