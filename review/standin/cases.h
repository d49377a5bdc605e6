#ifndef REVIEW_CASES_H
#define REVIEW_CASES_H

#include "world.h"

namespace review {

/// A server answers before it has read a long body and reads on later.
int runEarlyAnswer(const Setup &Given);
/// A server sends a second copy of a rejection, late.
int runRejectionCopy(const Setup &Given);
/// A server sends a second copy of its answer to a grant, late.
int runGrantCopy(const Setup &Given);
/// A config without a sharded service that the one before had.
int runPoolRemoval(const Setup &Given);

} // namespace review

#endif
