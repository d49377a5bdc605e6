#ifndef MONSOON_CUSTOMER_ALLOWANCE_H
#define MONSOON_CUSTOMER_ALLOWANCE_H

#include <tuple>

namespace monsoon {

/// How many requests of a customer all entry hosts together may pass on.
struct Allowance {
  /// Requests per second in the long run; 0 for no limit.
  double m_PerSecond = 0;
  /// Requests that may be passed on at once in addition to that.
  double m_Burst = 0;

  /// False if the customer may send any number of requests.
  bool isLimited() const;

  auto tie() const { return std::tie(m_PerSecond, m_Burst); }
  friend bool operator==(const Allowance &A, const Allowance &B) {
    return A.tie() == B.tie();
  }
  friend bool operator!=(const Allowance &A, const Allowance &B) {
    return !(A == B);
  }
};

} // namespace monsoon

#endif
