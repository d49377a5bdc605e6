#ifndef MONSOON_TESTS_STANDIN_LOGSTANDIN_H
#define MONSOON_TESTS_STANDIN_LOGSTANDIN_H

#include "ports/logservice.h"

#include "absl/synchronization/mutex.h"

#include <httplib.h>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace monsoon {

/// Stands in for the platform's log. `POST /control` changes its behaviour:
/// `mode` is `up`, `down` (status 503), `slow` (delays each request by
/// `slow_ms`) or `lose_replies` (appends the record, then answers 504);
/// `keep_records` and `keep_ms` limit how many records each stream retains, and
/// for how long.
class LogStandIn {
public:
  /// Handles `/append`, `/read`, `/control` and `/log_stats`; returns false for
  /// any other path.
  bool handle(const httplib::Request &Request, httplib::Response &Response);

private:
  struct StoredRecord {
    std::string m_Data;
    std::chrono::steady_clock::time_point m_AppendedAt;
  };
  struct Stream {
    /// Offset of the oldest retained record.
    uint64_t m_FirstOffset = 0;
    std::deque<StoredRecord> m_Records;
  };

  void append(const httplib::Request &Request, httplib::Response &Response);
  void read(const httplib::Request &Request, httplib::Response &Response);
  void control(const httplib::Request &Request, httplib::Response &Response);
  void stats(httplib::Response &Response);
  void dropExpiredRecords(Stream &Each) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  /// Returns the mode; in mode `slow`, waits `slow_ms` first.
  std::string modeAfterDelay();

  absl::Mutex m_Mutex;
  std::map<std::string, Stream> m_Streams ABSL_GUARDED_BY(m_Mutex);
  std::string m_Mode ABSL_GUARDED_BY(m_Mutex) = "up";
  int m_SlowMs ABSL_GUARDED_BY(m_Mutex) = 0;
  size_t m_MaxRecords ABSL_GUARDED_BY(m_Mutex) = 1'000'000;
  int64_t m_RetentionMs ABSL_GUARDED_BY(m_Mutex) = 3'600'000;
  uint64_t m_Appends ABSL_GUARDED_BY(m_Mutex) = 0;
  uint64_t m_AppendedBytes ABSL_GUARDED_BY(m_Mutex) = 0;
  uint64_t m_Reads ABSL_GUARDED_BY(m_Mutex) = 0;
};

} // namespace monsoon

#endif
