#include "membership/targetfollower.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace monsoon {

namespace {

/// Reports in which a leave is told to the peers.
constexpr int LeaveReports = 2;
/// Leaves in one report, some 10 KB.
constexpr size_t MaxLeavesInReport = 256;

} // namespace

TargetFollower::TargetFollower(TopicFollower::Options Config, SharedLog &Log,
                               const Clock &Time, EventSink &Events,
                               Decoder DecodeEntry, Listener &Owner)
    : m_Clock(Time), m_Events(Events), m_DecodeEntry(std::move(DecodeEntry)),
      m_Listener(Owner), m_Topic(std::move(Config), Log, Time, Events,
                                 [this](const KeyedPage &Page, bool IsFull) {
                                   const bool Changed = apply(Page, IsFull);
                                   if (Changed && m_Topic.isPublishing())
                                     m_Listener.newsRead();
                                   return Changed;
                                 }) {}

void TargetFollower::update() {
  if (m_Topic.isSynced())
    m_Directory.noteUpToDate(m_Topic.upToDateAt());
  notify(m_HasGossip ? "gossip" : "expiry");
}

bool TargetFollower::apply(const KeyedPage &Page, bool IsFull) {
  m_Directory.noteUpToDate(m_Topic.upToDateAt());
  if (m_Topic.isDeliveringRestored())
    m_Directory.noteRestored(m_Clock.now());
  bool Changed = IsFull;
  std::vector<KeyedRecord> Removals;
  for (const KeyedRecord &Each : Page.m_Records) {
    if (Each.m_Value) {
      applyEntry(Each, Changed);
      continue;
    }
    m_Directory.applyRemoval(m_Clock.now(), Each.m_Key);
    Removals.push_back(Each);
    Changed = true;
  }
  if (IsFull)
    Removals = removeMissing(Page);
  m_HasGossip = !IsFull && !m_Topic.isPublishing();
  if (m_HasGossip)
    return Changed;
  notify(IsFull ? "full_read" : "read");
  publishRemovals(Removals);
  return Changed;
}

void TargetFollower::publishRemovals(const std::vector<KeyedRecord> &Removals) {
  // A peer would drop a target that this host keeps since it may be back soon.
  for (const KeyedRecord &Each : Removals)
    if (targets().count(Each.m_Key) > 0)
      m_Topic.withhold();
    else
      m_Topic.publish(Each);
}

std::map<std::string, int64_t> TargetFollower::takeLeaves() {
  std::map<std::string, int64_t> Result;
  // Those not told yet come first.
  for (const int Reports : {LeaveReports, LeaveReports - 1})
    for (auto It = m_Leaves.begin();
         It != m_Leaves.end() && Result.size() < MaxLeavesInReport;) {
      if (It->second.m_Reports != Reports || Result.count(It->first) > 0) {
        ++It;
        continue;
      }
      Result.emplace(It->first, It->second.m_Incarnation);
      It = --It->second.m_Reports > 0 ? std::next(It) : m_Leaves.erase(It);
    }
  return Result;
}

bool TargetFollower::hasUntoldLeaves() const {
  return std::any_of(m_Leaves.begin(), m_Leaves.end(), [](const auto &Each) {
    return Each.second.m_Reports == LeaveReports;
  });
}

void TargetFollower::applyEntry(const KeyedRecord &Record, bool &Changed) {
  const auto Entry = m_DecodeEntry(Record.m_Key, *Record.m_Value);
  if (!Entry) {
    m_Events.event(Severity::Debug, "entry_unreadable",
                   {{"detail", Entry.error().m_Message}});
    return;
  }
  const bool IsAwaited = m_Listener.isHeartbeatAwaited(Record.m_Key);
  const bool IsUpdate = m_Directory.applyEntry(m_Clock.now(), Entry.value());
  if (!IsUpdate && !IsAwaited)
    return;
  // Without an incarnation, the notice would also stop a later process.
  const TargetInfo &Info = Entry.value();
  if (IsUpdate && Info.m_Draining && Info.m_Incarnation != 0 &&
      m_Topic.isPublishing() && !m_Listener.isKnownToLeave(Info))
    m_Leaves[Info.m_Id] = {Info.m_Incarnation, LeaveReports};
  m_Topic.publish(Record);
  Changed = true;
}

std::vector<KeyedRecord> TargetFollower::removeMissing(const KeyedPage &Page) {
  std::vector<KeyedRecord> Result;
  std::set<std::string> Present;
  for (const KeyedRecord &Each : Page.m_Records)
    Present.insert(Each.m_Key);
  const TargetMap Known = m_Directory.targets();
  for (const auto &[Id, Info] : Known)
    if (Present.count(Id) == 0) {
      m_Directory.applyRemoval(m_Clock.now(), Id);
      // It was removed somewhere before the end of the page.
      Result.push_back({Id, std::nullopt, Page.m_End - 1});
    }
  return Result;
}

void TargetFollower::notify(const char *Source) {
  m_HasGossip = false;
  if (m_Directory.update(m_Clock.now()))
    m_Listener.targetsChanged(m_Directory.targets(), Source);
}

} // namespace monsoon
