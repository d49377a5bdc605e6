#ifndef MONSOON_PROGRAM_OPTIONPARSER_H
#define MONSOON_PROGRAM_OPTIONPARSER_H

#include <popt.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

/// One option of a program that takes a value.
struct OptionSpec {
  const char *m_Name;
  char m_Short;
  const char *m_Help;
  const char *m_ValueName;
};

/// Options and arguments of a command line.
struct ParsedOptions {
  std::map<std::string, std::string> m_Values;
  std::vector<std::string> m_Arguments;

  /// The value of the option with this long name, if it was given.
  std::optional<std::string> value(const std::string &Name) const;
};

/// Parses a command line with popt. --help and --version are always accepted.
class OptionParser {
public:
  /// Usage is the help text for the arguments that are not options.
  OptionParser(const char *Program, const char *Usage,
               std::vector<OptionSpec> Options);

  /// Returns nothing if the program must exit: the help, the version or an
  /// error was printed. After the version and errors, Exit is the exit code;
  /// popt itself ends the process after the help.
  std::optional<ParsedOptions> parse(int Count, const char **Arguments,
                                     int &Exit) const;

private:
  const char *m_Program;
  const char *m_Usage;
  std::vector<OptionSpec> m_Options;
};

} // namespace monsoon

#endif
