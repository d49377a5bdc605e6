#include "http/httpgrants.h"

#include "codec/messagecodec.h"

#include "absl/strings/str_cat.h"

namespace monsoon {

namespace {

constexpr Milliseconds Timeout{300};

} // namespace

JsonCall &HttpGrants::callFor(const Target &Server) {
  const std::string Address = absl::StrCat(Server.m_Host, ":", Server.m_Port);
  const absl::MutexLock Lock(&m_Mutex);
  auto &Call = m_Calls[Address];
  if (!Call)
    Call = std::make_unique<JsonCall>(Endpoint{Server.m_Host, Server.m_Port},
                                      Timeout);
  return *Call;
}

Outcome<GrantReply> HttpGrants::grant(const Target &Server,
                                      const GrantOrder &Order) {
  const auto Answer = callFor(Server).post("/grants", encodeMessage(Order));
  if (!Answer)
    return Answer.error();
  if (Answer.value().m_Status != 200)
    return Failure{ErrorKind::TargetRefused,
                   absl::StrCat("server \"", Server.m_Name,
                                "\": grant answered with status ",
                                Answer.value().m_Status)};
  return decodeGrantReply(Answer.value().m_Body);
}

} // namespace monsoon
