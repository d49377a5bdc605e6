#include "keyowner/rangeplanner.h"

#include <algorithm>
#include <optional>

namespace monsoon {

namespace {

/// Part of a target's weight that comes from the number of its keys, so that
/// ranges stay of similar size where the load is unknown.
constexpr double WidthPart = 0.3;
/// A piece of an orphaned range carries at most this part of an average load.
constexpr double OrphanPiece = 0.6;
/// A newcomer starts with this part of an average load.
constexpr double NewcomerPart = 0.5;
/// Crowded targets that are relieved by one plan: at least so many, and at most
/// this part of all targets, so that a wrong measurement moves few keys.
constexpr size_t LeastRelieved = 4;
constexpr size_t RelievedPart = 4;
/// A crowded target gives keys away only to one with less than this part of
/// its load.
constexpr double WorthMoving = 0.6;

/// The state of one plan.
class Plan {
public:
  explicit Plan(const PlanInput &Input) : m_In(Input) {
    m_WidthWeight = WidthPart * std::max(1.0, Input.m_Load->total()) / KeyCount;
    for (const auto &[Id, Capacity] : Input.m_Capacity)
      m_Assigned[Id] = 0;
    for (const OwnedRange &Each : Input.m_Table->ranges()) {
      const auto Moving = Input.m_Moving.find(Each.m_Fence);
      if (Moving != Input.m_Moving.end())
        credit(Moving->second, weight(Each.m_Keys));
      else if (Input.m_Orphaned.count(Each.m_Fence) == 0)
        credit(Each.m_Owner, weight(Each.m_Keys));
      m_Total += weight(Each.m_Keys);
    }
  }

  std::vector<PlannedMove> run() {
    if (m_Assigned.empty())
      return {};
    placeOrphans();
    feedNewcomers();
    if (!m_Moves.empty())
      return std::move(m_Moves);
    const size_t Most =
        std::max(LeastRelieved, m_Assigned.size() / RelievedPart);
    while (m_Moves.size() < Most && relieveCrowded()) {
    }
    return std::move(m_Moves);
  }

private:
  double weight(const KeyRange &Keys) const {
    return m_In.m_Load->of(Keys) + m_WidthWeight * Keys.width();
  }

  double keyWeight(uint32_t Key) const {
    return m_In.m_Load->of(Key) + m_WidthWeight;
  }

  void credit(const std::string &Id, double Amount) {
    const auto It = m_Assigned.find(Id);
    if (It != m_Assigned.end())
      It->second += Amount;
  }

  /// Load per capacity.
  double pressure(const std::string &Id) const {
    return m_Assigned.at(Id) / std::max(0.01, m_In.m_Capacity.at(Id));
  }

  std::string leastPressed() const {
    return std::min_element(m_Assigned.begin(), m_Assigned.end(),
                            [this](const auto &A, const auto &B) {
                              return pressure(A.first) < pressure(B.first);
                            })
        ->first;
  }

  double average() const {
    return m_Total / static_cast<double>(m_Assigned.size());
  }

  void move(const KeyRange &Keys, const std::string &From,
            const std::string &To) {
    m_Moves.push_back({Keys, From, To});
    credit(To, weight(Keys));
    if (m_In.m_Capacity.count(From) > 0)
      credit(From, -weight(Keys));
  }

  void placeOrphans() {
    for (const OwnedRange &Each : m_In.m_Table->ranges()) {
      if (m_In.m_Orphaned.count(Each.m_Fence) == 0 ||
          m_In.m_Moving.count(Each.m_Fence) > 0)
        continue;
      for (const KeyRange &Piece : cut(Each.m_Keys, OrphanPiece * average()))
        move(Piece, Each.m_Owner, leastPressed());
    }
  }

  /// Cuts a range into pieces of about the given weight.
  std::vector<KeyRange> cut(const KeyRange &Keys, double Wanted) const {
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

  /// The edge of a range that weighs at most Wanted, from the left or from the
  /// right, whichever has fewer keys for its weight.
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

  /// Moves an edge of the heaviest range of a target.
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

  /// Empty when none is left that could give keys away.
  std::string mostPressed() const {
    std::string Most;
    for (const auto &[Id, Assigned] : m_Assigned)
      if (m_Unrelievable.count(Id) == 0 &&
          (Most.empty() || pressure(Most) < pressure(Id)))
        Most = Id;
    return Most;
  }

  void feedNewcomers() {
    std::set<std::string> Owners;
    for (const OwnedRange &Each : m_In.m_Table->ranges())
      Owners.insert(Each.m_Owner);
    for (const auto &[Id, Assigned] : m_Assigned)
      if (Assigned <= 0 && Owners.count(Id) == 0)
        moveEdge(mostPressed(), Id, NewcomerPart * average());
  }

  /// Takes keys from the most crowded target that has any to give; false when
  /// nobody has.
  bool relieveCrowded() {
    while (true) {
      const std::string From = mostPressed();
      const std::string To = leastPressed();
      if (From.empty() || From == To)
        return false;
      const double High = pressure(From);
      const double Low = pressure(To);
      if (High < m_In.m_CrowdedLoad || Low > WorthMoving * High)
        return false;
      // Half of the difference, so that both end at about the same pressure.
      const double Capacity =
          std::min(m_In.m_Capacity.at(From), m_In.m_Capacity.at(To));
      // The owner of one hot key has nothing to give; others may have.
      if (!moveEdge(From, To, (High - Low) / 2 * Capacity)) {
        m_Unrelievable.insert(From);
        continue;
      }
      // What comes in is seen before anything goes on.
      m_Unrelievable.insert(To);
      return true;
    }
  }

  const PlanInput &m_In;
  double m_WidthWeight = 0;
  double m_Total = 0;
  std::map<std::string, double> m_Assigned;
  /// Targets that have no keys to give away, or get some by this plan.
  std::set<std::string> m_Unrelievable;
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
  return Plan(Input).run();
}

} // namespace monsoon
