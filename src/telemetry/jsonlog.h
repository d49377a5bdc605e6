#ifndef MONSOON_TELEMETRY_JSONLOG_H
#define MONSOON_TELEMETRY_JSONLOG_H

#include <json/value.h>

#include <string>

namespace monsoon {

/// Level of a log line, in ascending order of severity.
enum class LogLevel { Debug, Info, Warning, Error };

/// Returns the level with the given name; Info for an unknown name.
LogLevel logLevelFromName(const std::string &Name);

/// Starts the log of the process: JSON lines on standard output, from the level
/// Lowest on, each with the name of the host. Lines that would block on a slow
/// reader are dropped and counted.
void startLog(LogLevel Lowest, const std::string &Host);

/// True if lines of this level are written.
bool isLogged(LogLevel Level);

/// One line of the log: an event with its fields. Callers never log bodies or
/// header values of requests.
class LogLine {
public:
  LogLine(LogLevel Level, const char *Event);

  /// Sets a field; an empty text is left out.
  LogLine &field(const char *Name, const std::string &Value);
  LogLine &field(const char *Name, int64_t Value);
  LogLine &field(const char *Name, double Value);

  /// Writes the line if its level is logged.
  void write();

private:
  const LogLevel m_Level;
  Json::Value m_Fields;
};

} // namespace monsoon

#endif
