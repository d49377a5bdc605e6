// Compares the target selection of TargetBalancer with round robin without
// limits, on a simulated clock. Five entry hosts know how many they are and
// share no other state; they send to one pool, whose targets have slots and a
// queue. Prints one table.

#include "core/targetbalancer.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace monsoon {

namespace {

constexpr int Hosts = 5;
constexpr Milliseconds RetryInterval{2};
constexpr Milliseconds SlotWaitLimit{100};
constexpr Milliseconds Deadline{500};
constexpr Milliseconds WarmUp{3000};
constexpr Milliseconds Length{20'000};
constexpr Milliseconds StallLength{200};
constexpr double ServiceMs = 4;

/// One simulated setup: the size of the pool, the load and the faults.
struct Scenario {
  const char *m_Name;
  int m_Targets;
  /// Offered load as a fraction of the capacity of all slots.
  double m_Load;
  bool m_HasStragglers;
};

/// A target with a number of slots, an unlimited queue, and stalls during which
/// it makes no progress.
class SimulatedTarget {
public:
  explicit SimulatedTarget(int Slots)
      : m_SlotFreeAt(static_cast<size_t>(Slots)) {}

  /// Queues a request and returns the time at which it is answered.
  TimePoint serve(TimePoint Now, Duration Service) {
    auto Slot = std::min_element(m_SlotFreeAt.begin(), m_SlotFreeAt.end());
    TimePoint Start = std::max(*Slot, Now);
    if (Start < m_StalledUntil)
      Start = m_StalledUntil;
    *Slot = Start + Service;
    return *Slot;
  }
  void stall(TimePoint Until) {
    m_StalledUntil = Until;
    // Requests that are being served are stalled as well.
    for (TimePoint &Each : m_SlotFreeAt)
      Each = std::max(Each, Until);
  }

private:
  std::vector<TimePoint> m_SlotFreeAt;
  TimePoint m_StalledUntil;
};

/// Runs one scenario with TargetBalancer or with round robin and prints its
/// figures.
class Simulation {
public:
  Simulation(const Scenario &Setup, bool UsesTargetBook)
      : m_Scenario(Setup), m_UsesTargetBook(UsesTargetBook), m_Random(42),
        m_Now(std::chrono::hours(1)), m_Start(m_Now),
        m_Served(static_cast<size_t>(Setup.m_Targets)) {
    Pool::Builder Builder("pool");
    std::set<std::string> Names;
    for (int Host = 0; Host < Hosts; ++Host)
      Names.insert(absl::StrCat("e", Host));
    for (int Index = 0; Index < Setup.m_Targets; ++Index) {
      m_Targets.emplace_back(4);
      Builder.addTarget(
          {absl::StrCat("t", Index), "h", 1 + Index, "d", 4, 130});
    }
    for (const std::string &Name : Names) {
      m_Books.push_back(std::make_unique<TargetBalancer>(Builder.build()));
      m_Books.back()->setShare(HostShare(Name, Names, true));
      for (int Index = 0; Index < Setup.m_Targets; ++Index)
        m_Books.back()->learnWarmth(
            {"pool", absl::StrCat("t", Index), "i", 0, true, {}}, m_Now);
    }
  }

  void run() {
    scheduleArrival();
    if (m_Scenario.m_HasStragglers)
      scheduleStall();
    while (!m_Events.empty() && m_Now - m_Start < Length) {
      const auto Action = m_Events.top().m_Action;
      m_Now = m_Events.top().m_At;
      m_Events.pop();
      Action();
    }
  }

  void print() {
    std::sort(m_Latencies.begin(), m_Latencies.end());
    const auto Quantile = [this](double Fraction) {
      return m_Latencies.empty()
                 ? 0.0
                 : m_Latencies[static_cast<size_t>(
                       Fraction * static_cast<double>(m_Latencies.size() - 1))];
    };
    const double Capacity = m_Scenario.m_Targets * 4 / ServiceMs * 1000;
    const double Seconds =
        std::chrono::duration<double>(Length - WarmUp).count();
    double Largest = 0;
    double Sum = 0;
    for (const double Each : m_Served) {
      Largest = std::max(Largest, Each);
      Sum += Each;
    }
    std::printf("%-28s %-8s %7.1f %7.1f %8.1f %9.2f %9.2f %8.1f %%\n",
                m_Scenario.m_Name, m_UsesTargetBook ? "product" : "naive",
                Quantile(0.5), Quantile(0.99), Quantile(0.999),
                Sum == 0 ? 0 : Largest / (Sum / m_Scenario.m_Targets),
                m_AnsweredInTime / Seconds / Capacity,
                100.0 * m_Refused / m_Requests);
  }

private:
  struct Event {
    TimePoint m_At;
    uint64_t m_Sequence;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(m_At, m_Sequence) >
             std::tie(Other.m_At, Other.m_Sequence);
    }
  };

  void schedule(TimePoint Moment, std::function<void()> Action) {
    m_Events.push({Moment, m_Sequence++, std::move(Action)});
  }

  Duration randomDuration(double MeanMs) {
    std::exponential_distribution<double> Distribution(1 / MeanMs);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Distribution(m_Random)));
  }

  /// Only requests after the warm-up count for the figures.
  bool isPastWarmUp() const { return m_Now - m_Start >= WarmUp; }

  void scheduleArrival() {
    const double Capacity = m_Scenario.m_Targets * 4 / ServiceMs;
    schedule(m_Now + randomDuration(1 / (Capacity * m_Scenario.m_Load)),
             [this] {
               if (isPastWarmUp())
                 ++m_Requests;
               dispatch(static_cast<int>(m_Random() % Hosts), m_Now);
               scheduleArrival();
             });
  }

  void scheduleStall() {
    schedule(m_Now + randomDuration(1000), [this] {
      m_Targets[m_Random() % 8 % m_Targets.size()].stall(m_Now + StallLength);
      scheduleStall();
    });
  }

  void dispatch(int Host, TimePoint ArrivedAt) {
    if (!m_UsesTargetBook) {
      const size_t Index = m_NextTarget++ % m_Targets.size();
      send(Host, Index, ArrivedAt, std::nullopt);
      return;
    }
    auto Reserved = m_Books[static_cast<size_t>(Host)]->reserve({}, m_Now);
    if (auto *Granted = std::get_if<Reservation>(&Reserved)) {
      const size_t Index = std::stoul(Granted->m_Target.m_Name.substr(1));
      send(Host, Index, ArrivedAt, *Granted);
      return;
    }
    if (m_Now - ArrivedAt >= SlotWaitLimit) {
      m_Refused += isPastWarmUp() ? 1 : 0;
      return;
    }
    schedule(m_Now + RetryInterval,
             [this, Host, ArrivedAt] { dispatch(Host, ArrivedAt); });
  }

  void send(int Host, size_t Index, TimePoint ArrivedAt,
            std::optional<Reservation> Reserved) {
    const TimePoint Done =
        m_Targets[Index].serve(m_Now, randomDuration(ServiceMs));
    schedule(Done, [=] {
      const bool InTime = m_Now - ArrivedAt <= Deadline;
      if (Reserved) {
        TargetAnswer Answer;
        Answer.m_Status = 200;
        Answer.m_Instance = "i";
        m_Books[static_cast<size_t>(Host)]->finish(
            *Reserved, AttemptResult::answered(Answer), m_Now);
      }
      if (!isPastWarmUp())
        return;
      m_Served[Index] += 1;
      m_AnsweredInTime += InTime ? 1 : 0;
      m_Latencies.push_back(
          std::chrono::duration<double, std::milli>(m_Now - ArrivedAt).count());
    });
  }

  const Scenario m_Scenario;
  const bool m_UsesTargetBook;
  std::mt19937_64 m_Random;
  TimePoint m_Now;
  const TimePoint m_Start;
  uint64_t m_Sequence = 0;
  std::priority_queue<Event> m_Events;
  std::vector<SimulatedTarget> m_Targets;
  std::vector<std::unique_ptr<TargetBalancer>> m_Books;
  size_t m_NextTarget = 0;
  std::vector<double> m_Served;
  std::vector<double> m_Latencies;
  int m_Requests = 0;
  int m_Refused = 0;
  int m_AnsweredInTime = 0;
};

} // namespace

} // namespace monsoon

int main() {
  using namespace monsoon;
  std::printf("%-28s %-8s %7s %7s %8s %9s %9s %10s\n", "", "", "p50 ms",
              "p99 ms", "p99.9 ms", "max/mean", "goodput", "refused");
  const Scenario Scenarios[] = {
      {"orders (10), 0.5", 10, 0.5, false},
      {"orders (10), 0.5, stragglers", 10, 0.5, true},
      {"transfers (8), 0.5", 8, 0.5, false},
      {"transfers (8), 0.5, stragg.", 8, 0.5, true},
      {"orders (10), 0.8", 10, 0.8, false},
      {"orders (10), 1.0", 10, 1.0, false},
      {"orders (10), 2.0", 10, 2.0, false},
      {"transfers (8), 2.0", 8, 2.0, false},
  };
  for (const Scenario &Each : Scenarios)
    for (const bool UsesTargetBook : {false, true}) {
      Simulation Run(Each, UsesTargetBook);
      Run.run();
      Run.print();
    }
  return 0;
}
