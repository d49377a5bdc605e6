#ifndef MONSOON_HTTP_HTTPLOG_H
#define MONSOON_HTTP_HTTPLOG_H

#include "http/jsoncall.h"
#include "ports/logservice.h"

namespace monsoon {

/// The platform's log service over HTTP: `POST /append` and `GET /read`.
class HttpLog : public LogService {
public:
  explicit HttpLog(const Endpoint &Address);

  Outcome<LogOffset> append(const std::string &Stream,
                            const std::string &Data) override;
  Outcome<LogPage> read(const std::string &Stream, LogOffset From) override;

private:
  JsonCall m_Call;
};

} // namespace monsoon

#endif
