#ifndef MONSOON_HTTP_HTTPHOSTLIST_H
#define MONSOON_HTTP_HTTPHOSTLIST_H

#include "http/jsoncall.h"
#include "ports/hostlist.h"

namespace monsoon {

/// The platform's host list over HTTP: `GET /hosts`.
class HttpHostList : public HostList {
public:
  explicit HttpHostList(const Endpoint &Address);

  Outcome<std::set<std::string>> leaving() override;

private:
  JsonCall m_Call;
};

} // namespace monsoon

#endif
