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

/// How a soak is run.
struct SoakSettings {
  std::string m_Program;
  std::string m_Folder;
  uint64_t m_Seed = 1;
  int m_Hosts = 5;
  int m_Callers = 24;
  std::chrono::seconds m_Length{20};
  /// Prints each fault.
  bool m_IsVerbose = false;
};

/// Entry hosts as separate processes, with servers, a store and callers around
/// them, and faults from outside in an order that the seed decides.
class Soak {
public:
  explicit Soak(SoakSettings Config);

  /// Runs it; true when every promise was kept.
  bool run();

private:
  void publish();
  void addServers();
  void rest(Milliseconds Length);
  void watchHosts();
  void nextFault();
  void hostFault();
  void linkFault(FaultProxy &Proxy, const std::string &Name);
  void serverFault();
  void storeFault();
  void operatorAction();
  void later(Milliseconds Delay, std::function<void()> What);
  void healAll();
  bool holdsElsewhere(const SoakServer &Self, const KeyRange &Keys) const;
  HostProcess *anyHost();
  /// Part of the requests that are served well just now.
  double service(Milliseconds Length);
  uint64_t chance(uint64_t Sides) { return m_Random() % Sides; }
  void say(const std::string &What) const;

  const SoakSettings m_Settings;
  std::mt19937_64 m_Random;
  boost::asio::io_context m_Loop{1};
  StoreStandIn m_Store;
  Referee m_Referee;
  std::vector<std::unique_ptr<SoakServer>> m_Servers;
  std::vector<std::unique_ptr<HostProcess>> m_Hosts;
  std::vector<std::unique_ptr<SoakCaller>> m_Callers;
  boost::asio::steady_timer m_Watch;
  TimePoint m_Began;
  int64_t m_Version = 0;
  int m_NextServer = 0;
  bool m_Healing = false;
};

} // namespace monsoon

#endif
