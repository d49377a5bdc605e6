#ifndef MONSOON_MONSOONSTAND_ANSWERPIPE_H
#define MONSOON_MONSOONSTAND_ANSWERPIPE_H

#include "engine/requestpath.h"
#include "ports/targetservice.h"

#include "absl/synchronization/mutex.h"

#include <deque>
#include <optional>
#include <string>

namespace monsoon {

/// Passes a streamed answer from the thread that reads it from the target to
/// the thread that writes it to the caller. The reading thread blocks while the
/// buffer is full.
class AnswerPipe : public AnswerSink {
public:
  /// The reading thread blocks while this many bytes or more are buffered.
  static constexpr size_t Capacity = 262'144;

  // Called by the reading thread. False from head() or body() means that the
  // answer is no longer needed.
  bool head(const TargetAnswer &Head) override;
  bool body(std::string_view Chunk) override;
  /// Ends the answer, complete or with an error.
  void finish(Answer Result);

  // Called by the writing thread.
  /// Blocks until the head arrives or the request ends without one.
  void waitForHead();
  /// Returns the head once; empty when the request ended without one.
  std::optional<TargetAnswer> takeHead();
  /// Blocks until body bytes are buffered and returns them all. Empty at the
  /// end of the body.
  std::optional<std::string> read();
  /// True when the answer ended without an error. Valid after read() returned
  /// nothing.
  bool isComplete() const;
  /// Returns the answer. Valid after the request has ended.
  Answer takeAnswer();
  /// Called when the response to the caller has ended. Discards the buffered
  /// bytes and tells the reading thread to stop.
  void abandon();

private:
  mutable absl::Mutex m_Mutex;
  std::optional<TargetAnswer> m_Head ABSL_GUARDED_BY(m_Mutex);
  bool m_HasHead ABSL_GUARDED_BY(m_Mutex) = false;
  std::string m_Buffered ABSL_GUARDED_BY(m_Mutex);
  std::optional<Answer> m_Answer ABSL_GUARDED_BY(m_Mutex);
  bool m_IsAbandoned ABSL_GUARDED_BY(m_Mutex) = false;
};

} // namespace monsoon

#endif
