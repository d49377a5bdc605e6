#ifndef MONSOON_TESTS_SOAK_HOSTPROCESS_H
#define MONSOON_TESTS_SOAK_HOSTPROCESS_H

#include "core/settings.h"
#include "core/timepoint.h"
#include "soak/faultproxy.h"

#include <sys/types.h>

#include <string>

namespace monsoon {

/// An entry host as a process of its own, with a proxy between it and the
/// store. Signals go to this process only.
class HostProcess {
public:
  /// Folder is where its settings and its log are written.
  HostProcess(boost::asio::io_context &Loop, std::string Program,
              std::string Name, std::string Domain, std::string Folder,
              const Endpoint &Store);
  ~HostProcess();

  const std::string &name() const { return m_Name; }
  const Endpoint &callers() const { return m_Callers; }
  FaultProxy &storeProxy() { return m_StoreProxy; }

  bool start();
  void stop();
  void kill();
  void pause();
  void resume();
  /// Settings changed, as far as the process can tell.
  void reload();
  /// Notices a process that has ended. True if it ended since the last call.
  bool poll();

  bool isRunning() const { return m_Pid > 0; }
  bool isPaused() const { return m_Paused; }
  bool isStopping() const { return m_Stopping; }
  /// It was killed or paused, or its way to the store disturbed, at that time.
  TimePoint disturbedAt() const { return m_DisturbedAt; }
  void noteDisturbed();
  TimePoint resumedAt() const { return m_ResumedAt; }
  /// The exit code of the last process that ended by itself, or -1.
  int exitCode() const { return m_ExitCode; }

private:
  void signal(int Number) const;
  bool writeSettings() const;

  const std::string m_Program;
  const std::string m_Name;
  const std::string m_Domain;
  const std::string m_Folder;
  FaultProxy m_StoreProxy;
  Endpoint m_Callers;
  Endpoint m_Readiness;
  Endpoint m_Metrics;
  Endpoint m_Peers;
  pid_t m_Pid = 0;
  bool m_Paused = false;
  bool m_Stopping = false;
  TimePoint m_DisturbedAt{};
  TimePoint m_ResumedAt{};
  int m_ExitCode = -1;
};

} // namespace monsoon

#endif
