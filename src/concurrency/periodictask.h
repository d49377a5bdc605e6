#ifndef MONSOON_CONCURRENCY_PERIODICTASK_H
#define MONSOON_CONCURRENCY_PERIODICTASK_H

#include "core/timepoint.h"

#include "absl/synchronization/mutex.h"

#include <functional>
#include <thread>

namespace monsoon {

/// Runs a task repeatedly on its own thread. The pause is counted from the end
/// of one run to the start of the next.
class PeriodicTask {
public:
  PeriodicTask(Duration Pause, std::function<void()> Task);
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask &) = delete;
  PeriodicTask &operator=(const PeriodicTask &) = delete;

  /// Starts the next run without waiting for the pause to end. During a run, it
  /// makes another run follow directly.
  void wake();

  /// Waits for the current run, then ends the thread. Idempotent.
  void stop();

private:
  void run();

  const Duration m_Pause;
  const std::function<void()> m_Task;
  absl::Mutex m_Mutex;
  bool m_Stopping ABSL_GUARDED_BY(m_Mutex) = false;
  bool m_WakeRequested ABSL_GUARDED_BY(m_Mutex) = false;
  std::thread m_Thread;
};

} // namespace monsoon

#endif
