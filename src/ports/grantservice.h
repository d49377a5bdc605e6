#ifndef MONSOON_PORTS_GRANTSERVICE_H
#define MONSOON_PORTS_GRANTSERVICE_H

#include "core/outcome.h"
#include "core/ownershipmessages.h"
#include "core/tables.h"

namespace monsoon {

/// Sends grants to servers that own keys and waits for their replies.
class GrantService {
public:
  virtual ~GrantService() = default;
  virtual Outcome<GrantReply> grant(const Target &Server,
                                    const GrantOrder &Order) = 0;
};

} // namespace monsoon

#endif
