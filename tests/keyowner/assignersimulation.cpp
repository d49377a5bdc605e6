#include "keyowner/assignersimulation.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace monsoon {

namespace {

constexpr Milliseconds TickInterval{50};
constexpr Milliseconds ReportInterval{200};
/// A host that is no longer a member is counted for this long.
constexpr Milliseconds DepartureGrace{6000};
constexpr Milliseconds MemberInterval{400};
constexpr Milliseconds NetworkDelay{2};
constexpr Milliseconds CallTimeout{900};
constexpr Milliseconds GrantTimeout{600};
constexpr Milliseconds ReleaseTimeout{4000};
constexpr Milliseconds ConnectTimeout{300};
/// Time after which the entry of a crashed server is removed.
constexpr Milliseconds EntryLifetime{2600};
constexpr Milliseconds LeaseDuration{1500};
constexpr Milliseconds JoinInterval{400};
constexpr const char *Pool = "ledger";
/// The part of an offset that the log knows.
constexpr uint64_t StoredOffsetMask = (uint64_t{1} << LogEpochShift) - 1;

bool overlaps(const KeyRange &A, const KeyRange &B) {
  return A.m_First <= B.m_Last && B.m_First <= A.m_Last;
}

} // namespace

/// Prints events when MONSOON_TRACE is set.
class AssignerSimulation::Events : public EventSink {
public:
  explicit Events(const Clock &Time) : m_Clock(Time) {}

  void event(Severity /*Level*/, const char *Name,
             const Details &Fields) override {
    if (!m_IsEnabled)
      return;
    std::string Line = absl::StrCat(
        std::chrono::duration<double>(m_Clock.now().time_since_epoch()).count(),
        " ", Name);
    for (const auto &[Field, Value] : Fields)
      absl::StrAppend(&Line, " ", Field, "=", Value);
    std::puts(Line.c_str());
  }

private:
  const Clock &m_Clock;
  const bool m_IsEnabled = std::getenv("MONSOON_TRACE") != nullptr;
};

/// The log as reached by one host.
class AssignerSimulation::Log : public SharedLog {
public:
  Log(AssignerSimulation &Sim, unsigned Host) : m_Sim(Sim), m_Host(Host) {}

  void append(const std::string & /*Topic*/,
              const std::vector<KeyedRecord> &Records,
              std::optional<LogOffset> At, AppendDone Done) override {
    if (isLogUnreachable()) {
      fail(std::move(Done));
      return;
    }
    const bool Lost = m_Sim.chance() < m_Sim.m_LostAppends;
    const bool Late = Lost && m_Sim.chance() < m_Sim.m_LateAppends;
    Duration Delay = m_Sim.m_LogDelay;
    if (Late)
      Delay = Milliseconds(1000 + m_Sim.random()() % 5000);
    m_Sim.m_Time.after(
        Delay, [this, &Sim = m_Sim, Host = m_Host, Lost, Records, At, Done]() {
          // The log knows the offset within its present epoch only.
          const uint64_t Epoch = Sim.m_Epoch;
          const LogOffset End = Sim.m_Records.size();
          const bool IsAtEnd = !At || (*At & StoredOffsetMask) == End;
          if (IsAtEnd) {
            for (const KeyedRecord &Each : Records)
              Sim.m_Records.emplace_back(Sim.m_Time.now(), Each);
            Sim.wakeReaders();
          }
          if (Lost)
            return;
          const LogOffset NewEnd = Sim.m_Records.size();
          Sim.deliver(Host, NetworkDelay,
                      [IsAtEnd, Done, &Sim, Host, Epoch, NewEnd, At]() {
                        const bool IsUsable = Sim.noteEpoch(Host, Epoch);
                        if (IsUsable && !IsAtEnd)
                          Done(Failure{ErrorKind::VersionLost, ""});
                        else if (IsUsable && (!At || logEpoch(*At) == Epoch))
                          Done(LogOffset(firstOffset(Epoch) + NewEnd));
                        else
                          Done(Failure{ErrorKind::LogUnavailable, ""});
                      });
        });
    if (Lost)
      fail(std::move(Done));
  }

  void read(const std::string & /*Topic*/, LogOffset From, Milliseconds Wait,
            ReadDone Done) override {
    if (isLogUnreachable()) {
      fail(std::move(Done));
      return;
    }
    const auto Answered = std::make_shared<bool>(false);
    const TimePoint Start = m_Sim.m_Time.now();
    const auto Answer = [this, &Sim = m_Sim, Host = m_Host, From, Done,
                         Answered, Start, Wait]() {
      if (std::exchange(*Answered, true))
        return;
      // A read that was waiting when the outage began is never answered; it
      // times out.
      if (Sim.m_LastOutage >= Start) {
        const TimePoint End = Start + Wait + CallTimeout;
        Sim.deliver(Host, End - Sim.m_Time.now(), [Done]() {
          Done(Failure{ErrorKind::LogUnavailable, ""});
        });
        return;
      }
      if (Sim.m_LogDown || Sim.m_CutFromLog.count(Host) > 0) {
        fail(Done);
        return;
      }
      const uint64_t Epoch = Sim.m_Epoch;
      KeyedPage Page;
      Page.m_End = firstOffset(Epoch) + Sim.m_Records.size();
      for (LogOffset At = From & StoredOffsetMask; At < Sim.m_Records.size();
           ++At)
        Page.m_Records.push_back(Sim.recordAt(At));
      Sim.deliver(Host, Sim.m_LogDelay,
                  [Done, Page, &Sim, Host, Epoch, From]() {
                    if (!Sim.noteEpoch(Host, Epoch) || logEpoch(From) > Epoch)
                      Done(Failure{ErrorKind::LogUnavailable, ""});
                    else if (logEpoch(From) < Epoch)
                      Done(Failure{ErrorKind::RecordsExpired, ""});
                    else
                      Done(Page);
                  });
    };
    if (m_Sim.m_Records.size() > (From & StoredOffsetMask) ||
        Wait.count() == 0) {
      m_Sim.m_Time.after(NetworkDelay, Answer);
      return;
    }
    m_Sim.m_Readers.push_back(Answer);
    m_Sim.m_Time.after(Wait, Answer);
  }

  void readNewest(const std::string & /*Topic*/, ReadDone Done) override {
    if (isLogUnreachable()) {
      fail(std::move(Done));
      return;
    }
    KeyedPage Page;
    std::map<std::string, KeyedRecord> Newest;
    for (LogOffset At = 0; At < m_Sim.m_Records.size(); ++At)
      Newest[m_Sim.m_Records[At].second.m_Key] = m_Sim.recordAt(At);
    for (const auto &[Key, Record] : Newest)
      Page.m_Records.push_back(Record);
    const uint64_t Epoch = m_Sim.m_Epoch;
    Page.m_End = firstOffset(Epoch) + m_Sim.m_Records.size();
    m_Sim.deliver(m_Host, m_Sim.m_LogDelay,
                  [Done, Page, &Sim = m_Sim, Host = m_Host, Epoch]() {
                    if (Sim.noteEpoch(Host, Epoch))
                      Done(Page);
                    else
                      Done(Failure{ErrorKind::LogUnavailable, ""});
                  });
  }

private:
  bool isLogUnreachable() const {
    return m_Sim.m_LogDown || m_Sim.m_CutFromLog.count(m_Host) > 0;
  }

  template <typename T> void fail(T Done) {
    m_Sim.deliver(m_Host, CallTimeout, [Done]() {
      Done(Failure{ErrorKind::LogUnavailable, ""});
    });
  }

  AssignerSimulation &m_Sim;
  const unsigned m_Host;
};

/// The servers as reached by one host.
class AssignerSimulation::Grants : public GrantChannel {
public:
  Grants(AssignerSimulation &Sim, unsigned Host) : m_Sim(Sim), m_Host(Host) {}

  Milliseconds grantTimeout() const override {
    return GrantTimeout + ConnectTimeout;
  }

  void grant(const TargetInfo &To, const KeyGrant &Order,
             GrantDone Done) override {
    if (m_Sim.m_ForeignAddresses.count(To.m_Address.m_Host) > 0) {
      m_Sim.deliver(m_Host, 2 * NetworkDelay,
                    [Done]() { Done(GrantCallResult::Rejected); });
      return;
    }
    SimServer *Server = reach(To);
    if (!Server) {
      m_Sim.deliver(m_Host, ConnectTimeout,
                    [Done]() { Done(GrantCallResult::Unreachable); });
      return;
    }
    const TimePoint Arrival = m_Sim.m_Time.now() + NetworkDelay;
    const std::string Address = To.m_Address.m_Host;
    if (m_Sim.chance() < m_Sim.m_LateGrants) {
      // The hold time counts from the arrival, although the grant is carried
      // out later.
      m_Sim.m_Time.after(
          Milliseconds(2000 + m_Sim.random()() % 10'000),
          [&Sim = m_Sim, Id = To.m_Id, Address, Order, Arrival]() {
            Sim.handleGrant(Id, Address, Order, Arrival,
                            [](GrantCallResult /*Result*/) {});
          });
      m_Sim.deliver(m_Host, GrantTimeout,
                    [Done]() { Done(GrantCallResult::Unanswered); });
      return;
    }
    // The host waits no longer than the timeout, also if the server is gone
    // when the grant arrives.
    const auto Answered = std::make_shared<bool>(false);
    m_Sim.m_Time.at(Arrival, [&Sim = m_Sim, Host = m_Host, Id = To.m_Id,
                              Address, Order, Arrival, Answered, Done]() {
      Sim.handleGrant(Id, Address, Order, Arrival,
                      [&Sim, Host, Answered, Done](GrantCallResult Result) {
                        *Answered = true;
                        Sim.deliver(Host, NetworkDelay,
                                    [Done, Result]() { Done(Result); });
                      });
    });
    m_Sim.deliver(m_Host, GrantTimeout, [Answered, Done]() {
      if (!*Answered)
        Done(GrantCallResult::Unanswered);
    });
  }

  void release(const TargetInfo &From, const KeyRange &Keys, uint64_t /*Fence*/,
               ReleaseDone Done) override {
    if (m_Sim.m_ForeignAddresses.count(From.m_Address.m_Host) > 0) {
      m_Sim.deliver(m_Host, 2 * NetworkDelay,
                    [Done]() { Done(GrantCallResult::Rejected, ""); });
      return;
    }
    SimServer *Server = reach(From);
    if (!Server || Server->m_Info.m_Id != From.m_Id) {
      m_Sim.deliver(m_Host, ConnectTimeout,
                    [Done]() { Done(GrantCallResult::Unreachable, ""); });
      return;
    }
    const Duration RandomWork = Milliseconds(m_Sim.random()() % 400);
    m_Sim.m_Time.after(NetworkDelay, [&Sim = m_Sim, Host = m_Host, RandomWork,
                                      Keys, Id = From.m_Id, Done]() {
      const auto Found = Sim.m_Servers.find(Id);
      if (Found == Sim.m_Servers.end()) {
        Sim.deliver(Host, ReleaseTimeout,
                    [Done]() { Done(GrantCallResult::Unanswered, ""); });
        return;
      }
      SimServer &Server = *Found->second;
      const Duration Work =
          Server.m_WorkTime > Duration::zero() ? Server.m_WorkTime : RandomWork;
      const TimePoint End = Sim.releaseKeys(Server, Keys, Work);
      Sim.deliver(Host, End - Sim.m_Time.now() + NetworkDelay,
                  [Done]() { Done(GrantCallResult::Accepted, "handover"); });
    });
  }

private:
  SimServer *reach(const TargetInfo &To) {
    SimServer *Server = m_Sim.serverAt(To.m_Address.m_Host);
    if (!Server || Server->m_IsPartitioned ||
        m_Sim.m_CutFromServer.count({m_Host, Server->m_Info.m_Id}) > 0)
      return nullptr;
    return Server;
  }

  AssignerSimulation &m_Sim;
  const unsigned m_Host;
};

/// The leases as known to one host. The simulation confirms them at intervals
/// and may give the lease to another host before this host's copy expires.
class AssignerSimulation::Leases : public LeaseSource {
public:
  TimePoint heldUntil(const std::string & /*Name*/) const override {
    return m_HeldUntil;
  }
  TimePoint confirmedAt() const override { return m_Confirmed; }
  Milliseconds longestLease() const override { return LeaseDuration; }

  TimePoint m_HeldUntil{};
  TimePoint m_Confirmed{};
};

struct AssignerSimulation::Host {
  std::unique_ptr<Log> m_Log;
  std::unique_ptr<Grants> m_Grants;
  std::unique_ptr<Leases> m_Leases;
  std::unique_ptr<RangeAssigner> m_Assigner;
  uint64_t m_Incarnation = 0;
  /// Latest epoch of the log that an answer has named.
  uint64_t m_Epoch = FirstLogEpoch;
  /// Until when each other host is counted.
  std::map<std::string, TimePoint> m_CountedUntil;
  TimePoint m_PausedUntil{};
};

AssignerSimulation::AssignerSimulation(unsigned Hosts, unsigned Servers,
                                       uint64_t Seed, AssignerTimes Times)
    : m_Random(Seed), m_Times(Times),
      m_EventSink(std::make_unique<Events>(m_Time)),
      m_HighestFence(KeyCount, 0), m_FenceOwner(KeyCount) {
  for (unsigned Index = 0; Index < Servers; ++Index)
    addServer();
  for (unsigned Index = 0; Index < Hosts; ++Index) {
    m_Hosts.push_back(std::make_unique<Host>());
    m_Hosts.back()->m_Log = std::make_unique<Log>(*this, Index);
    m_Hosts.back()->m_Grants = std::make_unique<Grants>(*this, Index);
    startHost(Index);
    m_Time.after(Milliseconds(Index), [this, Index]() { tickHost(Index); });
  }
  m_Time.after(Milliseconds(0), [this]() { publishTargets(); });
  m_Time.after(Milliseconds(0), [this]() { assignLeases(); });
  m_Time.after(Milliseconds(0), [this]() { exchangeReports(); });
}

AssignerSimulation::~AssignerSimulation() = default;

RangeAssigner *AssignerSimulation::assigner(unsigned Index) {
  return m_Hosts[Index]->m_Assigner.get();
}

unsigned AssignerSimulation::hosts() const {
  return static_cast<unsigned>(m_Hosts.size());
}

void AssignerSimulation::startHost(unsigned Index) {
  Host &Each = *m_Hosts[Index];
  ++Each.m_Incarnation;
  Each.m_Epoch = FirstLogEpoch;
  Each.m_CountedUntil.clear();
  Each.m_Leases = std::make_unique<Leases>();
  Each.m_Assigner = std::make_unique<RangeAssigner>(
      hostName(Index), Pool, "owners", m_Times,
      RangeAssigner::Parts{m_Time, *Each.m_Log, *Each.m_Grants, *Each.m_Leases,
                           *m_EventSink});
  Each.m_Assigner->follower().setReaderRank(Index);
}

void AssignerSimulation::exchangeReports() {
  for (unsigned From = 0; From < hosts(); ++From) {
    RangeAssigner *Assigner = assigner(From);
    if (!Assigner || m_Time.now() < m_Hosts[From]->m_PausedUntil)
      continue;
    HostReport Report;
    Report.m_Host = hostName(From);
    Report.m_OwnerUpdates = Assigner->takeUpdates();
    if (Assigner->isSynced())
      Report.m_Topics.emplace("owners", Assigner->follower().progress());
    if (const auto Ended = Assigner->endedTerm())
      Report.m_EndedTerms.emplace(Pool, *Ended);
    if (const auto Former = Assigner->formerOwners())
      Report.m_FormerOwners.emplace(Pool, *Former);
    for (unsigned To = 0; To < hosts(); ++To)
      if (To != From && chance() >= m_LostReports &&
          m_CutFromPeers.count(From) + m_CutFromPeers.count(To) == 0)
        deliver(To, NetworkDelay, [this, From, To, Report]() {
          deliverReport(From, To, Report);
        });
  }
  m_Time.after(ReportInterval, [this]() { exchangeReports(); });
}

void AssignerSimulation::deliverReport(unsigned From, unsigned To,
                                       const HostReport &Report) {
  RangeAssigner &Assigner = *assigner(To);
  for (const OwnerTableUpdate &Each : Report.m_OwnerUpdates)
    Assigner.applyUpdate(Each);
  for (const auto &[Topic, Progress] : Report.m_Topics)
    Assigner.follower().applyPeerProgress(Progress);
  for (const auto &[Name, Ended] : Report.m_EndedTerms)
    Assigner.applyEndedTerm(Report.m_Host, Ended);
  for (const auto &[Name, Former] : Report.m_FormerOwners)
    Assigner.applyFormerOwners(Report.m_Host, Former);
  if (m_CutFromLog.count(From) == 0 && !m_LogDown)
    Assigner.noteLogReachable(m_Time.now());
}

std::string AssignerSimulation::hostName(unsigned Index) const {
  return absl::StrCat("host", Index, "#", m_Hosts[Index]->m_Incarnation);
}

void AssignerSimulation::passHostNames(unsigned Index,
                                       const std::set<std::string> &Members) {
  const TimePoint Now = m_Time.now();
  auto &Counted = m_Hosts[Index]->m_CountedUntil;
  for (const std::string &Each : Members)
    Counted[Each] = Now + DepartureGrace;
  std::set<std::string> Names;
  for (auto It = Counted.begin(); It != Counted.end();) {
    if (Now >= It->second) {
      It = Counted.erase(It);
      continue;
    }
    Names.insert((It++)->first);
  }
  m_Hosts[Index]->m_Assigner->setHostNames(std::move(Names));
}

void AssignerSimulation::giveLease(unsigned Index) {
  m_LeaseMember = Index;
  m_LeaseEnd = m_Time.now() + LeaseDuration;
}

KeyedRecord AssignerSimulation::recordAt(LogOffset At) const {
  KeyedRecord Record = m_Records[At].second;
  Record.m_Offset = firstOffset(m_Epoch) + At;
  return Record;
}

bool AssignerSimulation::noteEpoch(unsigned Index, uint64_t Epoch) {
  Host &Each = *m_Hosts[Index];
  if (Epoch < Each.m_Epoch)
    return false;
  if (std::exchange(Each.m_Epoch, Epoch) < Epoch)
    Each.m_Assigner->noteLogEpoch(Epoch, m_Time.now());
  return true;
}

void AssignerSimulation::restoreLog(Duration Outage, Duration Lost) {
  const TimePoint Copied = m_Time.now() - Lost;
  m_LogDown = true;
  m_LastOutage = m_Time.now();
  m_Time.after(Outage, [this, Copied]() {
    while (!m_Records.empty() && m_Records.back().first > Copied)
      m_Records.pop_back();
    ++m_Epoch;
    m_LogDown = false;
    // The group forgets its newest assignment as well.
    if (chance() < 0.5)
      m_LeaseMember = static_cast<unsigned>(m_Random() % hosts());
    wakeReaders();
  });
}

void AssignerSimulation::crashHost(unsigned Index) {
  ++m_Hosts[Index]->m_Incarnation;
  m_Hosts[Index]->m_Assigner = nullptr;
}

void AssignerSimulation::pauseHost(unsigned Index, Duration Length) {
  m_Hosts[Index]->m_PausedUntil = m_Time.now() + Length;
}

void AssignerSimulation::assignLeases() {
  const TimePoint Now = m_Time.now();
  if (m_LogDown)
    m_LastOutage = Now;
  const auto Reaches = [&](unsigned Index) {
    return !m_LogDown && m_CutFromLog.count(Index) == 0 &&
           m_Hosts[Index]->m_Assigner && Now >= m_Hosts[Index]->m_PausedUntil;
  };
  // An unreachable holder keeps the lease until it expires, unless
  // m_ReassignLease is set.
  int NotInformed = -1;
  if (!m_LogDown && (Now >= m_LeaseEnd || m_ReassignLease)) {
    // The former holder relies on its lease until it is told otherwise at the
    // next interval.
    if (std::exchange(m_ReassignLease, false))
      NotInformed = static_cast<int>(m_LeaseMember);
    m_LeaseMember = (m_LeaseMember + 1) % hosts();
    for (unsigned Tries = 0; Tries < hosts() && !Reaches(m_LeaseMember);
         ++Tries)
      m_LeaseMember = (m_LeaseMember + 1) % hosts();
    m_LeaseEnd = Now;
  }
  std::set<std::string> Members;
  for (unsigned Index = 0; Index < hosts(); ++Index)
    if (m_Hosts[Index]->m_Assigner)
      Members.insert(hostName(Index));
  for (unsigned Index = 0; Index < hosts(); ++Index) {
    if (!Reaches(Index) || static_cast<int>(Index) == NotInformed)
      continue;
    const bool Holds = Index == m_LeaseMember;
    if (Holds)
      m_LeaseEnd = Now + LeaseDuration;
    deliver(Index, m_LogDelay, [=, Epoch = m_Epoch]() {
      if (!noteEpoch(Index, Epoch))
        return;
      passHostNames(Index, Members);
      m_Hosts[Index]->m_Leases->m_Confirmed = Now;
      m_Hosts[Index]->m_Leases->m_HeldUntil =
          Holds ? Now + LeaseDuration : TimePoint{};
    });
  }
  m_Time.after(JoinInterval, [this]() { assignLeases(); });
}

void AssignerSimulation::tickHost(unsigned Index) {
  deliver(Index, Duration::zero(), [this, Index]() {
    if (m_Hosts[Index]->m_Assigner)
      m_Hosts[Index]->m_Assigner->tick();
  });
  m_Time.after(TickInterval, [this, Index]() { tickHost(Index); });
}

void AssignerSimulation::deliver(unsigned Index, Duration Delay,
                                 std::function<void()> What) {
  m_Time.after(Delay, [this, Index, Incarnation = m_Hosts[Index]->m_Incarnation,
                       What = std::move(What)]() {
    Host &Each = *m_Hosts[Index];
    if (Each.m_Incarnation != Incarnation || !Each.m_Assigner)
      return;
    if (m_Time.now() >= Each.m_PausedUntil) {
      What();
      return;
    }
    m_Time.at(Each.m_PausedUntil, [&Each, Incarnation, What]() {
      if (Each.m_Incarnation == Incarnation && Each.m_Assigner)
        What();
    });
  });
}

void AssignerSimulation::wakeReaders() {
  for (const auto &Each : std::exchange(m_Readers, {}))
    m_Time.after(NetworkDelay, Each);
}

void AssignerSimulation::publishTargets() {
  std::map<std::string, TargetInfo> Known;
  std::map<std::string, double> Usable;
  const auto AddTarget = [&](const SimServer &Each) {
    Known.emplace(Each.m_Info.m_Id, Each.m_Info);
    if (!Each.m_Info.m_Draining &&
        m_DomainsOut.count(Each.m_Info.m_FailureDomain) == 0)
      Usable.emplace(Each.m_Info.m_Id, 4);
  };
  for (const auto &[Id, Each] : m_Servers)
    AddTarget(*Each);
  for (unsigned Index = 0; Index < hosts(); ++Index) {
    if (m_LogDown || m_CutFromLog.count(Index) > 0)
      continue;
    deliver(Index, Milliseconds(m_Random() % 300),
            [this, Index, Known, Usable]() {
              m_Hosts[Index]->m_Assigner->setTargets(Known, Usable);
            });
  }
  m_Time.after(MemberInterval, [this]() { publishTargets(); });
}

TimePoint AssignerSimulation::releaseKeys(SimServer &Server,
                                          const KeyRange &Keys, Duration Work) {
  const TimePoint Now = m_Time.now();
  std::vector<SimServer::Hold> Kept;
  for (const SimServer::Hold &Each : Server.m_Holds) {
    if (!overlaps(Each.m_Keys, Keys)) {
      Kept.push_back(Each);
      continue;
    }
    if (Each.m_Until > Now)
      Server.m_Work.push_back({{std::max(Each.m_Keys.m_First, Keys.m_First),
                                std::min(Each.m_Keys.m_Last, Keys.m_Last)},
                               Now + Work,
                               Each.m_Until});
    SimServer::Hold Left = Each;
    Left.m_Keys.m_Last = Keys.m_First - 1;
    if (Each.m_Keys.m_First < Keys.m_First)
      Kept.push_back(Left);
    SimServer::Hold Right = Each;
    Right.m_Keys.m_First = Keys.m_Last + 1;
    if (Each.m_Keys.m_Last > Keys.m_Last)
      Kept.push_back(Right);
  }
  Server.m_Holds = Kept;
  TimePoint End = Now;
  for (const SimServer::RunningWork &Each : Server.m_Work)
    if (overlaps(Each.m_Keys, Keys))
      End = std::max(End, Each.m_End);
  return End;
}

SimServer *AssignerSimulation::serverAt(const std::string &Address) {
  for (const auto &[Id, Each] : m_Servers)
    if (Each->m_IsUp && Each->m_Info.m_Address.m_Host == Address)
      return Each.get();
  return nullptr;
}

void AssignerSimulation::handleGrant(
    const std::string &Id, const std::string &Address, const KeyGrant &Order,
    TimePoint Arrived, const std::function<void(GrantCallResult)> &Done) {
  SimServer *Server = serverAt(Address);
  if (!Server)
    return;
  if (Server->m_Info.m_Id != Id) {
    Done(GrantCallResult::Misdirected);
    return;
  }
  const TimePoint Now = m_Time.now();
  // A grant whose hold time expired before it was handled has no effect.
  if (Arrived + Order.m_Hold <= Now)
    return;
  for (const SimServer::Hold &Each : Server->m_AcceptedGrants)
    if (overlaps(Each.m_Keys, Order.m_Keys) && Each.m_Fence > Order.m_Fence) {
      Done(GrantCallResult::Fenced);
      return;
    }
  SimServer::Hold Hold;
  Hold.m_Keys = Order.m_Keys;
  Hold.m_Fence = Order.m_Fence;
  Hold.m_Until = Arrived + std::chrono::duration_cast<Duration>(
                               Order.m_Hold * Server->m_ClockRate);
  Server->m_AcceptedGrants.push_back(Hold);
  Server->m_Holds.erase(
      std::remove_if(Server->m_Holds.begin(), Server->m_Holds.end(),
                     [&](const SimServer::Hold &Each) {
                       return Each.m_Until <= Now || Each.m_Keys == Hold.m_Keys;
                     }),
      Server->m_Holds.end());
  Server->m_Holds.push_back(Hold);
  if (Hold.m_Until > Now)
    for (const auto &[OtherId, Other] : m_Servers) {
      if (OtherId == Id || !Other->m_IsUp)
        continue;
      for (const SimServer::Hold &Each : Other->m_Holds)
        if (Each.m_Until > Now && overlaps(Each.m_Keys, Hold.m_Keys))
          violation(absl::StrCat(OtherId, " and ", Id, " both hold key ",
                                 Hold.m_Keys.m_First, ".., fences ",
                                 Each.m_Fence, " and ", Hold.m_Fence));
      for (const SimServer::RunningWork &Each : Other->m_Work)
        if (Each.m_End > Now && Each.m_HeldUntil > Now &&
            overlaps(Each.m_Keys, Hold.m_Keys))
          violation(absl::StrCat(Id, " got key ", Hold.m_Keys.m_First,
                                 ".. with fence ", Hold.m_Fence, " while ",
                                 OtherId, " still works on it"));
    }
  for (uint32_t Key = Order.m_Keys.m_First; Key <= Order.m_Keys.m_Last; ++Key) {
    if (m_HighestFence[Key] >= Order.m_Fence && m_FenceOwner[Key] != Id &&
        !m_FenceOwner[Key].empty()) {
      violation(absl::StrCat("key ", Key, " went to ", Id, " with fence ",
                             Order.m_Fence, "; ", m_FenceOwner[Key], " had ",
                             m_HighestFence[Key]));
      break;
    }
    m_HighestFence[Key] = std::max(m_HighestFence[Key], Order.m_Fence);
    m_FenceOwner[Key] = Id;
  }
  Done(GrantCallResult::Accepted);
}

void AssignerSimulation::violation(const std::string &What) {
  m_Violations.push_back(absl::StrCat(
      std::chrono::duration<double>(m_Time.now().time_since_epoch()).count(),
      ": ", What));
}

void AssignerSimulation::addServer() {
  auto Server = std::make_unique<SimServer>();
  const int64_t Number = m_NextIncarnation++;
  Server->m_Info.m_Id = absl::StrCat("s", Number);
  Server->m_Info.m_Pool = Pool;
  Server->m_Info.m_Address = {absl::StrCat("a", Number), 80};
  Server->m_Info.m_FailureDomain = absl::StrCat("d", Number % 3);
  Server->m_Info.m_Slots = 4;
  Server->m_Info.m_Incarnation = Number;
  m_Servers.emplace(Server->m_Info.m_Id, std::move(Server));
}

void AssignerSimulation::crashServer(const std::string &Id) {
  SimServer &Server = *m_Servers.at(Id);
  Server.m_IsUp = false;
  Server.m_Holds.clear();
  Server.m_Work.clear();
  m_Time.after(EntryLifetime,
               [this, Id, Incarnation = Server.m_Info.m_Incarnation]() {
                 const auto Found = m_Servers.find(Id);
                 if (Found != m_Servers.end() &&
                     Found->second->m_Info.m_Incarnation == Incarnation &&
                     !Found->second->m_IsUp)
                   m_Servers.erase(Found);
               });
}

std::string AssignerSimulation::restartServer(const std::string &Id,
                                              bool SameId) {
  SimServer &Old = *m_Servers.at(Id);
  auto Next = std::make_unique<SimServer>();
  Next->m_Info = Old.m_Info;
  Next->m_Info.m_Incarnation = m_NextIncarnation++;
  if (!SameId)
    Next->m_Info.m_Id = absl::StrCat("s", Next->m_Info.m_Incarnation);
  const std::string NewId = Next->m_Info.m_Id;
  if (SameId) {
    m_Servers[NewId] = std::move(Next);
  } else {
    crashServer(Id);
    m_Servers.emplace(NewId, std::move(Next));
  }
  return NewId;
}

void AssignerSimulation::replaceByForeignServer(const std::string &Id) {
  m_ForeignAddresses.insert(m_Servers.at(Id)->m_Info.m_Address.m_Host);
  crashServer(Id);
}

void AssignerSimulation::drainServer(const std::string &Id) {
  SimServer &Server = *m_Servers.at(Id);
  Server.m_Info.m_Draining = true;
  m_Time.after(std::chrono::seconds(5), [this, Id]() {
    if (m_Servers.count(Id) > 0)
      crashServer(Id);
  });
}

void AssignerSimulation::partitionServer(const std::string &Id,
                                         Duration Length) {
  m_Servers.at(Id)->m_IsPartitioned = true;
  m_Time.after(Length, [this, Id]() {
    const auto Found = m_Servers.find(Id);
    if (Found != m_Servers.end())
      Found->second->m_IsPartitioned = false;
  });
}

void AssignerSimulation::setDomainOut(const std::string &Domain, bool Out) {
  if (Out)
    m_DomainsOut.insert(Domain);
  else
    m_DomainsOut.erase(Domain);
}

void AssignerSimulation::clearFaults() {
  m_LogDown = false;
  m_LostAppends = m_LateAppends = m_LateGrants = 0;
  m_LogDelay = Milliseconds(4);
  m_CutFromLog.clear();
  m_CutFromServer.clear();
  m_CutFromPeers.clear();
  m_DomainsOut.clear();
  for (const auto &[Id, Each] : m_Servers)
    Each->m_IsPartitioned = false;
  for (unsigned Index = 0; Index < hosts(); ++Index)
    if (!m_Hosts[Index]->m_Assigner)
      startHost(Index);
}

int AssignerSimulation::holder() const {
  for (unsigned Index = 0; Index < hosts(); ++Index)
    if (m_Hosts[Index]->m_Assigner && m_Hosts[Index]->m_Assigner->isHolder())
      return static_cast<int>(Index);
  return -1;
}

std::vector<std::string> AssignerSimulation::serverIds() const {
  std::vector<std::string> Result;
  for (const auto &[Id, Each] : m_Servers)
    if (Each->m_IsUp)
      Result.push_back(Id);
  return Result;
}

std::string AssignerSimulation::holderOf(uint32_t Key) const {
  for (const auto &[Id, Each] : m_Servers) {
    if (!Each->m_IsUp || Each->m_IsPartitioned)
      continue;
    for (const SimServer::Hold &Hold : Each->m_Holds)
      if (Hold.m_Until > m_Time.now() && Hold.m_Keys.contains(Key))
        return Id;
  }
  return "";
}

uint32_t AssignerSimulation::unservedKeys() const {
  uint32_t Count = 0;
  for (uint32_t Key = 0; Key < KeyCount; Key += 16)
    Count += holderOf(Key).empty() ? 16 : 0;
  return Count;
}

} // namespace monsoon
