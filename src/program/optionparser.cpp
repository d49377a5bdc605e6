#include "program/optionparser.h"

#include "program/exitcode.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <type_traits>
#include <utility>

namespace monsoon {

namespace {

constexpr int VersionOption = 1;
constexpr int FirstValueOption = 2;

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using ContextPtr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

} // namespace

std::optional<std::string> ParsedOptions::value(const std::string &Name) const {
  const auto It = m_Values.find(Name);
  if (It == m_Values.end())
    return std::nullopt;
  return It->second;
}

OptionParser::OptionParser(const char *Program, const char *Usage,
                           std::vector<OptionSpec> Options)
    : m_Program(Program), m_Usage(Usage), m_Options(std::move(Options)) {}

std::optional<ParsedOptions>
OptionParser::parse(int Count, const char **Arguments, int &Exit) const {
  std::vector<poptOption> Table;
  int Number = FirstValueOption;
  for (const OptionSpec &Each : m_Options)
    Table.push_back({Each.m_Name, Each.m_Short, POPT_ARG_STRING, nullptr,
                     Number++, Each.m_Help, Each.m_ValueName});
  Table.push_back({"version", 'V', POPT_ARG_NONE, nullptr, VersionOption,
                   "print the version and exit", nullptr});
  Table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                   "Help options:", nullptr});
  Table.push_back(POPT_TABLEEND);
  const ContextPtr Context(
      poptGetContext(m_Program, Count, Arguments, Table.data(), 0));
  poptSetOtherOptionHelp(Context.get(), m_Usage);

  ParsedOptions Result;
  int Option = 0;
  while ((Option = poptGetNextOpt(Context.get())) > 0) {
    if (Option == VersionOption) {
      std::printf("%s %s\n", m_Program, MONSOON_VERSION);
      Exit = ExitOk;
      return std::nullopt;
    }
    const std::unique_ptr<char, decltype(&free)> Value(
        poptGetOptArg(Context.get()), &free);
    const auto Index = static_cast<size_t>(Option - FirstValueOption);
    Result.m_Values[m_Options[Index].m_Name] = Value.get();
  }
  if (Option < -1) {
    std::fprintf(stderr, "%s: %s: %s; see --help\n", m_Program,
                 poptBadOption(Context.get(), POPT_BADOPTION_NOALIAS),
                 poptStrerror(Option));
    Exit = ExitUsage;
    return std::nullopt;
  }
  while (const char *Argument = poptGetArg(Context.get()))
    Result.m_Arguments.emplace_back(Argument);
  return Result;
}

} // namespace monsoon
