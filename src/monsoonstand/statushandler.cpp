#include "monsoonstand/statushandler.h"

namespace monsoon {

namespace {

HttpResponse textAnswer(int Status, std::string Text) {
  HttpResponse Answer;
  Answer.m_Status = Status;
  Answer.m_Fields.add("Content-Type", "text/plain");
  Answer.m_Body = std::move(Text);
  return Answer;
}

} // namespace

std::shared_ptr<PendingRequest> StatusHandler::handle(HttpRequest /*Request*/,
                                                      Reply Done) {
  Status Now = m_Source();
  Done(textAnswer(Now.m_Code, std::move(Now.m_Text)));
  return nullptr;
}

HttpResponse StatusHandler::refuse(ErrorKind Kind, const std::string &Detail) {
  return textAnswer(errorRule(Kind).m_Status, Detail + "\n");
}

} // namespace monsoon
