#include "core/sharehistory.h"

#include <algorithm>

namespace monsoon {

namespace {

/// Changes that are kept. A window that reaches beyond them gets no share.
constexpr size_t MaxEntries = 512;

} // namespace

void ShareHistory::note(TimePoint Now, double Fraction) {
  if (!m_Entries.empty() && m_Entries.back().m_Fraction == Fraction)
    return;
  m_Entries.push_back({Now, Fraction});
  if (m_Entries.size() > MaxEntries)
    m_Entries.pop_front();
}

double ShareHistory::smallest(TimePoint From) const {
  if (m_Entries.empty() || m_Entries.front().m_From > From)
    return 0;
  double Result = 1;
  for (auto It = m_Entries.rbegin(); It != m_Entries.rend(); ++It) {
    Result = std::min(Result, It->m_Fraction);
    if (It->m_From <= From)
      break;
  }
  return Result;
}

} // namespace monsoon
