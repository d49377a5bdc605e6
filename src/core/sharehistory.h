#ifndef MONSOON_CORE_SHAREHISTORY_H
#define MONSOON_CORE_SHAREHISTORY_H

#include "core/timepoint.h"

#include <deque>

namespace monsoon {

/// The part that this host had of a limit shared by all hosts, over time.
///
/// Invariant: smallest() is never above what any host has counted on during the
/// window. A limit on a window can only be divided by parts that held for all
/// of it: a host that starts, or that the others had counted out, may otherwise
/// spend what they have spent already.
class ShareHistory {
public:
  /// Notes that the part is Fraction (0 to 1) from Now on.
  void note(TimePoint Now, double Fraction);

  /// Returns the smallest part since From; 0 if it is not known for all of that
  /// time.
  double smallest(TimePoint From) const;

private:
  struct Entry {
    TimePoint m_From{};
    double m_Fraction = 0;
  };
  std::deque<Entry> m_Entries;
};

} // namespace monsoon

#endif
