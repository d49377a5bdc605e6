#include "codec/logstreams.h"

#include "codec/recordcodec.h"

#include "absl/strings/str_cat.h"

namespace monsoon {

namespace {

constexpr char ConfigStreamName[] = "monsoon.config";

std::string ownershipStreamName(const std::string &Pool) {
  return absl::StrCat("monsoon.owners.", Pool);
}

/// Decodes the data of every record of a page and keeps offsets and bounds.
template <typename ReplayType, typename Decoder>
Outcome<RecordPage<ReplayType>> decodePage(const Outcome<LogPage> &Page,
                                           Decoder Decode) {
  if (!Page)
    return Page.error();
  RecordPage<ReplayType> Result;
  Result.m_First = Page.value().m_First;
  Result.m_End = Page.value().m_End;
  for (const LogRecord &Each : Page.value().m_Records)
    Result.m_Entries.push_back({Each.m_Offset, Decode(Each.m_Data)});
  return Result;
}

} // namespace

Outcome<RecordPage<ConfigReplay>> LogConfigStream::read(uint64_t From) {
  return decodePage<ConfigReplay>(m_Log.read(ConfigStreamName, From),
                                  decodeConfigRecord);
}

Outcome<uint64_t> LogConfigStream::append(const ConfigRecord &Record) {
  return m_Log.append(ConfigStreamName, encodeRecord(Record));
}

Outcome<RecordPage<GroupReplay>>
LogOwnershipStreams::read(const std::string &Pool, uint64_t From) {
  return decodePage<GroupReplay>(m_Log.read(ownershipStreamName(Pool), From),
                                 decodeOwnershipRecord);
}

Outcome<uint64_t> LogOwnershipStreams::append(const std::string &Pool,
                                              const OwnershipRecord &Record) {
  return m_Log.append(ownershipStreamName(Pool), encodeRecord(Record));
}

} // namespace monsoon
