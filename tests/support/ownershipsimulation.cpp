#include "support/ownershipsimulation.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr Milliseconds Step{1};
constexpr Milliseconds HostTickInterval{10};
constexpr Milliseconds LogPollInterval{150};
constexpr Milliseconds RequestInterval{7};
constexpr Milliseconds RequestTimeout{150};

std::string nameOfHost(int Index) { return absl::StrCat("h", Index); }
std::string nameOfServer(int Index) { return absl::StrCat("s", Index); }

Pool newPool(const SimulationOptions &Options) {
  Pool::Builder Builder("ledger");
  Builder.ownedByKey(true)
      .checksFences(Options.m_ChecksFences)
      .ranges(Options.m_Ranges);
  for (int Index = 0; Index < Options.m_Servers; ++Index)
    Builder.addTarget({nameOfServer(Index), "127.0.0.1", 1 + Index,
                       absl::StrCat("d", Index % 3), 4, 100});
  return Builder.build();
}

} // namespace

OwnershipSimulation::OwnershipSimulation(const SimulationOptions &Options)
    : m_Options(Options), m_Random(Options.m_Seed),
      m_Now(std::chrono::hours(1)), m_Pool(newPool(Options)),
      m_Hosts(Options.m_Hosts), m_Servers(Options.m_Servers) {
  const auto Offset = [this] {
    return Duration(std::chrono::seconds(m_Random() % 1000));
  };
  for (int Index = 0; Index < Options.m_Servers; ++Index) {
    m_Servers[Index].m_Name = nameOfServer(Index);
    m_Servers[Index].m_ClockOffset = Offset();
    startServer(Index);
  }
  for (int Index = 0; Index < Options.m_Hosts; ++Index) {
    m_Hosts[Index].m_Name = nameOfHost(Index);
    m_Hosts[Index].m_ClockOffset = Offset();
    startHost(Index);
  }
  resetOutages();
}

bool OwnershipSimulation::chance(int Percent) {
  return static_cast<int>(m_Random() % 100) < Percent;
}

Milliseconds OwnershipSimulation::delay() {
  if (m_IsNetworkUnreliable && chance(2))
    return Milliseconds(m_Random() % 2500);
  return Milliseconds(1 + m_Random() % (m_IsNetworkUnreliable ? 30 : 3));
}

void OwnershipSimulation::schedule(Milliseconds Delay,
                                   std::function<void()> Action) {
  m_Events.push({m_Now + Delay, m_Sequence++, std::move(Action)});
}

bool OwnershipSimulation::isLinked(const std::string &A,
                                   const std::string &B) const {
  return m_CutLinks.count({A, B}) == 0 && m_CutLinks.count({B, A}) == 0;
}

void OwnershipSimulation::send(const std::string &From, const std::string &To,
                               std::function<void()> Action) {
  if (!isLinked(From, To) || (m_IsNetworkUnreliable && chance(3)))
    return;
  schedule(delay(), [this, From, To, Action = std::move(Action)] {
    if (isLinked(From, To))
      Action();
  });
}

template <typename Process>
void OwnershipSimulation::deliver(Process &To, std::function<void()> Action) {
  if (!To.m_IsAlive)
    return;
  if (m_Now < To.m_PausedUntil) {
    To.m_Inbox.push_back(std::move(Action));
    return;
  }
  Action();
}

void OwnershipSimulation::startHost(int Index) {
  Host &Each = m_Hosts[Index];
  ++Each.m_Incarnation;
  Each.m_IsAlive = true;
  Each.m_PausedUntil = TimePoint();
  Each.m_Inbox.clear();
  Each.m_View = std::make_unique<RoutingView>();
  Each.m_Node = std::make_unique<GroupNode>(
      absl::StrCat(Each.m_Name, "#", Each.m_Incarnation), "ledger",
      m_Options.m_Timing, *Each.m_View, local(Each));
  Each.m_Node->setPool(m_Pool, {});
}

void OwnershipSimulation::crashHost(int Index) {
  m_Hosts[Index].m_IsAlive = false;
}

void OwnershipSimulation::stopHost(int Index) { m_Hosts[Index].m_Node->stop(); }

void OwnershipSimulation::pauseHost(int Index, Milliseconds Length) {
  m_Hosts[Index].m_PausedUntil = m_Now + Length;
}

void OwnershipSimulation::startServer(int Index) {
  Server &Each = m_Servers[Index];
  ++Each.m_Incarnation;
  Each.m_IsAlive = true;
  Each.m_PausedUntil = TimePoint();
  Each.m_Inbox.clear();
  Each.m_Running.clear();
  Each.m_Holder = std::make_unique<GrantHolder>(
      absl::StrCat(Each.m_Name, "/", Each.m_Incarnation),
      m_Options.m_ChecksFences);
}

void OwnershipSimulation::crashServer(int Index) {
  m_Servers[Index].m_IsAlive = false;
  m_Servers[Index].m_Running.clear();
}

void OwnershipSimulation::pauseServer(int Index, Milliseconds Length) {
  m_Servers[Index].m_PausedUntil = m_Now + Length;
}

void OwnershipSimulation::cut(const std::string &A, const std::string &B,
                              bool Cut) {
  if (Cut)
    m_CutLinks.insert({A, B});
  else {
    m_CutLinks.erase({A, B});
    m_CutLinks.erase({B, A});
  }
}

void OwnershipSimulation::isolateHost(int Index, bool Cut) {
  for (int Other = 0; Other < m_Options.m_Hosts; ++Other)
    if (Other != Index)
      cut(nameOfHost(Index), nameOfHost(Other), Cut);
}

void OwnershipSimulation::partition(bool Cut) {
  if (!Cut)
    return restoreLinks();
  std::vector<std::string> Sides[2];
  Sides[m_Random() % 2].push_back("log");
  for (const Host &Each : m_Hosts)
    Sides[m_Random() % 2].push_back(Each.m_Name);
  for (const Server &Each : m_Servers)
    Sides[m_Random() % 2].push_back(Each.m_Name);
  for (const std::string &A : Sides[0])
    for (const std::string &B : Sides[1])
      cut(A, B, true);
}

void OwnershipSimulation::setPool(const Pool &Value) {
  m_Pool = Value;
  for (Host &Each : m_Hosts)
    if (Each.m_IsAlive)
      Each.m_Node->setPool(Value, {});
}

std::set<HostId> OwnershipSimulation::liveHosts(int Observer) const {
  std::set<HostId> Result;
  for (int Index = 0; Index < m_Options.m_Hosts; ++Index)
    if (m_Hosts[Index].m_IsAlive &&
        isLinked(nameOfHost(Observer), nameOfHost(Index)))
      Result.insert(m_Hosts[Index].m_Node->self());
  return Result;
}

void OwnershipSimulation::tickHost(int Index) {
  Host &Each = m_Hosts[Index];
  if (!Each.m_IsAlive || m_Now < Each.m_PausedUntil)
    return;
  Each.m_Node->setHosts(liveHosts(Index));
  sendOutbox(Index, Each.m_Node->tick(local(Each)));
}

void OwnershipSimulation::sendOutbox(int From, Outbox Out) {
  for (const Outbox::ToHost &Message : Out.m_ToHosts)
    sendToHost(From, Message);
  for (const GrantOrder &Order : Out.m_Grants)
    sendGrant(From, Order);
  for (OwnershipRecord &Record : Out.m_Appends)
    sendAppend(From, std::move(Record));
}

void OwnershipSimulation::sendToHost(int From, const Outbox::ToHost &Message) {
  const int To = std::stoi(Message.m_Host.substr(1));
  const TimePoint SentAt = local(m_Hosts[From]);
  const HostId SenderId = m_Hosts[From].m_Node->self();
  send(nameOfHost(From), nameOfHost(To), [=] {
    deliver(m_Hosts[To], [=] {
      Host &Receiver = m_Hosts[To];
      if (Receiver.m_Node->self() != Message.m_Host)
        return;
      const auto SendReply = [=](std::function<void(Host &)> Action) {
        send(nameOfHost(To), nameOfHost(From), [=] {
          deliver(m_Hosts[From], [=] {
            if (m_Hosts[From].m_Node->self() == SenderId)
              Action(m_Hosts[From]);
          });
        });
      };
      if (const auto *Beat = std::get_if<Heartbeat>(&Message.m_Message)) {
        const auto Reply = Receiver.m_Node->onHeartbeat(*Beat, local(Receiver));
        const Term Number = Beat->m_Term;
        SendReply([=](Host &Origin) {
          Origin.m_Node->onHeartbeatReply(Reply, Number, SentAt, local(Origin));
        });
        return;
      }
      const auto Reply = Receiver.m_Node->onCanvass(
          std::get<Canvass>(Message.m_Message), local(Receiver));
      SendReply([=](Host &Origin) {
        Origin.m_Node->onCanvassReply(Reply, local(Origin));
      });
    });
  });
}

void OwnershipSimulation::sendGrant(int From, const GrantOrder &Order) {
  const int To = serverIndex(Order.m_Server);
  const HostId SenderId = m_Hosts[From].m_Node->self();
  send(nameOfHost(From), nameOfServer(To), [=] {
    deliver(m_Servers[To], [=] {
      const auto Reply =
          m_Servers[To].m_Holder->apply(Order, local(m_Servers[To]));
      send(nameOfServer(To), nameOfHost(From), [=] {
        deliver(m_Hosts[From], [=] {
          if (m_Hosts[From].m_Node->self() == SenderId)
            m_Hosts[From].m_Node->onGrantReply(Order, Reply,
                                               local(m_Hosts[From]));
        });
      });
    });
  });
}

void OwnershipSimulation::sendAppend(int From, OwnershipRecord Record) {
  const auto Write = [this, From, Record = std::move(Record)] {
    if (m_IsLogDown)
      return;
    m_Log.push_back(Record);
    if (m_IsNetworkUnreliable && chance(10))
      m_Log.push_back(Record);
    if (!m_LosesAppendReplies)
      schedule(Milliseconds(1), [this, From] { readLog(From); });
  };
  send(nameOfHost(From), "log", Write);
}

void OwnershipSimulation::readLog(int Index) {
  Host &Each = m_Hosts[Index];
  if (!Each.m_IsAlive || m_Now < Each.m_PausedUntil || m_IsLogDown ||
      !isLinked(Each.m_Name, "log"))
    return;
  const uint64_t First =
      m_Log.size() > m_RetainedRecords ? m_Log.size() - m_RetainedRecords : 0;
  std::vector<GroupReplay::Entry> Entries;
  for (uint64_t Offset = std::max(First, Each.m_Node->nextOffset());
       Offset < m_Log.size(); ++Offset)
    Entries.push_back({Offset, m_Log[Offset]});
  Each.m_Node->applyRecords(First, m_Log.size(), std::move(Entries),
                            local(Each));
}

int OwnershipSimulation::serverIndex(const std::string &Name) const {
  return std::stoi(Name.substr(1));
}

void OwnershipSimulation::sendRequest(int Index) {
  Host &Each = m_Hosts[Index];
  if (!Each.m_IsAlive || m_Now < Each.m_PausedUntil)
    return;
  const auto Range = static_cast<RangeId>(m_Random() % m_Options.m_Ranges);
  const auto BeginResult = Each.m_View->begin(Range, local(Each));
  const auto *Granted = std::get_if<RoutingPermit>(&BeginResult);
  if (!Granted)
    return;
  const int To = serverIndex(Granted->m_Server);
  const RoutingPermit RequestRight = *Granted;
  // Expiry of the right on the simulation's clock.
  const TimePoint NotAfter = RequestRight.m_Until - Each.m_ClockOffset;
  RoutingView *View = Each.m_View.get();
  const int Incarnation = Each.m_Incarnation;
  // The request ends with its answer or its timeout, whichever is first.
  const auto IsPending = std::make_shared<bool>(true);
  const auto Finish = [=](bool Settled) {
    if (m_Hosts[Index].m_Incarnation == Incarnation &&
        std::exchange(*IsPending, false))
      View->finish(RequestRight, Settled);
  };
  const auto Answer = [=] {
    send(nameOfServer(To), nameOfHost(Index),
         [=] { deliver(m_Hosts[Index], [=] { Finish(true); }); });
  };
  const auto Length = Milliseconds(1 + m_Random() % 30);
  send(Each.m_Name, nameOfServer(To), [=] {
    deliver(m_Servers[To], [=] {
      Server &Owner = m_Servers[To];
      const bool Late = !m_Options.m_ChecksFences && m_Now >= NotAfter;
      if (Late ||
          !Owner.m_Holder->mayServe(Range, RequestRight.m_Fence, local(Owner)))
        return Answer();
      Owner.m_Holder->beginRequest(Range);
      Owner.m_Running.insert({Range, RequestRight.m_Fence});
      const int OwnerIncarnation = Owner.m_Incarnation;
      schedule(Length, [=] {
        deliver(m_Servers[To], [=] {
          if (m_Servers[To].m_Incarnation != OwnerIncarnation)
            return;
          execute(To, RequestRight, NotAfter);
          Answer();
        });
      });
    });
  });
  schedule(RequestTimeout, [=] { Finish(false); });
}

/// Ends the execution of a request at its server. The request takes
/// effect only if the server may still commit under its fence.
void OwnershipSimulation::execute(int ServerIndex, const RoutingPermit &Right,
                                  TimePoint NotAfter) {
  Server &Owner = m_Servers[ServerIndex];
  const RangeId Range = Right.m_Range;
  const auto Running = Owner.m_Running.find(Range);
  if (Running != Owner.m_Running.end())
    Owner.m_Running.erase(Running);
  const bool Late = !m_Options.m_ChecksFences && m_Now >= NotAfter;
  const bool Commits =
      !Late && Owner.m_Holder->mayCommit(Range, Right.m_Fence, local(Owner));
  Owner.m_Holder->endRequest(Range);
  if (!Commits)
    return;
  ++m_Executed;
  GroupVersion &Newest = m_NewestFence[Range];
  if (Right.m_Fence < Newest && m_Violation.empty())
    m_Violation =
        absl::StrCat("range ", Range, ": server ", Owner.m_Name,
                     " executed a request under fence ", Right.m_Fence,
                     " after an execution under fence ", Newest);
  Newest = std::max(Newest, Right.m_Fence);
  m_LastServed[Range] = m_Now;
}

void OwnershipSimulation::observe() {
  for (RangeId Range = 0; Range < m_Options.m_Ranges; ++Range) {
    std::string EligibleServers;
    int Count = 0;
    for (Server &Each : m_Servers) {
      if (!Each.m_IsAlive || !m_Options.m_ChecksFences)
        continue;
      const auto &Held = Each.m_Holder->ranges();
      const auto It = Held.find(Range);
      const bool Serves =
          It != Held.end() &&
          Each.m_Holder->mayServe(Range, It->second, local(Each));
      const auto Running = Each.m_Running.find(Range);
      const bool Drains =
          Running != Each.m_Running.end() &&
          Each.m_Holder->mayCommit(Range, Running->second, local(Each));
      if (!Serves && !Drains)
        continue;
      ++Count;
      absl::StrAppend(&EligibleServers, " ", Each.m_Name);
    }
    if (Count > 1 && m_Violation.empty())
      m_Violation = absl::StrCat(
          "range ", Range, " can be served by", EligibleServers, " at ",
          (m_Now - TimePoint(std::chrono::hours(1))) / Step, " ms");
    const auto Served = m_LastServed.find(Range);
    if (Served != m_LastServed.end())
      m_LongestOutage = std::max(
          m_LongestOutage,
          std::chrono::duration_cast<Milliseconds>(m_Now - Served->second));
  }
}

void OwnershipSimulation::step() {
  m_Now += Step;
  while (!m_Events.empty() && m_Events.top().m_At <= m_Now) {
    const auto Action = m_Events.top().m_Action;
    m_Events.pop();
    Action();
  }
  const auto Drain = [this](auto &Process) {
    if (!Process.m_IsAlive || m_Now < Process.m_PausedUntil)
      return;
    auto Inbox = std::move(Process.m_Inbox);
    Process.m_Inbox.clear();
    for (const auto &Action : Inbox)
      Action();
  };
  std::for_each(m_Hosts.begin(), m_Hosts.end(), Drain);
  std::for_each(m_Servers.begin(), m_Servers.end(), Drain);
  const auto Millis = m_Now.time_since_epoch() / Step;
  for (int Index = 0; Index < m_Options.m_Hosts; ++Index) {
    // Hosts tick, poll and send at different times.
    if (Millis % HostTickInterval.count() == Index % HostTickInterval.count())
      tickHost(Index);
    if (Millis % LogPollInterval.count() == Index * 7)
      readLog(Index);
    if (Millis % RequestInterval.count() == Index)
      sendRequest(Index);
  }
  observe();
}

void OwnershipSimulation::run(Milliseconds Length) {
  const TimePoint End = m_Now + Length;
  while (m_Now < End && m_Violation.empty())
    step();
}

std::optional<Milliseconds>
OwnershipSimulation::runUntil(const std::function<bool()> &Condition,
                              Milliseconds Limit) {
  const TimePoint Start = m_Now;
  while (m_Now - Start < Limit && m_Violation.empty()) {
    if (Condition())
      return std::chrono::duration_cast<Milliseconds>(m_Now - Start);
    step();
  }
  return std::nullopt;
}

void OwnershipSimulation::randomFault() {
  const int Host = static_cast<int>(m_Random() % m_Options.m_Hosts);
  const int Other = static_cast<int>(m_Random() % m_Options.m_Hosts);
  const int Server = static_cast<int>(m_Random() % m_Options.m_Servers);
  const Milliseconds Length(50 + m_Random() % 3000);
  switch (m_Random() % 16) {
  case 0:
    return pauseHost(Host, Length);
  case 1:
    crashHost(Host);
    return schedule(Length, [=] {
      if (!m_Hosts[Host].m_IsAlive)
        startHost(Host);
    });
  case 2:
    return pauseServer(Server, Length);
  case 3:
    crashServer(Server);
    return schedule(Length, [=] {
      if (!m_Servers[Server].m_IsAlive)
        startServer(Server);
    });
  case 4:
    cut(nameOfHost(Host), nameOfHost(Other), true);
    return schedule(Length,
                    [=] { cut(nameOfHost(Host), nameOfHost(Other), false); });
  case 5:
    isolateHost(Host, true);
    return schedule(Length, [=] { isolateHost(Host, false); });
  case 6:
    cut(nameOfHost(Host), nameOfServer(Server), true);
    return schedule(
        Length, [=] { cut(nameOfHost(Host), nameOfServer(Server), false); });
  case 7:
    cut(nameOfHost(Host), "log", true);
    return schedule(Length, [=] { cut(nameOfHost(Host), "log", false); });
  case 8:
    setLogDown(true);
    return schedule(Length, [=] { setLogDown(false); });
  case 9:
    setAppendRepliesLost(true);
    return schedule(Length, [=] { setAppendRepliesLost(false); });
  case 10:
    if (const int Decider = decider(); Decider >= 0)
      pauseHost(Decider, Length);
    return;
  case 11: {
    const bool Out = m_Pool.domainsOut().empty();
    Pool::Builder Changed(m_Pool.name());
    Changed.ownedByKey(true)
        .checksFences(m_Options.m_ChecksFences)
        .ranges(m_Options.m_Ranges);
    for (const Target &Each : m_Pool.targets())
      Changed.addTarget(Each);
    if (Out)
      Changed.domainsOut({"d1"});
    return setPool(Changed.build());
  }
  case 12:
    stopHost(Host);
    return schedule(Length, [=] {
      crashHost(Host);
      startHost(Host);
    });
  case 13:
  case 14:
    partition(true);
    return schedule(Length, [=] { partition(false); });
  default:
    if (const int Decider = decider(); Decider >= 0) {
      crashHost(Decider);
      schedule(Length, [=] {
        if (!m_Hosts[Decider].m_IsAlive)
          startHost(Decider);
      });
    }
  }
}

void OwnershipSimulation::clearFaults() {
  m_CutLinks.clear();
  m_IsLogDown = false;
  m_LosesAppendReplies = false;
  m_IsNetworkUnreliable = false;
  for (int Index = 0; Index < m_Options.m_Hosts; ++Index) {
    m_Hosts[Index].m_PausedUntil = TimePoint();
    if (!m_Hosts[Index].m_IsAlive)
      startHost(Index);
  }
  for (int Index = 0; Index < m_Options.m_Servers; ++Index) {
    m_Servers[Index].m_PausedUntil = TimePoint();
    if (!m_Servers[Index].m_IsAlive)
      startServer(Index);
  }
}

bool OwnershipSimulation::isServed(RangeId Range) const {
  const int Owner = ownerOf(Range);
  if (Owner < 0)
    return false;
  for (const Host &Each : m_Hosts) {
    if (!Each.m_IsAlive || m_Now < Each.m_PausedUntil)
      continue;
    const auto Entries = Each.m_View->entries();
    if (local(Each) < Each.m_View->validUntil() && Range < Entries.size() &&
        !Entries[Range].m_Pending &&
        Entries[Range].m_Server == m_Servers[Owner].m_Name)
      return true;
  }
  return false;
}

bool OwnershipSimulation::isAllServed() const {
  for (RangeId Range = 0; Range < m_Options.m_Ranges; ++Range)
    if (!isServed(Range))
      return false;
  return true;
}

int OwnershipSimulation::ownerOf(RangeId Range) const {
  for (size_t Index = 0; Index < m_Servers.size(); ++Index) {
    const Server &Each = m_Servers[Index];
    if (!Each.m_IsAlive || m_Now < Each.m_PausedUntil)
      continue;
    const auto &Held = Each.m_Holder->ranges();
    const auto It = Held.find(Range);
    if (It != Held.end() && local(Each) < Each.m_Holder->leaseEnd())
      return static_cast<int>(Index);
  }
  return -1;
}

int OwnershipSimulation::decider() const {
  for (size_t Index = 0; Index < m_Hosts.size(); ++Index)
    if (m_Hosts[Index].m_IsAlive &&
        m_Hosts[Index].m_Node->report(local(m_Hosts[Index])).m_IsActing)
      return static_cast<int>(Index);
  return -1;
}

std::string OwnershipSimulation::describe() {
  std::string Text;
  for (Host &Each : m_Hosts) {
    const GroupReport Report = Each.m_Node->report(local(Each));
    absl::StrAppend(
        &Text, "\n", Each.m_Node->self(), Each.m_IsAlive ? "" : " dead",
        ": term ", Report.m_Term, " version ", Report.m_Version, " holder ",
        Report.m_Holder, Report.m_IsActing ? " acting" : "",
        Report.m_IsCold ? " cold" : "", " pending ", Report.m_PendingRanges,
        " suspect ", Report.m_SuspectServers, " electors ",
        absl::StrJoin(Report.m_Electors, ","), " right for ",
        (Each.m_View->validUntil() - local(Each)) / Step, " ms");
  }
  for (RangeId Range = 0; Range < m_Options.m_Ranges; ++Range)
    absl::StrAppend(&Text, "\nrange ", Range, ": log ",
                    m_Hosts[0].m_Node->state().owners().size() > Range
                        ? m_Hosts[0].m_Node->state().owners()[Range].m_Server
                        : "?",
                    " holder ", ownerOf(Range),
                    isServed(Range) ? "" : " NOT SERVED");
  return Text;
}

Milliseconds OwnershipSimulation::longestOutage() const {
  return m_LongestOutage;
}

void OwnershipSimulation::resetOutages() {
  m_LongestOutage = Milliseconds(0);
  for (auto &[Range, Moment] : m_LastServed)
    Moment = m_Now;
}

} // namespace monsoon
