#ifndef MONSOON_MONSOONSTAND_COMMANDLINE_H
#define MONSOON_MONSOONSTAND_COMMANDLINE_H

#include <optional>
#include <string>

namespace monsoon {

/// What the command line of an entry host asks for.
struct CommandLine {
  std::string m_SettingsPath;
  /// Run on a platform, with the settings for that.
  bool m_Gateway = false;
  /// Check the settings and exit.
  bool m_CheckOnly = false;
};

/// Parses the command line. Prints help, version or an error itself, and then
/// returns nothing and sets Exit.
std::optional<CommandLine> parseCommandLine(int Count, const char **Arguments,
                                            int &Exit);

} // namespace monsoon

#endif
