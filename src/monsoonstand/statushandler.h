#ifndef MONSOON_MONSOONSTAND_STATUSHANDLER_H
#define MONSOON_MONSOONSTAND_STATUSHANDLER_H

#include "net/requesthandler.h"

#include <functional>
#include <string>

namespace monsoon {

/// Answers every request with a status code and a text that are computed for
/// each request. Used for the readiness and metrics ports.
class StatusHandler : public RequestHandler {
public:
  struct Status {
    int m_Code = 200;
    std::string m_Text;
  };
  using StatusSource = std::function<Status()>;

  explicit StatusHandler(StatusSource Provider)
      : m_StatusSource(std::move(Provider)) {}

  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override;
  HttpResponse refuse(ErrorKind Kind, const std::string &Detail) override;
  RequestLimits limits() const override { return {}; }

private:
  StatusSource m_StatusSource;
};

} // namespace monsoon

#endif
