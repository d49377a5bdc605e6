#include "core/placement.h"

#include <algorithm>

namespace monsoon {

namespace {

/// Ranges move away from a server whose load exceeds the average by this
/// factor.
constexpr double ImbalanceTolerance = 1.15;

/// Plans one step; tracks the load of each server after the moves planned so
/// far.
class Planner {
public:
  Planner(const std::vector<RangeOwner> &Owners,
          const std::vector<double> &Weights,
          const std::vector<PlacementServer> &Servers,
          const PlacementLimits &Limits)
      : m_Owners(Owners), m_Weights(Weights), m_Limits(Limits),
        m_PlannedMovesLeft(Limits.m_PlannedMoves) {
    for (const PlacementServer &Each : Servers)
      m_Servers[Each.m_Name] = {&Each, 0.0, {}};
    for (size_t Index = 0; Index < Owners.size(); ++Index) {
      const auto It = m_Servers.find(Owners[Index].m_Server);
      if (It == m_Servers.end())
        continue;
      It->second.m_Load += weight(static_cast<RangeId>(Index));
      It->second.m_Ranges.push_back(static_cast<RangeId>(Index));
    }
  }

  PlacementMoves plan() {
    if (!leastLoaded())
      return {};
    assignOrphans();
    drainLeaving();
    balance();
    return std::move(m_Moves);
  }

private:
  struct ServerLoad {
    const PlacementServer *m_Server = nullptr;
    double m_Load = 0;
    std::vector<RangeId> m_Ranges;
  };

  double weight(RangeId Range) const {
    return Range < m_Weights.size() ? m_Weights[Range] : 1.0;
  }

  ServerLoad *leastLoaded() {
    ServerLoad *Best = nullptr;
    for (auto &[Name, Each] : m_Servers) {
      if (!Each.m_Server->m_Eligible)
        continue;
      if (!Best || Each.m_Load < Best->m_Load ||
          (Each.m_Load == Best->m_Load &&
           Each.m_Server->m_Name < Best->m_Server->m_Name))
        Best = &Each;
    }
    return Best;
  }

  ServerLoad *mostLoaded() {
    ServerLoad *Worst = nullptr;
    for (auto &[Name, Each] : m_Servers) {
      if (!Each.m_Server->m_Eligible || Each.m_Ranges.empty())
        continue;
      if (!Worst || Each.m_Load > Worst->m_Load ||
          (Each.m_Load == Worst->m_Load &&
           Each.m_Server->m_Name < Worst->m_Server->m_Name))
        Worst = &Each;
    }
    return Worst;
  }

  void move(RangeId Range, ServerLoad &To) {
    m_Moves[To.m_Server->m_Name].push_back(Range);
    To.m_Load += weight(Range);
  }

  void assignOrphans() {
    for (size_t Index = 0; Index < m_Owners.size(); ++Index) {
      const std::string &Owner = m_Owners[Index].m_Server;
      const auto It = m_Servers.find(Owner);
      const bool IsLost = It != m_Servers.end() && It->second.m_Server->m_Lost;
      if (Owner.empty() || (IsLost && m_Limits.m_MayMoveLost))
        move(static_cast<RangeId>(Index), *leastLoaded());
    }
  }

  void drainLeaving() {
    for (auto &[Name, Each] : m_Servers) {
      if (Each.m_Server->m_Eligible || Each.m_Server->m_Lost)
        continue;
      for (const RangeId Range : Each.m_Ranges) {
        if (m_PlannedMovesLeft == 0)
          return;
        --m_PlannedMovesLeft;
        move(Range, *leastLoaded());
      }
    }
  }

  void balance() {
    double Total = 0;
    int Eligible = 0;
    for (const auto &[Name, Each] : m_Servers) {
      if (!Each.m_Server->m_Eligible)
        continue;
      Total += Each.m_Load;
      ++Eligible;
    }
    const double Bound = Total / Eligible * ImbalanceTolerance;
    while (m_PlannedMovesLeft > 0) {
      ServerLoad *From = mostLoaded();
      ServerLoad *To = leastLoaded();
      if (!From || From == To || From->m_Load <= Bound)
        return;
      const double Gap = From->m_Load - To->m_Load;
      // The heaviest range whose move does not reverse the imbalance.
      auto Best = From->m_Ranges.end();
      for (auto It = From->m_Ranges.begin(); It != From->m_Ranges.end(); ++It)
        if (weight(*It) < Gap &&
            (Best == From->m_Ranges.end() || weight(*It) > weight(*Best)))
          Best = It;
      if (Best == From->m_Ranges.end())
        return;
      --m_PlannedMovesLeft;
      From->m_Load -= weight(*Best);
      move(*Best, *To);
      From->m_Ranges.erase(Best);
    }
  }

  const std::vector<RangeOwner> &m_Owners;
  const std::vector<double> &m_Weights;
  const PlacementLimits &m_Limits;
  int m_PlannedMovesLeft;
  // Ordered, so that the same input always gives the same moves.
  std::map<std::string, ServerLoad> m_Servers;
  PlacementMoves m_Moves;
};

} // namespace

PlacementMoves planMoves(const std::vector<RangeOwner> &Owners,
                         const std::vector<double> &Weights,
                         const std::vector<PlacementServer> &Servers,
                         const PlacementLimits &Limits) {
  return Planner(Owners, Weights, Servers, Limits).plan();
}

} // namespace monsoon
