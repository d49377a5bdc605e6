#ifndef MONSOON_MONSOONSTAND_COMMANDLINE_H
#define MONSOON_MONSOONSTAND_COMMANDLINE_H

#include <optional>
#include <string>

namespace monsoon {

/// The parsed command line of an entry host.
struct CommandLine {
  /// The settings file.
  std::string m_SettingsPath;
  /// True: run on a platform; the file has the settings of a Gateway.
  bool m_IsGateway = false;
  /// True: check the settings and exit.
  bool m_IsCheckOnly = false;
};

/// Parses the command line. When help or the version is asked for or the
/// arguments are wrong, prints the text, sets ExitCode and returns nothing.
std::optional<CommandLine> parseCommandLine(int Count, const char **Arguments,
                                            int &ExitCode);

} // namespace monsoon

#endif
