#ifndef MONSOON_CORE_ELECTORPROMISE_H
#define MONSOON_CORE_ELECTORPROMISE_H

#include "core/ownershipmessages.h"

namespace monsoon {

/// The promise that one host gives as an elector: to follow a single decider
/// for a limited time, and none whose term is lower than the highest that the
/// host has seen. A decider acts only while promises of a majority of the
/// electors are in force. Two deciders therefore never act at the same time,
/// even if one of them has not read the newest records of the log.
class ElectorPromise {
public:
  /// Lifetime is how long a promise is in force.
  explicit ElectorPromise(Milliseconds Lifetime) : m_Lifetime(Lifetime) {}

  /// Promises to follow the decider until Now plus the lifetime. Returns false,
  /// without a promise, if the term is outdated or another decider holds an
  /// unexpired promise.
  bool promise(const HostId &Decider, Term Number, TimePoint Now);

  /// True if no other host holds an unexpired promise. Does not check the term.
  bool canPromise(const HostId &Candidate, TimePoint Now) const;

  /// Ends the promise early because the decider gave it back. Without effect if
  /// the promise was given to another host.
  void release(const HostId &Decider, TimePoint Now);

  /// Highest term that this host has seen.
  Term term() const { return m_Term; }
  /// Records a term without a promise.
  void observeTerm(Term Number);

private:
  const Milliseconds m_Lifetime;
  Term m_Term = 0;
  HostId m_PromisedTo;
  TimePoint m_PromisedUntil;
};

} // namespace monsoon

#endif
