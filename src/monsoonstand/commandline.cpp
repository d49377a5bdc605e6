#include "monsoonstand/commandline.h"

#include "program/exitcode.h"
#include "program/optionparser.h"

#include <cstdio>
#include <string_view>

namespace monsoon {

std::optional<CommandLine> parseCommandLine(int Count, const char **Arguments,
                                            int &Exit) {
  const OptionParser Parser(
      "monsoonstand", "--settings FILE | --gateway FILE | --check FILE",
      {{"settings", 's', "run with the settings in FILE", "FILE"},
       {"gateway", 'g', "run on a platform, with the settings in FILE", "FILE"},
       {"check", 'c', "check the settings in FILE and exit", "FILE"}});
  const auto Given = Parser.parse(Count, Arguments, Exit);
  if (!Given)
    return std::nullopt;
  CommandLine Result;
  int Choices = 0;
  for (const char *Name : {"settings", "gateway", "check"}) {
    const auto Value = Given->value(Name);
    if (!Value)
      continue;
    ++Choices;
    Result.m_SettingsPath = *Value;
    Result.m_Gateway = Name == std::string_view("gateway");
    Result.m_CheckOnly = Name == std::string_view("check");
  }
  if (!Given->m_Arguments.empty() || Choices != 1) {
    std::fprintf(stderr, "monsoonstand: give one of --settings FILE, "
                         "--gateway FILE or --check FILE; see --help\n");
    Exit = ExitUsage;
    return std::nullopt;
  }
  return Result;
}

} // namespace monsoon
