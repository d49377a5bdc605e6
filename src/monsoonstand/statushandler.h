#ifndef MONSOON_MONSOONSTAND_STATUSHANDLER_H
#define MONSOON_MONSOONSTAND_STATUSHANDLER_H

#include "net/requesthandler.h"

#include <functional>
#include <string>

namespace monsoon {

/// Answers every request with a status and a text that are worked out when it
/// is asked; serves readiness and metrics.
class StatusHandler : public RequestHandler {
public:
  struct Status {
    int m_Code = 200;
    std::string m_Text;
  };
  using Source = std::function<Status()>;

  explicit StatusHandler(Source Value) : m_Source(std::move(Value)) {}

  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override;
  HttpResponse refuse(ErrorKind Kind, const std::string &Detail) override;
  RequestLimits limits() const override { return {}; }

private:
  Source m_Source;
};

} // namespace monsoon

#endif
