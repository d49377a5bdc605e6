#ifndef MONSOON_CUSTOMER_CUSTOMER_H
#define MONSOON_CUSTOMER_CUSTOMER_H

#include "customer/allowance.h"

#include <optional>
#include <string>
#include <tuple>

namespace monsoon {

/// A customer in a published configuration, without its keys.
struct Customer {
  /// Unique; targets are given it with each request.
  std::string m_Name;
  /// Priority of its requests, 0 is the highest; that of the route if unset.
  std::optional<int> m_Priority;
  Allowance m_Allowance;

  auto tie() const { return std::tie(m_Name, m_Priority, m_Allowance); }
  friend bool operator==(const Customer &A, const Customer &B) {
    return A.tie() == B.tie();
  }
  friend bool operator!=(const Customer &A, const Customer &B) {
    return !(A == B);
  }
};

} // namespace monsoon

#endif
