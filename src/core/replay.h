#ifndef MONSOON_CORE_REPLAY_H
#define MONSOON_CORE_REPLAY_H

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace monsoon {

/// The result of applying a record to a state.
enum class Verdict {
  /// The record changed the state.
  Accepted,
  /// The record is based on another version, comes from a decider of another
  /// term, or is not valid in the current state. The state did not change.
  Rejected,
  /// The record never changes the state: a snapshot or an unknown kind.
  Ignored
};

/// Rebuilds a state from a stream of the log, whose older records expire.
///
/// State must have `Verdict apply(const Record &)`; Record must have
/// `const SnapshotType *snapshot() const`, where a snapshot has `m_AsOf`, the
/// offset of the first record that it does not include, and `m_State`.
///
/// A snapshot is installed only if every record from m_AsOf on can still be
/// read. All readers of the same records then reach the same state, no matter
/// which host wrote the snapshot and how late.
template <typename State, typename Record> class Replay {
public:
  struct Entry {
    uint64_t m_Offset = 0;
    Record m_Record;
  };
  struct Applied {
    uint64_t m_Offset = 0;
    Record m_Record;
    Verdict m_Verdict = Verdict::Ignored;
  };

  const State &state() const { return m_State; }

  /// True if the state is known. False after records were missed, until a
  /// snapshot is installed.
  bool isComplete() const { return m_IsComplete; }

  /// Offset of the next record to read.
  uint64_t nextOffset() const { return m_NextOffset; }

  /// Offset of the first record that the newest usable snapshot does not
  /// include.
  std::optional<uint64_t> snapshotAsOf() const { return m_SnapshotAsOf; }

  /// Applies the records that were read from nextOffset() on. First is the
  /// oldest offset that the log still keeps. Returns the records that were
  /// applied, with their verdicts, in order.
  std::vector<Applied> take(uint64_t First, std::vector<Entry> Entries) {
    if (First > m_NextOffset)
      restartAt(First);
    std::vector<Applied> Result;
    for (Entry &Each : Entries) {
      if (Each.m_Offset < m_NextOffset)
        continue;
      m_NextOffset = Each.m_Offset + 1;
      noteSnapshot(Each.m_Record);
      if (m_IsComplete) {
        applyEntry(std::move(Each), Result);
        continue;
      }
      m_Buffered.push_back(std::move(Each));
      installSnapshotIfUsable(Result);
    }
    return Result;
  }

private:
  /// Discards the state because records expired before they were read. A
  /// snapshot is needed to continue.
  void restartAt(uint64_t First) {
    m_State = State();
    m_IsComplete = false;
    m_FirstOffset = First;
    m_NextOffset = First;
    m_Buffered.clear();
    m_SnapshotAsOf.reset();
  }

  void noteSnapshot(const Record &Each) {
    const auto *Snapshot = Each.snapshot();
    if (Snapshot && Snapshot->m_AsOf >= m_FirstOffset)
      m_SnapshotAsOf = Snapshot->m_AsOf;
  }

  void applyEntry(Entry Each, std::vector<Applied> &Result) {
    const Verdict Outcome = m_State.apply(Each.m_Record);
    Result.push_back({Each.m_Offset, std::move(Each.m_Record), Outcome});
  }

  void installSnapshotIfUsable(std::vector<Applied> &Result) {
    const auto *Snapshot = m_Buffered.back().m_Record.snapshot();
    if (!Snapshot || Snapshot->m_AsOf < m_FirstOffset)
      return;
    const uint64_t AsOf = Snapshot->m_AsOf;
    m_State = Snapshot->m_State;
    m_IsComplete = true;
    for (Entry &Each : m_Buffered)
      if (Each.m_Offset >= AsOf)
        applyEntry(std::move(Each), Result);
    m_Buffered.clear();
  }

  State m_State;
  /// Initially true, as a stream that is read from its first record needs no
  /// snapshot.
  bool m_IsComplete = true;
  uint64_t m_FirstOffset = 0;
  uint64_t m_NextOffset = 0;
  std::optional<uint64_t> m_SnapshotAsOf;
  /// Records read while the state is incomplete.
  std::vector<Entry> m_Buffered;
};

} // namespace monsoon

#endif
