#ifndef MONSOON_PORTS_RECORDSTREAMS_H
#define MONSOON_PORTS_RECORDSTREAMS_H

#include "core/configlog.h"
#include "core/outcome.h"
#include "core/ownershiplog.h"

#include <string>
#include <vector>

namespace monsoon {

/// Consecutive decoded records, with the bounds of what the log holds.
template <typename ReplayType> struct RecordPage {
  /// Offset of the oldest record that is still kept.
  uint64_t m_First = 0;
  /// Offset that the next appended record will get.
  uint64_t m_End = 0;
  std::vector<typename ReplayType::Entry> m_Entries;
};

/// The stream on which operators publish the configuration.
class ConfigStream {
public:
  virtual ~ConfigStream() = default;
  virtual Outcome<RecordPage<ConfigReplay>> read(uint64_t From) = 0;
  virtual Outcome<uint64_t> append(const ConfigRecord &Record) = 0;
};

/// The streams that record the owners of key ranges, one per pool.
class OwnershipStreams {
public:
  virtual ~OwnershipStreams() = default;
  virtual Outcome<RecordPage<GroupReplay>> read(const std::string &Pool,
                                                uint64_t From) = 0;
  virtual Outcome<uint64_t> append(const std::string &Pool,
                                   const OwnershipRecord &Record) = 0;
};

} // namespace monsoon

#endif
