#include "monsoonctl/commands.h"
#include "program/exitcode.h"
#include "program/optionparser.h"

int main(int Count, char **Arguments) {
  using namespace monsoon;
  const OptionParser Parser(
      "monsoonctl", CommandUsage,
      {{"config", 'c', "where log and entry hosts are (monsoonctl.json)",
        "FILE"},
       {"routes", 'r', "table of routes (routes.json)", "FILE"},
       {"pools", 'p', "table of pools (pools.json)", "FILE"},
       {"base", 'b', "version that the tables were edited from", "VERSION"},
       {"author", 'a', "name for the history", "NAME"},
       {"note", 'n', "what the change is for", "TEXT"}});
  int ExitCode = ExitOk;
  const auto Options =
      Parser.parse(Count, const_cast<const char **>(Arguments), ExitCode);
  if (!Options)
    return ExitCode;
  return runCommand(*Options);
}
