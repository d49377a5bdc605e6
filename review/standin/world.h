#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include "platform/storestandin.h"

#include <json/value.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <sys/types.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// The file that tells what was sent, answered and run. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path);
  void write(const std::string &Line);

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
  const Clock::time_point m_Start = Clock::now();
};

/// The platform's store, run by the project's own stand-in on a thread of its
/// own.
class Store {
public:
  Store();
  ~Store();
  const std::string &address() const { return m_Address; }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Topic, const std::string &Key);
  /// Publishes a config.
  void publish(const Json::Value &Config);

private:
  void run(const std::function<void()> &Task);

  boost::asio::io_context m_Loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Guard;
  monsoon::StoreStandIn m_StandIn;
  std::string m_Address;
  std::thread m_Thread;
};

/// An entry host: the project's program as a child process. Must be used on the
/// main thread, since the child is killed with the thread that started it.
class Host {
public:
  Host(std::string Program, std::string Folder, std::string Name,
       std::string Zone, const Store &Platform);
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  bool start();
  void signal(int Number) const;
  /// The wait status if the process has ended by itself, else -1.
  int pollExit();
  bool isReady() const;
  const std::string &name() const { return m_Name; }
  int callerPort() const { return m_CallerPort; }

private:
  const std::string m_Program;
  const std::string m_Folder;
  const std::string m_Name;
  std::string m_Settings;
  int m_CallerPort;
  int m_ReadinessPort;
  pid_t m_Pid = 0;
};

/// What a case gets from main().
struct Setup {
  std::string m_Program;
  std::string m_Folder;
  Record &m_Record;
  /// False in the control run without the disruption.
  bool m_HasTrouble;
};

/// Five entry hosts in three zones, as in the small deployments.
class Deployment {
public:
  Deployment(const Setup &Given, const Store &Platform);
  /// Starts all hosts and waits until they are ready; false after 30 s.
  bool start();
  std::vector<std::unique_ptr<Host>> &hosts() { return m_Hosts; }

private:
  Record &m_Record;
  std::vector<std::unique_ptr<Host>> m_Hosts;
};

/// Results of a case, as exit codes.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

int freePort(int Type);
std::string toText(const Json::Value &Value);

/// A config with the limits of the pages and no routes.
Json::Value emptyConfig(int Version);
void addService(Json::Value &Config, const std::string &Name, bool IsSharded);
void addRoute(Json::Value &Config, const std::string &Host,
              const std::string &Service, const std::string &Kind,
              int TimeoutMs, int MaxAttempts);

} // namespace review

#endif
