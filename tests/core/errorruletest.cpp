#include "core/errorkind.h"

#include <doctest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace monsoon;

namespace {

/// The row that docs/ERRORS.md must contain for an error kind.
std::string documentedRow(const ErrorRule &Rule) {
  std::ostringstream Row;
  Row << "| `" << Rule.m_Name << "` | " << Rule.m_Status << " | "
      << runStateName(Rule.m_Ran) << " | " << (Rule.m_MayResend ? "yes" : "no")
      << " | "
      << (Rule.m_RetryAfter.count() > 0
              ? std::to_string(Rule.m_RetryAfter.count()) + " s"
              : "-")
      << " | " << Rule.m_Meaning << " |";
  return Row.str();
}

} // namespace

TEST_CASE("rules are in the order of the error kinds") {
  for (size_t Index = 0; Index < errorRules().size(); ++Index)
    CHECK(static_cast<size_t>(errorRules()[Index].m_Kind) == Index);
}

TEST_CASE("names of error kinds are unique") {
  std::set<std::string_view> Names;
  for (const ErrorRule &Each : errorRules())
    CHECK(Names.insert(Each.m_Name).second);
}

TEST_CASE("docs/ERRORS.md agrees with the rules") {
  std::ifstream File(std::string(MONSOON_DOCS) + "/ERRORS.md");
  REQUIRE(File);
  std::ostringstream Text;
  Text << File.rdbuf();
  for (const ErrorRule &Each : errorRules())
    CHECK_MESSAGE(Text.str().find(documentedRow(Each)) != std::string::npos,
                  documentedRow(Each));
}

TEST_SUITE("not-run") {
  TEST_CASE("only a request that did not run may be resent") {
    for (const ErrorRule &Each : errorRules())
      if (Each.m_Kind != ErrorKind::LogUnavailable && Each.m_MayResend)
        CHECK_MESSAGE(Each.m_Ran == RunState::No, Each.m_Name);
  }
}
