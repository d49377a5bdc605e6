#ifndef MONSOON_MONSOONCTL_COMMANDS_H
#define MONSOON_MONSOONCTL_COMMANDS_H

#include "program/optionparser.h"

namespace monsoon {

/// Runs the command named by the first argument and returns the exit code.
/// Results go to standard output, errors to standard error.
int runCommand(const ParsedOptions &Options);

/// The possible arguments, for the help text.
extern const char CommandUsage[];

} // namespace monsoon

#endif
