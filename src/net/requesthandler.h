#ifndef MONSOON_NET_REQUESTHANDLER_H
#define MONSOON_NET_REQUESTHANDLER_H

#include "core/errorkind.h"
#include "core/httpmessage.h"
#include "core/routeindex.h"
#include "net/replychannel.h"

#include <memory>
#include <optional>

namespace monsoon {

/// A request that is not yet answered.
class PendingRequest {
public:
  virtual ~PendingRequest() = default;

  /// Called when the connection of the caller is closed. Ends the work for the
  /// request; the reply must not be called afterwards.
  virtual void cancel() = 0;

  /// True when the next request of the same connection may be started before
  /// this one is answered.
  virtual bool mayOverlap() const = 0;
};

/// Handles the requests that a CallerSession reads.
class RequestHandler {
public:
  using Reply = ReplyChannel;

  virtual ~RequestHandler() = default;

  /// Starts handling a request. Done is called at most once, possibly before
  /// this returns; in that case the result is null.
  virtual std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                                 Reply Done) = 0;

  /// Returns the response to a request that its header alone shows to be
  /// refused, or nothing. Called before the body of a request is read; Head has
  /// no body.
  virtual std::optional<HttpResponse>
  refuseByHeader(const HttpRequest & /*Head*/) {
    return std::nullopt;
  }

  /// Returns the error response to a request that the session cannot accept.
  /// Kind gives the reason, and Detail describes it in words.
  virtual HttpResponse refuse(ErrorKind Kind, const std::string &Detail) = 0;

  /// The limits that apply to the next request.
  virtual RequestLimits limits() const = 0;
};

} // namespace monsoon

#endif
