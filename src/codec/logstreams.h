#ifndef MONSOON_CODEC_LOGSTREAMS_H
#define MONSOON_CODEC_LOGSTREAMS_H

#include "ports/logservice.h"
#include "ports/recordstreams.h"

namespace monsoon {

/// Reads and appends configuration records in the stream `monsoon.config` of
/// the platform's log. Errors are those of the LogService; a record that cannot
/// be decoded is read as UnknownRecord.
class LogConfigStream : public ConfigStream {
public:
  explicit LogConfigStream(LogService &Log) : m_Log(Log) {}
  Outcome<RecordPage<ConfigReplay>> read(uint64_t From) override;
  Outcome<uint64_t> append(const ConfigRecord &Record) override;

private:
  LogService &m_Log;
};

/// Reads and appends ownership records in the platform's log. Each pool has its
/// own stream, `monsoon.owners.` followed by the pool's name. Errors and
/// undecodable records are handled as in LogConfigStream.
class LogOwnershipStreams : public OwnershipStreams {
public:
  explicit LogOwnershipStreams(LogService &Log) : m_Log(Log) {}
  Outcome<RecordPage<GroupReplay>> read(const std::string &Pool,
                                        uint64_t From) override;
  Outcome<uint64_t> append(const std::string &Pool,
                           const OwnershipRecord &Record) override;

private:
  LogService &m_Log;
};

} // namespace monsoon

#endif
