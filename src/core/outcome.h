#ifndef MONSOON_CORE_OUTCOME_H
#define MONSOON_CORE_OUTCOME_H

#include "core/errorkind.h"

#include <boost/outcome.hpp>

#include <string>

namespace monsoon {

/// An error kind and a message that names the item at fault.
struct Failure {
  ErrorKind m_Kind = ErrorKind::Internal;
  std::string m_Message;

  friend bool operator==(const Failure &A, const Failure &B) {
    return A.m_Kind == B.m_Kind && A.m_Message == B.m_Message;
  }
};

/// A value or a Failure.
template <typename T>
using Outcome = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Failure>;

} // namespace monsoon

#endif
