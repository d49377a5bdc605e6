#include "soak/referee.h"

#include "absl/strings/str_cat.h"

namespace monsoon {

namespace {

constexpr const char *SignatureField = "X-Monsoonstand-Server-Signature";

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// Statuses that state that the request has not run and will not.
bool isRefusal(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

std::string Referee::bodyFor(const std::string &Id) {
  // Long enough to be cut, and different at every place.
  std::string Body;
  for (int Line = 0; Line < 20; ++Line)
    absl::StrAppend(&Body, Id, " line ", Line, "\n");
  return Body;
}

void Referee::noteSent(const std::string &Id, bool Idempotent) {
  m_Requests[Id].m_Idempotent = Idempotent;
}

void Referee::noteArrival(const std::string &Id) {
  ++m_Requests[Id].m_Arrivals;
}

void Referee::noteRun(const std::string &Id) {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end()) {
    violation(absl::StrCat("a server ran ", Id, ", which nobody sent"));
    return;
  }
  if (++Found->second.m_Runs > 1 && !Found->second.m_Idempotent)
    violation(absl::StrCat("order ", Id, " ran twice"));
}

void Referee::noteAnswer(const std::string &Id, const HttpResponse &Answer) {
  m_Requests[Id].m_Status = Answer.m_Status;
  if (isRefusal(Answer.m_Status))
    ++m_Refused;
  if (!isSuccess(Answer.m_Status))
    return;
  ++m_Succeeded;
  if (!Answer.m_Fields.find(SignatureField) || Answer.m_Body != bodyFor(Id))
    violation(absl::StrCat("the answer to ", Id, " is not its server's"));
}

void Referee::noteCut(const std::string &Id, bool Planned) {
  if (Planned && m_Requests[Id].m_Arrivals > 0)
    violation(absl::StrCat("a planned stop cut ", Id));
}

void Referee::violation(const std::string &What) {
  m_Violations.push_back(What);
}

void Referee::finish() {
  for (const auto &[Id, Each] : m_Requests)
    if (!Each.m_Idempotent && Each.m_Runs > 0 && isRefusal(Each.m_Status))
      violation(absl::StrCat("order ", Id, " was answered ", Each.m_Status,
                             " and has run"));
}

} // namespace monsoon
