#ifndef MONSOON_TESTS_SUPPORT_FAKECONFIGSTREAM_H
#define MONSOON_TESTS_SUPPORT_FAKECONFIGSTREAM_H

#include "ports/recordstreams.h"

#include <functional>
#include <vector>

namespace monsoon {

/// A configuration stream in memory. Tests can make it unavailable, fail
/// appends with or without writing the record, and limit its retention.
class FakeConfigStream : public ConfigStream {
public:
  /// Reads and appends fail with LogUnavailable.
  bool m_IsDown = false;
  /// Appends write the record and then report a failure.
  bool m_LosesReplies = false;
  /// Number of coming appends that fail without writing the record.
  int m_AppendsToFail = 0;
  /// Number of newest records that can be read; older ones have expired.
  size_t m_RetainedRecords = SIZE_MAX;
  /// Runs once, before the next append; simulates a concurrent writer.
  std::function<void()> m_BeforeAppend;
  std::vector<ConfigRecord> m_Log;

  Outcome<RecordPage<ConfigReplay>> read(uint64_t From) override {
    if (m_IsDown)
      return Failure{ErrorKind::LogUnavailable, "down"};
    RecordPage<ConfigReplay> Page;
    Page.m_End = m_Log.size();
    Page.m_First =
        m_Log.size() > m_RetainedRecords ? m_Log.size() - m_RetainedRecords : 0;
    for (uint64_t Offset = std::max(From, Page.m_First); Offset < m_Log.size();
         ++Offset)
      Page.m_Entries.push_back({Offset, m_Log[Offset]});
    return Page;
  }

  Outcome<uint64_t> append(const ConfigRecord &Record) override {
    if (m_BeforeAppend)
      std::exchange(m_BeforeAppend, nullptr)();
    if (m_IsDown || (m_AppendsToFail > 0 && m_AppendsToFail-- > 0))
      return Failure{ErrorKind::LogUnavailable, "down"};
    m_Log.push_back(Record);
    if (m_LosesReplies)
      return Failure{ErrorKind::LogUnavailable, "no reply"};
    return m_Log.size() - 1;
  }
};

} // namespace monsoon

#endif
