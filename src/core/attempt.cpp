#include "core/attempt.h"

#include "core/text.h"

namespace monsoon {

const std::string *findHeader(const HeaderFields &Fields,
                              std::string_view Name) {
  for (const HeaderField &Each : Fields)
    if (equalsIgnoreCase(Each.m_Name, Name))
      return &Each.m_Value;
  return nullptr;
}

AttemptResult AttemptResult::answered(TargetAnswer Answer) {
  AttemptResult Result;
  Result.m_Instance = Answer.m_Instance;
  Result.m_Answer = std::move(Answer);
  return Result;
}

AttemptResult AttemptResult::failed(ErrorKind Error) {
  AttemptResult Result;
  Result.m_Error = Error;
  return Result;
}

} // namespace monsoon
