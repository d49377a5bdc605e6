#ifndef MONSOON_TESTS_KEYOWNER_KEEPERWORLD_H
#define MONSOON_TESTS_KEYOWNER_KEEPERWORLD_H

#include "keyowner/rangekeeper.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// Runs what is due, in the order of a simulated time.
class SimTime : public Clock {
public:
  TimePoint now() const override { return m_Now; }
  void at(TimePoint When, std::function<void()> What);
  void after(Duration Delay, std::function<void()> What) {
    at(m_Now + Delay, std::move(What));
  }
  void run(Duration Length);

private:
  struct Event {
    TimePoint m_When;
    uint64_t m_Order;
    std::function<void()> m_What;
    bool operator<(const Event &Other) const {
      return std::tie(m_When, m_Order) > std::tie(Other.m_When, Other.m_Order);
    }
  };
  TimePoint m_Now{std::chrono::seconds(1000)};
  uint64_t m_Next = 0;
  std::priority_queue<Event> m_Events;
};

/// A server as it is: what it holds, by its own slow clock, and which fences it
/// has seen.
struct SimServer {
  struct Hold {
    KeyRange m_Keys;
    uint64_t m_Fence = 0;
    TimePoint m_Until{};
  };
  TargetInfo m_Info;
  bool m_Up = true;
  /// Cut off from everybody, but up.
  bool m_Dark = false;
  std::vector<Hold> m_Holds;
  std::vector<Hold> m_Seen;
  double m_ClockRate = 1.02;
};

/// Several hosts, each with the keeper of one pool, over a log and servers that
/// fail in the ways the platform's pages list. Watches every grant that is
/// carried out: no key may be held by two servers that are up, and a key goes
/// to another server only under a higher fence.
class KeeperWorld {
public:
  KeeperWorld(unsigned Hosts, unsigned Servers, uint64_t Seed,
              KeeperTimes Times = KeeperTimes());
  ~KeeperWorld();

  SimTime &time() { return m_Time; }
  std::mt19937_64 &random() { return m_Random; }
  void run(Duration Length) { m_Time.run(Length); }

  /// Null while the host is down.
  RangeKeeper *keeper(unsigned Host);
  unsigned hosts() const;
  /// Index of the host that holds the lease, or -1.
  int holder() const;
  std::vector<std::string> serverIds() const;
  SimServer &server(const std::string &Id) { return *m_Servers.at(Id); }

  // Faults. Those of the log can be limited to one host.
  bool m_LogDown = false;
  double m_LostAppends = 0;
  /// Part of the lost appends that are carried out seconds later.
  double m_LateAppends = 0;
  Duration m_LogDelay = Milliseconds(4);
  std::set<unsigned> m_CutFromLog;
  /// Part of the reports between hosts that are lost.
  double m_LostReports = 0.1;
  std::set<std::pair<unsigned, std::string>> m_CutFromServer;
  /// Part of the grants that are not answered and carried out late.
  double m_LateGrants = 0;

  /// The lease goes to another host at once, unseen by the present one.
  bool m_DealAnew = false;

  void crashHost(unsigned Host);
  void startHost(unsigned Host);
  void pauseHost(unsigned Host, Duration Length);
  void crashServer(const std::string &Id);
  /// Another server starts at the address. SameId: the same one, in a new life.
  std::string rebornServer(const std::string &Id, bool SameId);
  /// The address goes to a server of another kind, which refuses all orders.
  void replaceByStranger(const std::string &Id);
  void addServer();
  void drainServer(const std::string &Id);
  void darkServer(const std::string &Id, Duration Length);
  void setDomainOut(const std::string &Domain, bool Out);
  void healAll();

  /// Violations seen so far; empty when all is well.
  const std::vector<std::string> &violations() const { return m_Violations; }
  /// Keys that no live server holds just now.
  uint32_t unservedKeys() const;
  /// The server that holds a key now, or empty.
  std::string holderOf(uint32_t Key) const;

private:
  struct Host;
  class Log;
  class Grants;
  class Leases;
  class Events;

  void tickHost(unsigned Host);
  void tellMembers();
  void tellHosts();
  void report(unsigned From, unsigned To, const HostReport &Report);
  void dealLeases();
  void appended();
  void carryOut(const std::string &Life, const std::string &Address,
                const GrantOrder &Order, TimePoint Arrived,
                const std::function<void(OrderResult)> &Done);
  SimServer *serverAt(const std::string &Address);
  void deliver(unsigned Host, Duration Delay, std::function<void()> What);
  void violation(const std::string &What);
  double chance() { return std::uniform_real_distribution<>(0, 1)(m_Random); }

  SimTime m_Time;
  std::mt19937_64 m_Random;
  const KeeperTimes m_Times;
  std::unique_ptr<Events> m_EventSink;
  std::vector<KeyedRecord> m_Records;
  std::vector<std::function<void()>> m_Readers;
  std::vector<std::unique_ptr<Host>> m_Hosts;
  std::map<std::string, std::unique_ptr<SimServer>> m_Servers;
  std::vector<std::unique_ptr<SimServer>> m_Ended;
  std::set<std::string> m_DomainsOut;
  /// Addresses of servers of other kinds.
  std::set<std::string> m_Strangers;
  std::vector<uint64_t> m_HighestFence;
  std::vector<std::string> m_FenceOwner;
  std::vector<std::string> m_Violations;
  int64_t m_NextBorn = 1;
  unsigned m_LeaseMember = 0;
  TimePoint m_LeaseEnd{};
  TimePoint m_LastOutage{};
};

} // namespace monsoon

#endif
