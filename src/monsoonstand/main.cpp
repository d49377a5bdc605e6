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
  // Debian's build of Abseil checks each lock for cycles under a global lock.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  int Exit = ExitOk;
  const auto Wanted =
      parseCommandLine(Count, const_cast<const char **>(Arguments), Exit);
  if (!Wanted)
    return Exit;
  if (Wanted->m_Gateway)
    return runGateway(Wanted->m_SettingsPath);
  const StopSignal Signal;
  const auto Config = loadSettings(Wanted->m_SettingsPath);
  if (!Config) {
    std::fprintf(stderr, "%s\n", Config.error().m_Message.c_str());
    return ExitFailed;
  }
  if (Wanted->m_CheckOnly) {
    std::printf("%s: ok\n", Wanted->m_SettingsPath.c_str());
    return ExitOk;
  }
  startLog(logLevelFromName(Config.value().m_LogLevel), Config.value().m_Host);
  return Service(Config.value(), Signal).run();
}
