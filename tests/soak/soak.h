#ifndef MONSOON_TESTS_SOAK_SOAK_H
#define MONSOON_TESTS_SOAK_SOAK_H

#include "soak/hostprocess.h"
#include "soak/soakcaller.h"
#include "soak/soakserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace monsoon {

/// Settings of one soak run.
struct SoakSettings {
  /// Path of the monsoonstand program.
  std::string m_Program;
  /// Where the entry hosts write their settings and logs.
  std::string m_Folder;
  uint64_t m_Seed = 1;
  int m_Hosts = 5;
  int m_Callers = 24;
  /// How long faults are injected.
  std::chrono::seconds m_FaultDuration{20};
  /// Prints each injected fault.
  bool m_IsVerbose = false;
};

/// Runs entry hosts as separate processes and servers, a log store and callers
/// in this process, and injects faults chosen by a generator that the seed
/// initializes. A run starts up, measures the success rate, injects faults,
/// clears them, waits for recovery, and measures the rate again.
class Soak {
public:
  explicit Soak(SoakSettings Config);

  /// Runs the soak and prints a summary with all violations. Returns true if
  /// there were none.
  bool run();

private:
  /// Publishes a new version of the configuration to the store.
  void publishConfig();
  void addServers();
  /// Runs the event loop for this long.
  void runLoopFor(Milliseconds Length);
  /// Restarts entry hosts that have exited, and reports graceful stops that
  /// failed. Schedules itself again.
  void superviseHosts();
  /// Injects a random fault and schedules the next one, until clearFaults().
  void injectFault();
  void injectHostFault();
  void injectLinkFault(FaultProxy &Proxy, const std::string &Name);
  void injectServerFault();
  void injectStoreFault();
  void performOperatorAction();
  /// Calls Action once after Delay.
  void schedule(Milliseconds Delay, std::function<void()> Action);
  /// Stops the injection and ends the faults of hosts, links, servers and the
  /// store. Restarts that are scheduled still take place.
  void clearFaults();
  /// Returns true if a server other than Self holds a grant that overlaps Keys.
  /// Always false within ResumeGrace of a host's resume or of a mode
  /// change of a server's proxy.
  bool isHeldElsewhere(const SoakServer &Self, const KeyRange &Keys) const;
  /// Returns a random host that runs and is not stopping, or null.
  HostProcess *chooseHost();
  /// Runs the event loop for Length and returns the fraction of requests that
  /// succeeded in that time, from 0 to 1; 0 if there were none.
  double measureSuccessRate(Milliseconds Length);
  uint64_t randomBelow(uint64_t Bound) { return m_Random() % Bound; }
  /// Prints Text with the time since the start, if the settings are verbose.
  void logVerbose(const std::string &Text) const;

  const SoakSettings m_Settings;
  std::mt19937_64 m_Random;
  boost::asio::io_context m_Loop{1};
  StoreStandIn m_Store;
  InvariantChecker m_Checker;
  std::vector<std::unique_ptr<SoakServer>> m_Servers;
  std::vector<std::unique_ptr<HostProcess>> m_Hosts;
  std::vector<std::unique_ptr<SoakCaller>> m_Callers;
  boost::asio::steady_timer m_HostTimer;
  TimePoint m_StartedAt;
  int64_t m_Version = 0;
  int m_NextServerNumber = 0;
  bool m_IsRecovering = false;
};

} // namespace monsoon

#endif
