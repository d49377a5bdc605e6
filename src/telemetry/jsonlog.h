#ifndef MONSOON_TELEMETRY_JSONLOG_H
#define MONSOON_TELEMETRY_JSONLOG_H

#include <json/value.h>

#include <string>

namespace monsoon {

/// How important a line of the log is.
enum class LogLevel { Debug, Info, Warning, Error };

/// The level of that name; Info for an unknown one.
LogLevel logLevelFromName(const std::string &Name);

/// Starts the log of the process: JSON lines on standard output, from a
/// level on, each with the name of the host. Lines that a slow reader would
/// hold up are dropped and counted.
void startLog(LogLevel Lowest, const std::string &Host);

bool isLogged(LogLevel Level);

/// One line of the log: an event with its fields. Bodies and header values of
/// requests are never logged.
class LogLine {
public:
  LogLine(LogLevel Level, const char *Event);

  LogLine &field(const char *Name, const std::string &Value);
  LogLine &field(const char *Name, int64_t Value);
  LogLine &field(const char *Name, double Value);

  void write();

private:
  const LogLevel m_Level;
  Json::Value m_Fields;
};

} // namespace monsoon

#endif
