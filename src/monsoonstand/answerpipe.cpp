#include "monsoonstand/answerpipe.h"

#include <utility>

namespace monsoon {

bool AnswerPipe::head(const TargetAnswer &Head) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Head = Head;
  m_HasHead = true;
  return !m_IsAbandoned;
}

bool AnswerPipe::body(std::string_view Chunk) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Mutex.Await(absl::Condition(
      +[](AnswerPipe *Self) {
        Self->m_Mutex.AssertHeld();
        return Self->m_IsAbandoned || Self->m_Buffered.size() < Capacity;
      },
      this));
  m_Buffered.append(Chunk);
  return !m_IsAbandoned;
}

void AnswerPipe::finish(Answer Result) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Answer = std::move(Result);
}

void AnswerPipe::waitForHead() {
  const absl::MutexLock Lock(&m_Mutex);
  m_Mutex.Await(absl::Condition(
      +[](AnswerPipe *Self) {
        Self->m_Mutex.AssertHeld();
        return Self->m_HasHead || Self->m_Answer.has_value();
      },
      this));
}

std::optional<TargetAnswer> AnswerPipe::takeHead() {
  const absl::MutexLock Lock(&m_Mutex);
  return std::exchange(m_Head, std::nullopt);
}

std::optional<std::string> AnswerPipe::read() {
  const absl::MutexLock Lock(&m_Mutex);
  m_Mutex.Await(absl::Condition(
      +[](AnswerPipe *Self) {
        Self->m_Mutex.AssertHeld();
        return !Self->m_Buffered.empty() || Self->m_Answer.has_value();
      },
      this));
  if (m_Buffered.empty())
    return std::nullopt;
  return std::exchange(m_Buffered, std::string());
}

bool AnswerPipe::isComplete() const {
  const absl::MutexLock Lock(&m_Mutex);
  return m_Answer && !m_Answer->m_Error;
}

Answer AnswerPipe::takeAnswer() {
  const absl::MutexLock Lock(&m_Mutex);
  return std::move(*m_Answer);
}

void AnswerPipe::abandon() {
  const absl::MutexLock Lock(&m_Mutex);
  m_IsAbandoned = true;
  m_Buffered.clear();
}

} // namespace monsoon
