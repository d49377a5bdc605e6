#ifndef MONSOON_TESTS_KEYOWNER_ASSIGNERSIMULATION_H
#define MONSOON_TESTS_KEYOWNER_ASSIGNERSIMULATION_H

#include "keyowner/rangeassigner.h"
#include "support/simtime.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// Simulated server: its current holds, timed by its own slow clock, and all
/// grants that it has accepted.
struct SimServer {
  struct Hold {
    KeyRange m_Keys;
    uint64_t m_Fence = 0;
    TimePoint m_Until{};
  };
  /// Requests that were running when their keys were released.
  struct RunningWork {
    KeyRange m_Keys;
    TimePoint m_End{};
    /// Until when the keys would have been held without the release.
    TimePoint m_HeldUntil{};
  };
  TargetInfo m_Info;
  bool m_IsUp = true;
  /// Up, but unreachable for all hosts.
  bool m_IsPartitioned = false;
  std::vector<Hold> m_Holds;
  std::vector<Hold> m_AcceptedGrants;
  std::vector<RunningWork> m_Work;
  /// How long requests run; zero for random times below 400 ms.
  Duration m_WorkTime{};
  /// Factor by which holds last longer on this server's clock.
  double m_ClockRate = 1.02;
};

/// Simulates several hosts, each with the RangeAssigner of one pool, on a log
/// and servers that fail in the ways listed in the platform's documentation.
/// Checks every grant that is carried out: no key may be held by two servers
/// that are up, a key goes to another server only under a higher fence, and not
/// while requests for it run at its former owner that still would hold it.
class AssignerSimulation {
public:
  AssignerSimulation(unsigned Hosts, unsigned Servers, uint64_t Seed,
                     AssignerTimes Times = AssignerTimes());
  ~AssignerSimulation();

  SimTime &time() { return m_Time; }
  std::mt19937_64 &random() { return m_Random; }
  void run(Duration Length) { m_Time.run(Length); }

  /// Returns null while the host is down.
  RangeAssigner *assigner(unsigned Host);
  unsigned hosts() const;
  /// Returns the index of the lease holder, or -1 if there is none.
  int holder() const;
  std::vector<std::string> serverIds() const;
  SimServer &server(const std::string &Id) { return *m_Servers.at(Id); }

  // Faults. m_CutFromLog limits a log outage to some hosts.
  bool m_LogDown = false;
  /// Fraction of the appends whose answer is lost.
  double m_LostAppends = 0;
  /// Fraction of the lost appends that are carried out seconds later.
  double m_LateAppends = 0;
  Duration m_LogDelay = Milliseconds(4);
  std::set<unsigned> m_CutFromLog;
  /// Fraction of the reports between hosts that are lost.
  double m_LostReports = 0.1;
  /// Hosts whose reports to and from all other hosts are lost.
  std::set<unsigned> m_CutFromPeers;
  std::set<std::pair<unsigned, std::string>> m_CutFromServer;
  /// Fraction of the grants that get no answer and are carried out late.
  double m_LateGrants = 0;

  /// Gives the lease to another host at once, unnoticed by the present holder.
  bool m_ReassignLease = false;

  /// Takes the log away for Outage and restores it from a copy of which the
  /// records of the last Lost time are missing. Their offsets are given out
  /// again.
  void restoreLog(Duration Outage, Duration Lost);

  /// Makes a host the member that has the lease.
  void giveLease(unsigned Host);

  void crashHost(unsigned Host);
  void startHost(unsigned Host);
  void pauseHost(unsigned Host, Duration Length);
  void crashServer(const std::string &Id);
  /// Starts another server at the address; with SameId, a new incarnation of
  /// the same one. Returns its id.
  std::string restartServer(const std::string &Id, bool SameId);
  /// Gives the address to an unrelated server, which rejects all orders.
  void replaceByForeignServer(const std::string &Id);
  void addServer();
  void drainServer(const std::string &Id);
  void partitionServer(const std::string &Id, Duration Length);
  void setDomainOut(const std::string &Domain, bool Out);
  void clearFaults();

  /// Returns the violations found so far.
  const std::vector<std::string> &violations() const { return m_Violations; }
  /// Returns the number of keys that no reachable server holds now, estimated
  /// from every 16th key.
  uint32_t unservedKeys() const;
  /// Returns the id of the reachable server that holds the key now, or empty.
  std::string holderOf(uint32_t Key) const;

private:
  struct Host;
  class Log;
  class Grants;
  class Leases;
  class Events;

  void tickHost(unsigned Host);
  std::string hostName(unsigned Host) const;
  /// Passes the names of the hosts that run now to a host, as the group does.
  void passHostNames(unsigned Host, const std::set<std::string> &Members);
  void publishTargets();
  void exchangeReports();
  void deliverReport(unsigned From, unsigned To, const HostReport &Report);
  void assignLeases();
  /// Answers the reads that wait for records.
  void wakeReaders();
  /// Passes the epoch of an answer on to the host, as the client of the log
  /// does. False for an answer of a former epoch, which is dropped.
  bool noteEpoch(unsigned Host, uint64_t Epoch);
  KeyedRecord recordAt(LogOffset At) const;
  /// Handles a grant at the server and checks the invariants.
  void handleGrant(const std::string &Id, const std::string &Address,
                   const KeyGrant &Order, TimePoint Arrived,
                   const std::function<void(GrantCallResult)> &Done);
  /// Takes the keys from the server. Returns the moment at which the last
  /// request for them has ended.
  TimePoint releaseKeys(SimServer &Server, const KeyRange &Keys, Duration Work);
  SimServer *serverAt(const std::string &Address);
  /// Runs What after Delay unless the host crashes; a paused host runs it when
  /// it resumes.
  void deliver(unsigned Host, Duration Delay, std::function<void()> What);
  void violation(const std::string &What);
  double chance() { return std::uniform_real_distribution<>(0, 1)(m_Random); }

  SimTime m_Time;
  std::mt19937_64 m_Random;
  const AssignerTimes m_Times;
  std::unique_ptr<Events> m_EventSink;
  /// Records with their time; offsets are within the epoch.
  std::vector<std::pair<TimePoint, KeyedRecord>> m_Records;
  uint64_t m_Epoch = FirstLogEpoch;
  std::vector<std::function<void()>> m_Readers;
  std::vector<std::unique_ptr<Host>> m_Hosts;
  std::map<std::string, std::unique_ptr<SimServer>> m_Servers;
  std::vector<std::unique_ptr<SimServer>> m_StoppedServers;
  std::set<std::string> m_DomainsOut;
  /// Addresses that unrelated servers have got.
  std::set<std::string> m_ForeignAddresses;
  std::vector<uint64_t> m_HighestFence;
  std::vector<std::string> m_FenceOwner;
  std::vector<std::string> m_Violations;
  int64_t m_NextIncarnation = 1;
  unsigned m_LeaseMember = 0;
  TimePoint m_LeaseEnd{};
  TimePoint m_LastOutage{};
};

} // namespace monsoon

#endif
