// Measures the cost of the control plane (range ownership and
// configuration) at several sizes and prints the figures from which
// docs/CAPACITY.md is derived. The clock of the protocol is simulated; only
// computing time and sizes are measured.

#include "codec/jsontext.h"
#include "codec/messagecodec.h"
#include "codec/recordcodec.h"
#include "codec/tablecodec.h"
#include "core/decider.h"
#include "core/routingview.h"
#include "core/tablecheck.h"

#include "absl/strings/str_cat.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

namespace monsoon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int Rounds = 5;

/// Runs an operation `Rounds` times and returns the shortest elapsed time in
/// microseconds.
double shortestMicros(const std::function<void()> &Operation) {
  double Best = 1e18;
  for (int Round = 0; Round < Rounds; ++Round) {
    const auto Start = Clock::now();
    Operation();
    Best = std::min(
        Best, std::chrono::duration<double, std::micro>(Clock::now() - Start)
                  .count());
  }
  return Best;
}

/// Bytes that are allocated on the heap and in mapped blocks.
size_t heapInUse() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

Pool pool(int Servers, uint32_t Ranges) {
  Pool::Builder Builder("ledger");
  Builder.ownedByKey(true).ranges(Ranges);
  for (int Index = 0; Index < Servers; ++Index)
    Builder.addTarget({absl::StrCat("server-", Index), "10.0.0.1",
                       1 + Index % 60'000, absl::StrCat("d", Index % 17), 4,
                       130});
  return Builder.build();
}

/// A group state in which all ranges are assigned to the servers in turn.
GroupState assignedState(int Servers, uint32_t Ranges) {
  GroupState State;
  State.apply(OwnershipRecord{ClaimRecord{"c", 0, "h#1", false}});
  AssignRecord Assign{"a", 1, 1, Ranges, {}};
  for (uint32_t Range = 0; Range < Ranges; ++Range)
    Assign.m_Moves[absl::StrCat("server-", Range % Servers)].push_back(Range);
  State.apply(OwnershipRecord{Assign});
  return State;
}

GrantReply acceptingReply(const GrantOrder &Order, TimePoint Now) {
  GrantReply Reply;
  Reply.m_Accepted = true;
  Reply.m_Term = Order.m_Term;
  Reply.m_Instance = "i";
  Reply.m_Stamp = toStamp(Now);
  Reply.m_SetVersion = Order.m_SetVersion;
  return Reply;
}

/// Measures one simulated second of a decider in a steady state: all ranges
/// are assigned, and each grant and heartbeat is answered at once.
void measureDecider(int Servers, uint32_t Ranges, int Hosts) {
  const TimePoint Start = TimePoint() + std::chrono::hours(1);
  const size_t HeapBefore = heapInUse();
  Decider Subject(1, OwnershipTiming(), Start);
  Subject.setPool(pool(Servers, Ranges), {});
  Subject.setState(assignedState(Servers, Ranges));
  TimePoint Now = Start;
  uint64_t Messages = 0;
  uint64_t Bytes = 0;
  const auto RunSecond = [&] {
    Messages = 0;
    Bytes = 0;
    for (int Tick = 0; Tick < 100; ++Tick) {
      Now += Milliseconds(10);
      for (const GrantOrder &Order :
           Subject.tick(Now, Now + Milliseconds(900))) {
        const GrantReply Reply = acceptingReply(Order, Now);
        Bytes += writeJson(encodeMessage(Order)).size() +
                 writeJson(encodeMessage(Reply)).size();
        Messages += 2;
        Subject.onGrantReply(Order, Reply, Now);
      }
      if (Tick % 20 != 0)
        continue;
      for (int Host = 0; Host < Hosts; ++Host) {
        Heartbeat Message;
        Message.m_Pool = "ledger";
        Message.m_From = "entry-1#00000000";
        Subject.fillHeartbeat(Message, absl::StrCat("h", Host), Now,
                              Now + Milliseconds(900));
        HeartbeatReply Reply;
        Reply.m_From = absl::StrCat("h", Host);
        Reply.m_Stamp = toStamp(Now);
        Reply.m_AckSeq = Message.m_ViewSeq;
        Bytes += writeJson(encodeMessage(Message)).size() +
                 writeJson(encodeMessage(Reply)).size();
        Messages += 2;
        Subject.onHeartbeatReply(Reply);
      }
    }
  };
  RunSecond();
  RunSecond();
  const double Micros = shortestMicros(RunSecond);
  const size_t HeapGrowth = heapInUse() - HeapBefore;
  const double PlanMicros = shortestMicros([&] { Subject.wantedMoves(); });
  std::printf("decider   %7d servers %7u ranges %5d hosts: %9.2f %% of a core "
              "(%.4f %% a peer), %7llu messages/s, %9.1f KB/s (%.2f a peer), "
              "%8.2f MB, plan %8.1f ms (%.3f us a range)\n",
              Servers, Ranges, Hosts, Micros / 1e4,
              Micros / 1e4 / (Servers + Hosts),
              static_cast<unsigned long long>(Messages),
              static_cast<double>(Bytes) / 1e3,
              static_cast<double>(Bytes) / 1e3 / (Servers + Hosts),
              static_cast<double>(HeapGrowth) / 1e6, PlanMicros / 1e3,
              PlanMicros / Ranges);
}

/// Measures the replay of an ownership log that holds the first assignment and
/// a thousand moves, and the encoding and decoding of its snapshot.
void measureReplay(uint32_t Ranges) {
  constexpr int Moves = 1000;
  std::vector<std::string> Log;
  Log.push_back(encodeRecord(
      OwnershipRecord{ClaimRecord{"c", 0, "entry-1#00000000", false}}));
  AssignRecord First{"a", 1, 1, Ranges, {}};
  for (uint32_t Range = 0; Range < Ranges; ++Range)
    First.m_Moves[absl::StrCat("server-", Range % 1000)].push_back(Range);
  Log.push_back(encodeRecord(OwnershipRecord{First}));
  for (int Move = 0; Move < Moves; ++Move)
    Log.push_back(encodeRecord(OwnershipRecord{
        AssignRecord{absl::StrCat("entry-1#00000000/ledger/", Move),
                     static_cast<GroupVersion>(2 + Move),
                     1,
                     Ranges,
                     {{"server-7", {static_cast<RangeId>(Move) % Ranges}}}}}));
  const size_t HeapBefore = heapInUse();
  GroupState State;
  const double ReplayMicros = shortestMicros([&] {
    GroupState Fresh;
    for (const std::string &Each : Log)
      Fresh.apply(decodeOwnershipRecord(Each));
    State = Fresh;
  });
  const size_t HeapGrowth = heapInUse() - HeapBefore;
  std::string Snapshot;
  const double WriteMicros = shortestMicros([&] {
    Snapshot = encodeRecord(OwnershipRecord{GroupSnapshot{1002, State}});
  });
  const double ReadMicros =
      shortestMicros([&] { decodeOwnershipRecord(Snapshot); });
  std::printf("fold      %7u ranges: log %8.1f ms, snapshot %8.1f KB (%.1f B a "
              "range), write %7.1f ms, read %7.1f ms (%.2f us a range), %7.2f "
              "MB (%.0f B a range), one move %zu bytes\n",
              Ranges, ReplayMicros / 1e3,
              static_cast<double>(Snapshot.size()) / 1e3,
              static_cast<double>(Snapshot.size()) / Ranges, WriteMicros / 1e3,
              ReadMicros / 1e3, ReadMicros / Ranges,
              static_cast<double>(HeapGrowth) / 1e6,
              static_cast<double>(HeapGrowth) / Ranges, Log.back().size());
}

/// Measures the size and the lookups of an entry host's routing view.
void measureView(uint32_t Ranges) {
  Heartbeat Full;
  Full.m_Term = 1;
  Full.m_ViewSeq = Ranges;
  Full.m_RangeCount = Ranges;
  Full.m_Echo = 1;
  Full.m_ViewLifetime = Milliseconds(1000);
  for (uint32_t Range = 0; Range < Ranges; ++Range)
    Full.m_Entries.push_back(
        {Range, absl::StrCat("server-", Range % 1000), 2, false});
  const std::string Text = writeJson(encodeMessage(Full));
  const size_t HeapBefore = heapInUse();
  RoutingView View;
  View.apply(Full);
  const size_t HeapGrowth = heapInUse() - HeapBefore;
  const TimePoint Now = fromStamp(1);
  constexpr int Lookups = 100'000;
  const double LookupMicros = shortestMicros([&] {
    for (int Key = 0; Key < Lookups; ++Key) {
      const auto Right = View.begin(static_cast<RangeId>(Key) % Ranges, Now);
      if (const auto *Granted = std::get_if<RoutingPermit>(&Right))
        View.finish(*Granted, true);
    }
  });
  const double BusyMicros = shortestMicros([&] { View.busyRanges(Now); });
  std::printf(
      "view      %7u ranges: %8.2f MB (%.0f B a range), whole view on "
      "the wire %8.1f KB (%.1f B a range), lookup %5.2f us, busy ranges "
      "%7.3f ms\n",
      Ranges, static_cast<double>(HeapGrowth) / 1e6,
      static_cast<double>(HeapGrowth) / Ranges,
      static_cast<double>(Text.size()) / 1e3,
      static_cast<double>(Text.size()) / Ranges, LookupMicros / Lookups,
      BusyMicros / 1e3);
}

/// Measures the parsing and checking of one configuration version.
void measureConfig(int Targets) {
  std::vector<Route> Routes;
  std::vector<Pool> Pools;
  for (int Index = 0; Index * 20 < Targets; ++Index) {
    const std::string Name = absl::StrCat("pool-", Index);
    Pool::Builder Builder(Name);
    for (int Member = 0; Member < 20; ++Member)
      Builder.addTarget({absl::StrCat(Name, "-", Member), "10.0.0.1",
                         1 + Index * 20 + Member, "d0", 4, 130});
    Pools.push_back(Builder.build());
    Routes.push_back(
        Route::Builder(absl::StrCat("route-", Index),
                       *PathTemplate::parse(absl::StrCat("/p", Index, "/{k}")),
                       Name)
            .build());
  }
  const Tables Value(std::move(Routes), std::move(Pools));
  const std::string Text = writeJson(encodeTables(Value));
  const double Micros = shortestMicros([&] {
    const auto Parsed = parseJson(Text, "t", ErrorKind::TableInvalid);
    const auto Decoded = decodeTables(Parsed.value(), "t");
    checkTables(Decoded.value());
  });
  std::printf("config    %7d targets: %8.1f KB a version (%.0f B a target), "
              "%8.2f ms to take (%.1f us a target)\n",
              Targets, static_cast<double>(Text.size()) / 1e3,
              static_cast<double>(Text.size()) / Targets, Micros / 1e3,
              Micros / Targets);
}

} // namespace

} // namespace monsoon

int main() {
  using namespace monsoon;
  std::printf("machine: %u cores; costs are processor time of decisions and "
              "JSON, without transport\n",
              std::thread::hardware_concurrency());
  for (const int Servers : {10, 100, 1000, 4000})
    measureDecider(Servers, static_cast<uint32_t>(Servers) * 6, 5);
  for (const uint32_t Ranges : {1000U, 10'000U, 100'000U})
    measureDecider(100, Ranges, 5);
  for (const int Hosts : {5, 50, 500})
    measureDecider(100, 600, Hosts);
  for (const uint32_t Ranges : {1000U, 10'000U, 100'000U})
    measureReplay(Ranges);
  for (const uint32_t Ranges : {1000U, 10'000U, 100'000U})
    measureView(Ranges);
  for (const int Targets : {100, 1000, 10'000})
    measureConfig(Targets);
  return 0;
}
