#include "concurrency/periodictask.h"

#include "absl/time/time.h"

#include <utility>

namespace monsoon {

PeriodicTask::PeriodicTask(Duration Pause, std::function<void()> Task)
    : m_Pause(Pause), m_Task(std::move(Task)), m_Thread([this] { run(); }) {}

PeriodicTask::~PeriodicTask() { stop(); }

void PeriodicTask::wake() {
  const absl::MutexLock Lock(&m_Mutex);
  m_WakeRequested = true;
}

void PeriodicTask::stop() {
  {
    const absl::MutexLock Lock(&m_Mutex);
    m_Stopping = true;
  }
  if (m_Thread.joinable())
    m_Thread.join();
}

void PeriodicTask::run() {
  while (true) {
    m_Task();
    const absl::MutexLock Lock(&m_Mutex);
    m_Mutex.AwaitWithTimeout(absl::Condition(
                                 +[](PeriodicTask *Self) {
                                   Self->m_Mutex.AssertHeld();
                                   return Self->m_Stopping ||
                                          Self->m_WakeRequested;
                                 },
                                 this),
                             absl::FromChrono(m_Pause));
    if (m_Stopping)
      return;
    m_WakeRequested = false;
  }
}

} // namespace monsoon
