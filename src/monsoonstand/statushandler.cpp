#include "monsoonstand/statushandler.h"

namespace monsoon {

namespace {

HttpResponse textResponse(int Status, std::string Text) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Fields.add("Content-Type", "text/plain");
  Response.m_Body = std::move(Text);
  return Response;
}

} // namespace

std::shared_ptr<PendingRequest> StatusHandler::handle(HttpRequest /*Request*/,
                                                      Reply Done) {
  Status Current = m_StatusSource();
  Done(textResponse(Current.m_Code, std::move(Current.m_Text)));
  return nullptr;
}

HttpResponse StatusHandler::refuse(ErrorKind Kind, const std::string &Detail) {
  return textResponse(errorRule(Kind).m_Status, Detail + "\n");
}

} // namespace monsoon
