#ifndef MONSOON_TESTS_SUPPORT_OWNERSHIPSIMULATION_H
#define MONSOON_TESTS_SUPPORT_OWNERSHIPSIMULATION_H

#include "core/groupnode.h"
#include "standin/grantholder.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// Size, random seed and timing of a simulation.
struct SimulationOptions {
  uint64_t m_Seed = 1;
  int m_Hosts = 5;
  int m_Servers = 4;
  uint32_t m_Ranges = 12;
  bool m_ChecksFences = true;
  OwnershipTiming m_Timing;
};

/// Simulates the group nodes of entry hosts, the servers and the ownership log
/// of one pool on a single clock; each process sees it with an offset of its
/// own. Messages can be delayed or lost and log records duplicated. The seed
/// determines all random choices. After each step of one millisecond an
/// observer checks that at most one server can serve each range, if the servers
/// check fences. An execution under a lower fence than an earlier one of its
/// range is a violation for all servers.
class OwnershipSimulation {
public:
  explicit OwnershipSimulation(const SimulationOptions &Options);

  TimePoint now() const { return m_Now; }
  /// Runs for a time, or until the first violation.
  void run(Milliseconds Length);
  /// Runs until a condition holds and returns the time that took; nothing after
  /// the limit or a violation.
  std::optional<Milliseconds> runUntil(const std::function<bool()> &Condition,
                                       Milliseconds Limit);

  // Faults. Hosts and servers are numbered from zero.
  void pauseHost(int Host, Milliseconds Length);
  void crashHost(int Host);
  void startHost(int Host);
  /// Tells a host to stop gracefully.
  void stopHost(int Host);
  void pauseServer(int Server, Milliseconds Length);
  void crashServer(int Server);
  void startServer(int Server);
  /// Cuts or restores the link between two processes, named `h0` and so on for
  /// hosts, `s0` and so on for servers, and `log`.
  void cut(const std::string &A, const std::string &B, bool Cut);
  /// Cuts or restores the links between a host and all other hosts.
  void isolateHost(int Host, bool Cut);
  /// Splits hosts, servers and log at random into two sides without
  /// links; with `false`, restores all links.
  void partition(bool Cut);
  void restoreLinks() { m_CutLinks.clear(); }
  /// While the log is down, reads and appends have no effect.
  void setLogDown(bool Down) { m_IsLogDown = Down; }
  /// Appends are written, but the writer does not read the log at once.
  void setAppendRepliesLost(bool Lose) { m_LosesAppendReplies = Lose; }
  /// Messages get longer delays and are lost at random, and log records
  /// are duplicated at random.
  void setNetworkUnreliable(bool On) { m_IsNetworkUnreliable = On; }
  /// Limits the log to its newest records, as if older ones had expired.
  void retainRecords(size_t Count) { m_RetainedRecords = Count; }
  /// Gives a new pool configuration to all live hosts.
  void setPool(const Pool &Value);
  const Pool &pool() const { return m_Pool; }
  void appendRecord(OwnershipRecord Record) {
    m_Log.push_back(std::move(Record));
  }
  /// Causes a random fault; most faults end after a random time.
  void randomFault();
  /// Ends pauses, cut links, log faults and the unreliable network, and
  /// restarts crashed processes. The pool and the limit of retainRecords()
  /// stay.
  void clearFaults();

  // Observation.
  /// Description of the first violation of an invariant; empty if none.
  const std::string &violation() const { return m_Violation; }
  /// Whether a live server owns a range and a live host routes to it.
  bool isServed(RangeId Range) const;
  bool isAllServed() const;
  /// The first live host that acts as decider; -1 if none.
  int decider() const;
  /// The server that holds a valid grant for a range; -1 if none.
  int ownerOf(RangeId Range) const;
  GroupNode &node(int Host) { return *m_Hosts[Host].m_Node; }
  /// The state of all nodes and ranges, for the message of a failing test.
  std::string describe();
  /// The longest time without an execution of a range since the last reset.
  Milliseconds longestOutage() const;
  void resetOutages();
  uint64_t executed() const { return m_Executed; }
  uint64_t appends() const { return m_Log.size(); }
  std::vector<OwnershipRecord> fullLog() const { return m_Log; }
  std::mt19937_64 &random() { return m_Random; }

private:
  struct Host {
    std::string m_Name;
    Duration m_ClockOffset{};
    int m_Incarnation = 0;
    bool m_IsAlive = false;
    TimePoint m_PausedUntil;
    std::unique_ptr<RoutingView> m_View;
    std::unique_ptr<GroupNode> m_Node;
    std::vector<std::function<void()>> m_Inbox;
  };
  struct Server {
    std::string m_Name;
    Duration m_ClockOffset{};
    int m_Incarnation = 0;
    bool m_IsAlive = false;
    TimePoint m_PausedUntil;
    std::unique_ptr<GrantHolder> m_Holder;
    std::vector<std::function<void()>> m_Inbox;
    /// Ranges of the requests in execution, with their fences.
    std::multimap<RangeId, GroupVersion> m_Running;
  };
  struct Event {
    TimePoint m_At;
    uint64_t m_Sequence;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(m_At, m_Sequence) >
             std::tie(Other.m_At, Other.m_Sequence);
    }
  };

  TimePoint local(const Host &Each) const { return m_Now + Each.m_ClockOffset; }
  TimePoint local(const Server &Each) const {
    return m_Now + Each.m_ClockOffset;
  }
  /// True with the given probability.
  bool chance(int Percent);
  /// Random delay of a message.
  Milliseconds delay();
  /// Runs an action after a delay.
  void schedule(Milliseconds Delay, std::function<void()> Action);
  bool isLinked(const std::string &A, const std::string &B) const;
  /// Delivers a message after a random delay if the link is up when it is sent
  /// and when it arrives.
  void send(const std::string &From, const std::string &To,
            std::function<void()> Action);
  /// Runs an action on a process now or, if the process is paused, at the
  /// end of the pause. Drops the action if the process is down or restarts
  /// before.
  template <typename Process>
  void deliver(Process &To, std::function<void()> Action);

  void step();
  void tickHost(int Host);
  void sendOutbox(int Host, Outbox Out);
  void sendToHost(int From, const Outbox::ToHost &Message);
  void sendGrant(int From, const GrantOrder &Order);
  void sendAppend(int From, OwnershipRecord Record);
  void readLog(int Host);
  void sendRequest(int Host);
  void execute(int ServerIndex, const RoutingPermit &Right, TimePoint NotAfter);
  /// Checks that at most one server can serve each range, if the servers check
  /// fences; tracks the longest outage.
  void observe();
  /// Incarnations of the live hosts that a host is linked to, itself included.
  std::set<HostId> liveHosts(int Observer) const;
  int serverIndex(const std::string &Name) const;

  const SimulationOptions m_Options;
  std::mt19937_64 m_Random;
  TimePoint m_Now;
  uint64_t m_Sequence = 0;
  std::priority_queue<Event> m_Events;
  Pool m_Pool;
  std::vector<Host> m_Hosts;
  std::vector<Server> m_Servers;
  std::set<std::pair<std::string, std::string>> m_CutLinks;
  std::vector<OwnershipRecord> m_Log;
  size_t m_RetainedRecords = SIZE_MAX;
  bool m_IsLogDown = false;
  bool m_LosesAppendReplies = false;
  bool m_IsNetworkUnreliable = false;
  std::string m_Violation;
  /// Highest fence of an execution, per range.
  std::map<RangeId, GroupVersion> m_NewestFence;
  std::map<RangeId, TimePoint> m_LastServed;
  Milliseconds m_LongestOutage{0};
  uint64_t m_Executed = 0;
};

} // namespace monsoon

#endif
