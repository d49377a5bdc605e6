#include "core/electorpromise.h"

#include <algorithm>

namespace monsoon {

bool ElectorPromise::promise(const HostId &Decider, Term Number,
                             TimePoint Now) {
  if (Number < m_Term)
    return false;
  m_Term = Number;
  if (!canPromise(Decider, Now))
    return false;
  m_PromisedTo = Decider;
  m_PromisedUntil = Now + m_Lifetime;
  return true;
}

bool ElectorPromise::canPromise(const HostId &Candidate, TimePoint Now) const {
  return m_PromisedTo == Candidate || Now >= m_PromisedUntil;
}

void ElectorPromise::release(const HostId &Decider, TimePoint Now) {
  if (m_PromisedTo == Decider)
    m_PromisedUntil = std::min(m_PromisedUntil, Now);
}

void ElectorPromise::observeTerm(Term Number) {
  m_Term = std::max(m_Term, Number);
}

} // namespace monsoon
