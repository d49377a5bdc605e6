#include "telemetry/eventlog.h"

#include "telemetry/jsonlog.h"

namespace monsoon {

namespace {

LogLevel toLogLevel(Severity Level) {
  switch (Level) {
  case Severity::Debug:
    return LogLevel::Debug;
  case Severity::Info:
    return LogLevel::Info;
  case Severity::Warning:
    return LogLevel::Warning;
  case Severity::Error:
    return LogLevel::Error;
  }
  return LogLevel::Error;
}

} // namespace

void EventLog::event(Severity Level, const char *Name, const Details &Fields) {
  if (!isLogged(toLogLevel(Level)))
    return;
  LogLine Line(toLogLevel(Level), Name);
  for (const auto &[Field, Value] : Fields)
    Line.field(Field, Value);
  Line.write();
}

} // namespace monsoon
