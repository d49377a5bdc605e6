#ifndef MONSOON_NET_REQUESTHANDLER_H
#define MONSOON_NET_REQUESTHANDLER_H

#include "core/errorkind.h"
#include "core/httpmessage.h"
#include "core/routeindex.h"

#include <functional>
#include <memory>

namespace monsoon {

/// A request that waits for its answer.
class PendingRequest {
public:
  virtual ~PendingRequest() = default;

  /// The caller is gone: work for it ends, and no answer is given.
  virtual void cancel() = 0;

  /// True when the caller's next request may be handled before this one is
  /// answered.
  virtual bool mayOverlap() const = 0;
};

/// Answers the requests that a session reads.
class RequestHandler {
public:
  using Reply = std::function<void(HttpResponse)>;

  virtual ~RequestHandler() = default;

  /// Starts a request. The reply is called at most once and possibly before
  /// this returns; nothing is returned then.
  virtual std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                                 Reply Done) = 0;

  /// The answer to a request that can't be accepted; the kind says why.
  virtual HttpResponse refuse(ErrorKind Kind, const std::string &Detail) = 0;

  virtual RequestLimits limits() const = 0;
};

} // namespace monsoon

#endif
