#include "support/repeatcount.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr Milliseconds Step{50};

/// Number of times after From, up to To.
int countIn(const std::vector<TimePoint> &Sorted, TimePoint From,
            TimePoint To) {
  return static_cast<int>(std::upper_bound(Sorted.begin(), Sorted.end(), To) -
                          std::upper_bound(Sorted.begin(), Sorted.end(), From));
}

} // namespace

RepeatCount::Worst RepeatCount::worst(const RetryAllowance &Allowance,
                                      TimePoint From) const {
  std::vector<TimePoint> Requests = m_Requests;
  std::vector<TimePoint> Repeats = m_Repeats;
  std::sort(Requests.begin(), Requests.end());
  std::sort(Repeats.begin(), Repeats.end());
  Worst Result;
  if (Repeats.empty())
    return Result;
  const Duration Window = Allowance.m_Window;
  const Duration Half = Window / 2;
  for (TimePoint Start = std::max(From, Repeats.front() - Window);
       Start <= Repeats.back(); Start += Step) {
    const int Most = std::max({countIn(Requests, Start, Start + Window),
                               countIn(Requests, Start - Window, Start),
                               countIn(Requests, Start - Half, Start + Half)});
    Worst Each;
    Each.m_From = Start;
    Each.m_Repeats = countIn(Repeats, Start, Start + Window);
    Each.m_Allowed = Allowance.m_Ratio * Most + Allowance.m_Slack;
    if (Each.used() > Result.used())
      Result = Each;
  }
  return Result;
}

} // namespace monsoon
