#include "keyowner/rangeplanner.h"

#include <algorithm>
#include <optional>

namespace monsoon {

namespace {

/// Weight of the number of keys relative to that of their load, so that ranges
/// stay of similar width where the load is unknown.
constexpr double WidthFraction = 0.3;
/// Orphaned ranges are split into pieces of about this fraction of the average
/// load of a target.
constexpr double MaxOrphanPiece = 0.6;
/// A target without keys gets this fraction of the average load.
constexpr double NewTargetFraction = 0.5;
/// Limits of how many overloaded targets one plan relieves, so that a wrong
/// measurement moves few keys: one target in RelievedDivisor, but never fewer
/// than MinRelievedTargets.
constexpr size_t MinRelievedTargets = 4;
constexpr size_t RelievedDivisor = 4;
/// An overloaded target gives keys only to one whose relative load is at most
/// this fraction of its own.
constexpr double MaxReceiverLoadRatio = 0.6;

/// Computes the moves of one plan.
class PlanBuilder {
public:
  explicit PlanBuilder(const PlanInput &Input) : m_In(Input) {
    m_WidthWeight =
        WidthFraction * std::max(1.0, Input.m_Load->totalRate()) / KeyCount;
    for (const auto &[Id, Capacity] : Input.m_Capacity)
      m_Assigned[Id] = 0;
    for (const OwnedRange &Each : Input.m_Table->ranges()) {
      const auto Moving = Input.m_Moving.find(Each.m_Fence);
      if (Moving != Input.m_Moving.end())
        addLoad(Moving->second, weight(Each.m_Keys));
      else if (Input.m_Orphaned.count(Each.m_Fence) == 0)
        addLoad(Each.m_Owner, weight(Each.m_Keys));
      m_Total += weight(Each.m_Keys);
    }
  }

  std::vector<PlannedMove> run() {
    if (m_Assigned.empty())
      return {};
    assignOrphans();
    assignToNewTargets();
    if (!m_Moves.empty())
      return std::move(m_Moves);
    const size_t Most =
        std::max(MinRelievedTargets, m_Assigned.size() / RelievedDivisor);
    while (m_Moves.size() < Most && relieveOverloaded()) {
    }
    return std::move(m_Moves);
  }

private:
  double weight(const KeyRange &Keys) const {
    return m_In.m_Load->rateOf(Keys) + m_WidthWeight * Keys.width();
  }

  double keyWeight(uint32_t Key) const {
    return m_In.m_Load->rateOf(Key) + m_WidthWeight;
  }

  void addLoad(const std::string &Id, double Amount) {
    const auto It = m_Assigned.find(Id);
    if (It != m_Assigned.end())
      It->second += Amount;
  }

  /// Returns the load of a target per unit of capacity.
  double relativeLoad(const std::string &Id) const {
    return m_Assigned.at(Id) / std::max(0.01, m_In.m_Capacity.at(Id));
  }

  std::string leastLoaded() const {
    return std::min_element(m_Assigned.begin(), m_Assigned.end(),
                            [this](const auto &A, const auto &B) {
                              return relativeLoad(A.first) <
                                     relativeLoad(B.first);
                            })
        ->first;
  }

  double average() const {
    return m_Total / static_cast<double>(m_Assigned.size());
  }

  void move(const KeyRange &Keys, const std::string &From,
            const std::string &To) {
    m_Moves.push_back({Keys, From, To});
    addLoad(To, weight(Keys));
    if (m_In.m_Capacity.count(From) > 0)
      addLoad(From, -weight(Keys));
  }

  void assignOrphans() {
    for (const OwnedRange &Each : m_In.m_Table->ranges()) {
      if (m_In.m_Orphaned.count(Each.m_Fence) == 0 ||
          m_In.m_Moving.count(Each.m_Fence) > 0)
        continue;
      for (const KeyRange &Piece :
           split(Each.m_Keys, MaxOrphanPiece * average()))
        move(Piece, Each.m_Owner, leastLoaded());
    }
  }

  /// Splits a range into pieces of about the given weight.
  std::vector<KeyRange> split(const KeyRange &Keys, double Wanted) const {
    std::vector<KeyRange> Pieces;
    uint32_t First = Keys.m_First;
    double Sum = 0;
    for (uint32_t Key = Keys.m_First; Key < Keys.m_Last; ++Key) {
      Sum += keyWeight(Key);
      if (Sum < Wanted)
        continue;
      Pieces.push_back({First, Key});
      First = Key + 1;
      Sum = 0;
    }
    Pieces.push_back({First, Keys.m_Last});
    return Pieces;
  }

  /// Returns the left or right edge of a range that weighs at most Wanted,
  /// whichever has more weight per key; none if no such part exists.
  std::optional<KeyRange> edge(const KeyRange &Keys, double Wanted) const {
    double LeftSum = 0;
    uint32_t Left = Keys.m_First;
    while (Left < Keys.m_Last && LeftSum + keyWeight(Left) <= Wanted)
      LeftSum += keyWeight(Left++);
    double RightSum = 0;
    uint32_t Right = Keys.m_Last;
    while (Right > Keys.m_First && RightSum + keyWeight(Right) <= Wanted)
      RightSum += keyWeight(Right--);
    const uint32_t LeftWidth = Left - Keys.m_First;
    const uint32_t RightWidth = Keys.m_Last - Right;
    if (LeftWidth == 0 && RightWidth == 0)
      return std::nullopt;
    const bool TakeLeft =
        RightWidth == 0 ||
        (LeftWidth > 0 && LeftSum / LeftWidth >= RightSum / RightWidth);
    if (TakeLeft)
      return KeyRange{Keys.m_First, Left - 1};
    return KeyRange{Right + 1, Keys.m_Last};
  }

  /// Moves the heaviest edge among the ranges of a target. Returns false if
  /// there is none.
  bool moveEdge(const std::string &From, const std::string &To, double Wanted) {
    std::optional<KeyRange> Best;
    for (const OwnedRange &Each : m_In.m_Table->ranges()) {
      if (Each.m_Owner != From || m_In.m_Orphaned.count(Each.m_Fence) > 0 ||
          m_In.m_Moving.count(Each.m_Fence) > 0 || isPlanned(Each.m_Keys))
        continue;
      const auto Piece = edge(Each.m_Keys, Wanted);
      if (Piece && (!Best || weight(*Piece) > weight(*Best)))
        Best = Piece;
    }
    if (!Best)
      return false;
    move(*Best, From, To);
    return true;
  }

  bool isPlanned(const KeyRange &Keys) const {
    return std::any_of(m_Moves.begin(), m_Moves.end(),
                       [&Keys](const PlannedMove &Each) {
                         return Each.m_Keys.m_First <= Keys.m_Last &&
                                Each.m_Keys.m_Last >= Keys.m_First;
                       });
  }

  /// Returns the most loaded target that is not excluded; empty if there is
  /// none.
  std::string mostLoaded() const {
    std::string Most;
    for (const auto &[Id, Assigned] : m_Assigned)
      if (m_Excluded.count(Id) == 0 &&
          (Most.empty() || relativeLoad(Most) < relativeLoad(Id)))
        Most = Id;
    return Most;
  }

  void assignToNewTargets() {
    std::set<std::string> Owners;
    for (const OwnedRange &Each : m_In.m_Table->ranges())
      Owners.insert(Each.m_Owner);
    for (const auto &[Id, Assigned] : m_Assigned)
      if (Assigned <= 0 && Owners.count(Id) == 0)
        moveEdge(mostLoaded(), Id, NewTargetFraction * average());
  }

  /// Moves keys away from the most loaded target that can give any. Returns
  /// false if no move is worthwhile.
  bool relieveOverloaded() {
    while (true) {
      const std::string From = mostLoaded();
      const std::string To = leastLoaded();
      if (From.empty() || From == To)
        return false;
      const double High = relativeLoad(From);
      const double Low = relativeLoad(To);
      if (High < m_In.m_OverloadThreshold || Low > MaxReceiverLoadRatio * High)
        return false;
      // Half of the difference, so that both end at about the same relative
      // load.
      const double Capacity =
          std::min(m_In.m_Capacity.at(From), m_In.m_Capacity.at(To));
      // The owner of one hot key may have no edge light enough to move; other
      // targets may have one.
      if (!moveEdge(From, To, (High - Low) / 2 * Capacity)) {
        m_Excluded.insert(From);
        continue;
      }
      // The effect of the received keys is measured before the receiver gives
      // any away.
      m_Excluded.insert(To);
      return true;
    }
  }

  const PlanInput &m_In;
  double m_WidthWeight = 0;
  double m_Total = 0;
  std::map<std::string, double> m_Assigned;
  /// Targets that have no keys to give away, or receive some by this plan.
  std::set<std::string> m_Excluded;
  std::vector<PlannedMove> m_Moves;
};

} // namespace

std::vector<PlannedMove>
RangePlanner::initial(const std::map<std::string, double> &Capacity) {
  std::vector<PlannedMove> Moves;
  if (Capacity.empty())
    return Moves;
  const auto Count = static_cast<uint32_t>(Capacity.size());
  uint32_t Index = 0;
  for (const auto &[Id, Value] : Capacity) {
    const uint32_t First = KeyCount / Count * Index;
    ++Index;
    const uint32_t Last =
        Index == Count ? KeyCount - 1 : KeyCount / Count * Index - 1;
    Moves.push_back({{First, Last}, "", Id});
  }
  return Moves;
}

std::vector<PlannedMove> RangePlanner::plan(const PlanInput &Input) {
  return PlanBuilder(Input).run();
}

} // namespace monsoon
