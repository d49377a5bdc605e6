#include "concurrency/workerpool.h"

#include <utility>

namespace monsoon {

WorkerPool::WorkerPool(int Workers, size_t QueueLimit)
    : m_QueueLimit(QueueLimit) {
  m_Threads.reserve(static_cast<size_t>(Workers));
  for (int Index = 0; Index < Workers; ++Index)
    m_Threads.emplace_back([this] { runTasks(); });
}

WorkerPool::~WorkerPool() { stop(); }

bool WorkerPool::tryRun(std::function<void()> Task) {
  const absl::MutexLock Lock(&m_Mutex);
  if (m_Stopping || m_Queue.size() >= m_QueueLimit)
    return false;
  m_Queue.push_back(std::move(Task));
  return true;
}

bool WorkerPool::hasBacklog() const {
  const absl::MutexLock Lock(&m_Mutex);
  return !m_Queue.empty();
}

void WorkerPool::stop() {
  {
    const absl::MutexLock Lock(&m_Mutex);
    m_Stopping = true;
  }
  for (std::thread &Each : m_Threads)
    if (Each.joinable())
      Each.join();
}

void WorkerPool::runTasks() {
  while (true) {
    std::function<void()> Task;
    {
      const absl::MutexLock Lock(&m_Mutex);
      m_Mutex.Await(absl::Condition(
          +[](WorkerPool *Self) {
            Self->m_Mutex.AssertHeld();
            return Self->m_Stopping || !Self->m_Queue.empty();
          },
          this));
      if (m_Queue.empty())
        return;
      Task = std::move(m_Queue.front());
      m_Queue.pop_front();
    }
    Task();
  }
}

} // namespace monsoon
