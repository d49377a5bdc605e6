#include "telemetry/jsonlog.h"

#include "codec/jsontext.h"
#include "telemetry/lineoutput.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <unistd.h>

namespace monsoon {

namespace {

namespace logging = boost::log;

/// Writes formatted records to standard output without blocking on its reader.
class Backend : public logging::sinks::basic_formatted_sink_backend<
                    char, logging::sinks::synchronized_feeding> {
public:
  void consume(const logging::record_view & /*Record*/,
               const string_type &Line) {
    m_Output.write(Line);
  }

private:
  LineOutput m_Output{STDOUT_FILENO};
};

using Frontend = logging::sinks::synchronous_sink<Backend>;

constexpr std::array<const char *, 4> LevelNames = {"debug", "info", "warning",
                                                    "error"};

LogLevel MinLevel = LogLevel::Info;
std::string HostName;

} // namespace

LogLevel logLevelFromName(const std::string &Name) {
  for (size_t Index = 0; Index < LevelNames.size(); ++Index)
    if (Name == LevelNames[Index])
      return static_cast<LogLevel>(Index);
  return LogLevel::Info;
}

void startLog(LogLevel Lowest, const std::string &Host) {
  MinLevel = Lowest;
  HostName = Host;
  const auto Output = boost::make_shared<Backend>();
  logging::core::get()->add_sink(boost::make_shared<Frontend>(Output));
}

bool isLogged(LogLevel Level) { return Level >= MinLevel; }

LogLine::LogLine(LogLevel Level, const char *Event) : m_Level(Level) {
  if (!isLogged(Level))
    return;
  m_Fields["time"] = boost::posix_time::to_iso_extended_string(
                         boost::posix_time::microsec_clock::universal_time()) +
                     "Z";
  m_Fields["level"] = LevelNames[static_cast<size_t>(Level)];
  m_Fields["event"] = Event;
  m_Fields["host"] = HostName;
}

LogLine &LogLine::field(const char *Name, const std::string &Value) {
  if (isLogged(m_Level) && !Value.empty())
    m_Fields[Name] = Value;
  return *this;
}

LogLine &LogLine::field(const char *Name, int64_t Value) {
  if (isLogged(m_Level))
    m_Fields[Name] = Json::Int64(Value);
  return *this;
}

LogLine &LogLine::field(const char *Name, double Value) {
  if (isLogged(m_Level))
    m_Fields[Name] = Value;
  return *this;
}

void LogLine::write() {
  if (!isLogged(m_Level))
    return;
  logging::sources::logger_mt Source;
  BOOST_LOG(Source) << writeJson(m_Fields);
}

} // namespace monsoon
