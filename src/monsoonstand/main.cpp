#include "codec/gatewaysettingscodec.h"
#include "codec/settingscodec.h"
#include "monsoonstand/commandline.h"
#include "monsoonstand/gateway.h"
#include "monsoonstand/service.h"
#include "program/exitcode.h"
#include "telemetry/jsonlog.h"

#include "absl/synchronization/mutex.h"

#include <cstdio>

namespace {

int runGateway(const std::string &Path) {
  using namespace monsoon;
  const auto Config = loadGatewaySettings(Path);
  if (!Config) {
    std::fprintf(stderr, "%s\n", Config.error().m_Message.c_str());
    return ExitFailed;
  }
  startLog(logLevelFromName(Config.value().m_LogLevel), Config.value().m_Host);
  return Gateway(Config.value()).run();
}

} // namespace

int main(int Count, char **Arguments) {
  using namespace monsoon;
  // Debian's build of Abseil checks every lock for deadlock cycles while
  // holding a global lock; this disables the check.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  int ExitCode = ExitOk;
  const auto Options =
      parseCommandLine(Count, const_cast<const char **>(Arguments), ExitCode);
  if (!Options)
    return ExitCode;
  if (Options->m_IsGateway)
    return runGateway(Options->m_SettingsPath);
  const StopSignal Signal;
  const auto Config = loadSettings(Options->m_SettingsPath);
  if (!Config) {
    std::fprintf(stderr, "%s\n", Config.error().m_Message.c_str());
    return ExitFailed;
  }
  if (Options->m_IsCheckOnly) {
    std::printf("%s: ok\n", Options->m_SettingsPath.c_str());
    return ExitOk;
  }
  startLog(logLevelFromName(Config.value().m_LogLevel), Config.value().m_Host);
  return Service(Config.value(), Signal).run();
}
