#ifndef MONSOON_CONCURRENCY_WORKERPOOL_H
#define MONSOON_CONCURRENCY_WORKERPOOL_H

#include "absl/synchronization/mutex.h"

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace monsoon {

/// A fixed number of threads that run the tasks of a bounded queue.
class WorkerPool {
public:
  WorkerPool(int Workers, size_t QueueLimit);
  /// Calls stop().
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  /// Returns false, without taking the task, when the queue is full or the
  /// pool is stopping.
  bool tryRun(std::function<void()> Task);

  /// True if the queue holds tasks that no worker has started.
  bool hasBacklog() const;

  /// Waits for queued and running tasks, then ends the threads. Idempotent.
  void stop();

private:
  void runTasks();

  const size_t m_QueueLimit;
  mutable absl::Mutex m_Mutex;
  std::deque<std::function<void()>> m_Queue ABSL_GUARDED_BY(m_Mutex);
  bool m_Stopping ABSL_GUARDED_BY(m_Mutex) = false;
  std::vector<std::thread> m_Threads;
};

} // namespace monsoon

#endif
