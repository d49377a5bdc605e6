#include "program/exitcode.h"
#include "program/optionparser.h"
#include "soak/soak.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>

using namespace monsoon;

namespace {

uint64_t numberOr(const ParsedOptions &Options, const char *Name,
                  uint64_t Default) {
  uint64_t Value = 0;
  const auto Text = Options.value(Name);
  return Text && absl::SimpleAtoi(*Text, &Value) ? Value : Default;
}

} // namespace

int main(int Count, char **Arguments) {
  const OptionParser Parser("soak", "PROGRAM",
                            {{"seed", 's', "first seed", "N"},
                             {"runs", 'r', "how many seeds", "N"},
                             {"seconds", 't', "how long faults come", "N"},
                             {"hosts", 'n', "entry hosts", "N"},
                             {"callers", 'c', "callers", "N"},
                             {"folder", 'f', "where logs are kept", "FOLDER"},
                             {"verbose", 'v', "tell each fault", "0|1"}});
  int Exit = 0;
  const auto Options =
      Parser.parse(Count, const_cast<const char **>(Arguments), Exit);
  if (!Options)
    return Exit;
  if (Options->m_Arguments.size() != 1) {
    std::fputs("soak: name the program to run\n", stderr);
    return ExitUsage;
  }
  SoakSettings Settings;
  Settings.m_Program = Options->m_Arguments.front();
  Settings.m_Hosts = static_cast<int>(numberOr(*Options, "hosts", 5));
  Settings.m_Callers = static_cast<int>(numberOr(*Options, "callers", 24));
  Settings.m_Length = std::chrono::seconds(numberOr(*Options, "seconds", 20));
  Settings.m_IsVerbose = numberOr(*Options, "verbose", 0) != 0;
  const uint64_t First = numberOr(*Options, "seed", 1);
  const uint64_t Runs = numberOr(*Options, "runs", 1);
  bool Good = true;
  for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    Settings.m_Seed = Seed;
    Settings.m_Folder =
        absl::StrCat(Options->value("folder").value_or("soak-logs"), "/", Seed);
    std::filesystem::remove_all(Settings.m_Folder);
    std::filesystem::create_directories(Settings.m_Folder);
    if (Soak(Settings).run())
      std::filesystem::remove_all(Settings.m_Folder);
    else
      Good = false;
  }
  return Good ? ExitOk : ExitFailed;
}
