#ifndef MONSOON_TESTS_SOAK_SOAK_H
#define MONSOON_TESTS_SOAK_SOAK_H

#include "soak/hostprocess.h"
#include "soak/pipeliningcaller.h"
#include "soak/soakcaller.h"
#include "soak/soakserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
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
  /// Which incidents are played, at least one of which must be. Without
  /// restores there are no other faults of hosts or of the store either, so
  /// that nothing excuses a request that a stop lost.
  bool m_PlaysStops = true;
  bool m_PlaysRestores = true;
  /// Plays failing servers and hosts that start instead of all other faults.
  bool m_PlaysFailures = false;
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
  /// Starts the store, the servers and the hosts.
  void startAll();
  SoakCaller::Parts callerParts();
  /// All servers of a pool fail while the hosts start, and again after all of
  /// them were killed. Callers come from the first moment on.
  void playFailures();
  /// Plays the faults of the settings and the recovery from them.
  void playFaults();
  /// Publishes a new version of the configuration to the store. It adds a route
  /// for orders to those of all versions before.
  void publishConfig();
  /// Writes or deletes (without a value) a record as the operator.
  void writeAsOperator(const std::string &Key,
                       const std::optional<std::string> &Value);
  /// Writes what a restored store lacks again.
  void rewriteAsOperator();
  /// The newest version published long enough ago to be known everywhere.
  int64_t versionInForce() const;
  /// Returns true if neither the store nor the host had a fault that excuses
  /// an old config for requests sent at this time.
  bool mustKnowConfig(HostProcess &Host, TimePoint SentAt) const;
  void addServers();
  /// Runs the event loop for this long.
  void runLoopFor(Milliseconds Length);
  /// Measures at short intervals how late this process acts.
  void measureDelay();
  /// By how much it acted late since a time, in all.
  Duration delaySince(TimePoint When) const;
  /// Restarts entry hosts that have exited, and reports graceful stops that
  /// failed. Schedules itself again.
  void superviseHosts();
  /// Injects a random fault and schedules the next one, until clearFaults().
  void injectFault();
  void injectHostFault();
  void injectLinkFault(FaultProxy &Proxy, const std::string &Name);
  void injectServerFault();
  void injectStoreFault();
  void beginStoreOutage();
  void endStoreOutage();
  /// Plays the next incident and schedules another one, until clearFaults().
  void playIncident();
  /// Several hosts stop shortly one after another while servers are slow and
  /// there are more callers, who go on sending to them.
  void playOverlappingStops();
  /// The store is away and comes back as an older copy, this many times.
  void playRestoredStore(int Times);
  /// Lets a host have only part of the processor's time until it has stopped.
  void slowDown(HostProcess &Host);
  void performOperatorAction();
  /// Calls Action once after Delay.
  void schedule(Duration Delay, std::function<void()> Action);
  /// Stops the injection and ends the faults of hosts, links, servers and the
  /// store. Restarts that are scheduled still take place.
  void clearFaults();
  /// Returns true if a server other than Self holds a grant that overlaps Keys.
  /// Always false within ResumeGrace of a host's resume or of a mode
  /// change of a server's proxy.
  bool isHeldElsewhere(const SoakServer &Self, const KeyRange &Keys) const;
  /// Returns a random host that accepts callers, or null.
  HostProcess *chooseHost();
  /// Runs the event loop for Length and returns the fraction of requests that
  /// succeeded in that time, from 0 to 1; 0 if there were none.
  double measureSuccessRate(Milliseconds Length);
  uint64_t randomBelow(uint64_t Bound) { return m_Random() % Bound; }
  /// Prints Text with the time since the start, if the settings are verbose.
  void logVerbose(const std::string &Text) const;

  const SoakSettings m_Settings;
  const HostTimes m_Times;
  std::mt19937_64 m_Random;
  boost::asio::io_context m_Loop{1};
  StoreStandIn m_Store;
  InvariantChecker m_Checker;
  std::vector<std::unique_ptr<SoakServer>> m_Servers;
  std::vector<std::unique_ptr<HostProcess>> m_Hosts;
  std::vector<std::unique_ptr<SoakCaller>> m_Callers;
  /// Callers who come only during overlapping stops.
  std::vector<std::unique_ptr<SoakCaller>> m_ExtraCallers;
  /// Callers who send ahead, while faults are injected.
  std::vector<std::unique_ptr<PipeliningCaller>> m_PipeliningCallers;
  boost::asio::steady_timer m_HostTimer;
  boost::asio::steady_timer m_DelayTimer;
  TimePoint m_StartedAt;
  int64_t m_Version = 0;
  std::map<int64_t, TimePoint> m_PublishedAt;
  /// What the operator wrote last; without a value, deleted.
  std::map<std::string, std::optional<std::string>> m_OperatorRecords;
  int m_StoreOutages = 0;
  /// Since when, or from when on, the store is available and lacks nothing.
  TimePoint m_StoreStableAt{};
  bool m_AreStopsPlaying = false;
  uint64_t m_Incidents = 0;
  int m_StopsPlayed = 0;
  int m_RestoresPlayed = 0;
  /// When this process looked, and how much later than intended.
  std::vector<std::pair<TimePoint, Duration>> m_Delays;
  int m_NextServerNumber = 0;
  bool m_IsRecovering = false;
};

} // namespace monsoon

#endif
