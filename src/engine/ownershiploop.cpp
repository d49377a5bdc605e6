#include "engine/ownershiploop.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace {

constexpr Milliseconds TickInterval{10};
constexpr Milliseconds ReadInterval{150};
constexpr int Workers = 24;
constexpr size_t QueueLimit = 4096;

Failure unknownGroup(const std::string &Pool) {
  return Failure{
      ErrorKind::NoConfiguration,
      absl::StrCat("pool \"", Pool, "\" is not owned by key on this host")};
}

} // namespace

OwnershipLoop::OwnershipLoop(HostId Self, const OwnershipTiming &Timing,
                             OwnershipPorts Ports)
    : m_Self(std::move(Self)), m_Timing(Timing), m_Ports(Ports),
      m_Workers(Workers, QueueLimit),
      m_Ticker(TickInterval, [this] { tick(); }) {}

OwnershipLoop::~OwnershipLoop() {
  m_Ticker.stop();
  m_Workers.stop();
}

void OwnershipLoop::setTable(const std::shared_ptr<const RoutingTable> &Table,
                             const std::set<std::string> &Leaving) {
  if (!Table->m_Tables)
    return;
  for (const Pool &Each : Table->m_Tables->pools()) {
    if (!Each.isOwnedByKey())
      continue;
    GroupPtr Member;
    {
      const absl::MutexLock Lock(&m_Mutex);
      GroupPtr &Slot = m_Groups[Each.name()];
      if (!Slot)
        Slot = std::make_shared<Group>(m_Self, Each.name(), m_Timing,
                                       Table->runtime(Each.name()),
                                       m_Ports.m_Time.now());
      Member = Slot;
    }
    const absl::MutexLock Lock(&Member->m_Mutex);
    Member->m_Node.setPool(Each, Leaving);
  }
}

void OwnershipLoop::setHosts(const std::set<HostId> &Hosts) {
  {
    const absl::MutexLock Lock(&m_Mutex);
    m_Hosts = Hosts;
  }
  for (const GroupPtr &Each : groups()) {
    const absl::MutexLock Lock(&Each->m_Mutex);
    Each->m_Node.setHosts(Hosts);
  }
}

std::vector<OwnershipLoop::GroupPtr> OwnershipLoop::groups() const {
  const absl::MutexLock Lock(&m_Mutex);
  std::vector<GroupPtr> Result;
  for (const auto &[Name, Each] : m_Groups)
    Result.push_back(Each);
  return Result;
}

OwnershipLoop::GroupPtr
OwnershipLoop::findGroup(const std::string &Pool) const {
  const absl::MutexLock Lock(&m_Mutex);
  const auto It = m_Groups.find(Pool);
  return It == m_Groups.end() ? nullptr : It->second;
}

void OwnershipLoop::tick() {
  for (const GroupPtr &Each : groups()) {
    const TimePoint Now = m_Ports.m_Time.now();
    if (Now - Each->m_LastReadAt >= ReadInterval) {
      Each->m_LastReadAt = Now;
      startRead(Each);
    }
    Outbox Out;
    {
      const absl::MutexLock Lock(&Each->m_Mutex);
      Out = Each->m_Node.tick(m_Ports.m_Time.now());
    }
    dispatch(Each, Out);
  }
}

void OwnershipLoop::dispatch(const GroupPtr &Each, const Outbox &Out) {
  for (const Outbox::ToHost &Message : Out.m_ToHosts)
    m_Workers.tryRun([this, Each, Message] { sendToPeer(Each, Message); });
  for (const GrantOrder &Order : Out.m_Grants)
    m_Workers.tryRun([this, Each, Order] { sendGrant(Each, Order); });
  for (const OwnershipRecord &Record : Out.m_Appends)
    m_Workers.tryRun([this, Each, Record] { appendRecord(Each, Record); });
}

void OwnershipLoop::sendToPeer(const GroupPtr &Each,
                               const Outbox::ToHost &Message) {
  const std::string Peer = hostName(Message.m_Host);
  const TimePoint SentAt = m_Ports.m_Time.now();
  if (const auto *Question = std::get_if<Canvass>(&Message.m_Message)) {
    const auto Reply = m_Ports.m_Peers.canvass(Peer, *Question);
    const absl::MutexLock Lock(&Each->m_Mutex);
    if (Reply)
      Each->m_Node.onCanvassReply(Reply.value(), m_Ports.m_Time.now());
    return;
  }
  const auto &Beat = std::get<Heartbeat>(Message.m_Message);
  const auto Reply = m_Ports.m_Peers.heartbeat(Peer, Beat);
  const absl::MutexLock Lock(&Each->m_Mutex);
  if (Reply)
    Each->m_Node.onHeartbeatReply(Reply.value(), Beat.m_Term, SentAt,
                                  m_Ports.m_Time.now());
}

void OwnershipLoop::sendGrant(const GroupPtr &Each, const GrantOrder &Order) {
  std::optional<Target> Server;
  {
    const absl::MutexLock Lock(&Each->m_Mutex);
    if (const Target *Known = Each->m_Node.target(Order.m_Server))
      Server = *Known;
  }
  if (!Server)
    return;
  const auto Reply = m_Ports.m_Grants.grant(*Server, Order);
  const absl::MutexLock Lock(&Each->m_Mutex);
  if (Reply)
    Each->m_Node.onGrantReply(Order, Reply.value(), m_Ports.m_Time.now());
  else
    Each->m_Node.onGrantFailure(Order);
}

void OwnershipLoop::appendRecord(const GroupPtr &Each,
                                 const OwnershipRecord &Record) {
  std::string Pool;
  {
    const absl::MutexLock Lock(&Each->m_Mutex);
    Pool = Each->m_Node.poolName();
  }
  // Only reading the stream tells whether the append took effect; its reply
  // does not.
  (void)m_Ports.m_Streams.append(Pool, Record);
  startRead(Each);
}

void OwnershipLoop::startRead(const GroupPtr &Each) {
  if (Each->m_IsReading.exchange(true))
    return;
  if (!m_Workers.tryRun([this, Each] { readRecords(Each); }))
    Each->m_IsReading = false;
}

void OwnershipLoop::readRecords(const GroupPtr &Each) {
  uint64_t From = 0;
  std::string Pool;
  {
    const absl::MutexLock Lock(&Each->m_Mutex);
    From = Each->m_Node.nextOffset();
    Pool = Each->m_Node.poolName();
  }
  auto Page = m_Ports.m_Streams.read(Pool, From);
  if (Page) {
    const absl::MutexLock Lock(&Each->m_Mutex);
    Each->m_Node.applyRecords(Page.value().m_First, Page.value().m_End,
                              std::move(Page.value().m_Entries),
                              m_Ports.m_Time.now());
  }
  Each->m_IsReading = false;
}

Outcome<HeartbeatReply> OwnershipLoop::onHeartbeat(const Heartbeat &Message) {
  const GroupPtr Each = findGroup(Message.m_Pool);
  if (!Each)
    return unknownGroup(Message.m_Pool);
  const absl::MutexLock Lock(&Each->m_Mutex);
  return Each->m_Node.onHeartbeat(Message, m_Ports.m_Time.now());
}

Outcome<CanvassReply> OwnershipLoop::onCanvass(const Canvass &Message) {
  const GroupPtr Each = findGroup(Message.m_Pool);
  if (!Each)
    return unknownGroup(Message.m_Pool);
  const absl::MutexLock Lock(&Each->m_Mutex);
  return Each->m_Node.onCanvass(Message, m_Ports.m_Time.now());
}

bool OwnershipLoop::stopDeciding() {
  bool Done = true;
  for (const GroupPtr &Each : groups()) {
    const absl::MutexLock Lock(&Each->m_Mutex);
    Done = Each->m_Node.stop() && Done;
  }
  return Done;
}

std::vector<GroupReport> OwnershipLoop::report() const {
  std::vector<GroupReport> Result;
  for (const GroupPtr &Each : groups()) {
    const absl::MutexLock Lock(&Each->m_Mutex);
    Result.push_back(Each->m_Node.report(m_Ports.m_Time.now()));
  }
  return Result;
}

} // namespace monsoon
