#ifndef MONSOON_TESTS_SOAK_HOSTPROCESS_H
#define MONSOON_TESTS_SOAK_HOSTPROCESS_H

#include "core/settings.h"
#include "core/timepoint.h"
#include "soak/faultproxy.h"

#include <sys/types.h>

#include <string>

namespace monsoon {

/// Times in the settings of all hosts of a run.
struct HostTimes {
  double m_RetryWindowSeconds = 10;
  double m_LongestHoldMs = 10'000;
  double m_StopLimitSeconds = 6;
};

/// An entry host that runs as a child process, with a fault proxy between it
/// and the log store. Signals are sent to this process only.
class HostProcess {
public:
  /// Folder receives the settings file and the log of the process. Store is
  /// the log store's address, which the process reaches through the proxy.
  HostProcess(boost::asio::io_context &Loop, std::string Program,
              std::string Name, std::string Domain, std::string Folder,
              const Endpoint &Store, const HostTimes &Times);
  /// Kills the process if it still runs, and waits for it.
  ~HostProcess();

  const std::string &name() const { return m_Name; }
  /// The address that callers connect to.
  const Endpoint &callerAddress() const { return m_CallerAddress; }
  FaultProxy &storeProxy() { return m_StoreProxy; }

  /// Writes the settings and starts the process. Returns false if it already
  /// runs, the settings can't be written or the process can't be spawned.
  bool start();
  /// Requests a graceful stop (SIGTERM). If it KeepsCallers, they go on sending
  /// to the process until it has ended, as a balancer does that learns late.
  void stop(bool KeepsCallers = false);
  /// Sends SIGKILL.
  void kill();
  /// Sends SIGSTOP.
  void pause();
  /// Sends SIGCONT; does nothing if the process is not paused.
  void resume();
  /// Withholds the processor from the process (SIGSTOP) until yieldProcessor().
  /// For times so short that a busy machine does the same, so it is no fault.
  void takeProcessor();
  /// Has no effect on a paused process. It is a fault if the soak itself was
  /// late and the process was held for longer than Limit.
  void yieldProcessor(Duration Limit);
  /// Asks the process to reload its settings (SIGHUP), which are unchanged.
  void reload();
  /// Returns true if the process has exited since the last call. Doesn't block.
  bool reapIfExited();

  /// True from start() until reapIfExited() reports the exit.
  bool isRunning() const { return m_Pid > 0; }
  bool isPaused() const { return m_IsPaused; }
  /// True if stop() was called since the last start().
  bool isStopping() const { return m_IsStopping; }
  bool acceptsCallers() const {
    return isRunning() && (!m_IsStopping || m_KeepsCallers);
  }
  /// Time of the last start().
  TimePoint startedAt() const { return m_StartedAt; }
  /// States that a request which only this or a later version of the config
  /// allows was executed.
  void noteVersion(int64_t Version);
  /// True if the present process had shown this version or a later one, a
  /// while before the time.
  bool hasShownVersion(int64_t Version, TimePoint Before) const;
  /// Time of the last fault: the process was killed, paused or resumed, or a
  /// fault was injected into the store or its connection to it.
  TimePoint lastFaultAt() const { return m_LastFaultAt; }
  void recordFault();
  /// Time of the last resume().
  TimePoint resumedAt() const { return m_ResumedAt; }
  /// The exit code of the last process, or -1 if a signal ended it or none has
  /// ended yet.
  int exitCode() const { return m_ExitCode; }

private:
  void sendSignal(int Number) const;
  bool writeSettings() const;

  const std::string m_Program;
  const std::string m_Name;
  const std::string m_Domain;
  const std::string m_Folder;
  const HostTimes m_Times;
  FaultProxy m_StoreProxy;
  Endpoint m_CallerAddress;
  Endpoint m_ReadinessAddress;
  Endpoint m_MetricsAddress;
  Endpoint m_PeerAddress;
  pid_t m_Pid = 0;
  bool m_IsPaused = false;
  bool m_IsStopping = false;
  bool m_KeepsCallers = false;
  TimePoint m_StartedAt{};
  TimePoint m_HeldSince{};
  int64_t m_Version = 0;
  TimePoint m_VersionShownAt{};
  TimePoint m_LastFaultAt{};
  TimePoint m_ResumedAt{};
  int m_ExitCode = -1;
};

} // namespace monsoon

#endif
