#include "monsoonstand/commandline.h"

#include "program/exitcode.h"
#include "program/optionparser.h"

#include <cstdio>
#include <string_view>

namespace monsoon {

std::optional<CommandLine> parseCommandLine(int Count, const char **Arguments,
                                            int &ExitCode) {
  const OptionParser Parser(
      "monsoonstand", "--settings FILE | --gateway FILE | --check FILE",
      {{"settings", 's', "run with the settings in FILE", "FILE"},
       {"gateway", 'g', "run on a platform, with the settings in FILE", "FILE"},
       {"check", 'c', "check the settings in FILE and exit", "FILE"}});
  const auto Options = Parser.parse(Count, Arguments, ExitCode);
  if (!Options)
    return std::nullopt;
  CommandLine Result;
  int Modes = 0;
  for (const char *Name : {"settings", "gateway", "check"}) {
    const auto Value = Options->value(Name);
    if (!Value)
      continue;
    ++Modes;
    Result.m_SettingsPath = *Value;
    Result.m_IsGateway = Name == std::string_view("gateway");
    Result.m_IsCheckOnly = Name == std::string_view("check");
  }
  if (!Options->m_Arguments.empty() || Modes != 1) {
    std::fprintf(stderr, "monsoonstand: give one of --settings FILE, "
                         "--gateway FILE or --check FILE; see --help\n");
    ExitCode = ExitUsage;
    return std::nullopt;
  }
  return Result;
}

} // namespace monsoon
