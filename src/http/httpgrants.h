#ifndef MONSOON_HTTP_HTTPGRANTS_H
#define MONSOON_HTTP_HTTPGRANTS_H

#include "http/jsoncall.h"
#include "ports/grantservice.h"

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <memory>
#include <string>

namespace monsoon {

/// Gives grants to servers over HTTP: `POST /grants` on a server's own
/// address.
class HttpGrants : public GrantService {
public:
  Outcome<GrantReply> grant(const Target &Server,
                            const GrantOrder &Order) override;

private:
  JsonCall &callFor(const Target &Server);

  absl::Mutex m_Mutex;
  absl::flat_hash_map<std::string, std::unique_ptr<JsonCall>>
      m_Calls ABSL_GUARDED_BY(m_Mutex);
};

} // namespace monsoon

#endif
