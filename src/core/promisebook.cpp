#include "core/promisebook.h"

#include <algorithm>

namespace monsoon {

bool PromiseBook::promise(const HostId &Decider, Term Number, TimePoint Now) {
  if (Number < m_Term)
    return false;
  m_Term = Number;
  if (!canPromise(Decider, Now))
    return false;
  m_PromisedTo = Decider;
  m_PromisedUntil = Now + m_Lifetime;
  return true;
}

bool PromiseBook::canPromise(const HostId &Candidate, TimePoint Now) const {
  return m_PromisedTo == Candidate || Now >= m_PromisedUntil;
}

void PromiseBook::release(const HostId &Decider, TimePoint Now) {
  if (m_PromisedTo == Decider)
    m_PromisedUntil = std::min(m_PromisedUntil, Now);
}

void PromiseBook::observeTerm(Term Number) {
  m_Term = std::max(m_Term, Number);
}

} // namespace monsoon
