#ifndef MONSOON_KEYOWNER_KEYTABLECODEC_H
#define MONSOON_KEYOWNER_KEYTABLECODEC_H

#include "core/outcome.h"
#include "keyowner/keytable.h"

namespace monsoon {

/// Keys of the records in a pool's topic of the log: the current lease and the
/// current table.
inline constexpr const char *LeaseRecordKey = "lease";
inline constexpr const char *TableRecordKey = "table";

std::string encodeLease(const OwnerLease &Lease);
/// Fails with ErrorKind::RecordUnreadable; the message lists all faults of the
/// text.
Outcome<OwnerLease> decodeLease(const std::string &Text);

std::string encodeKeyTable(const KeyTable &Table);
/// Fails as decodeLease() does, also on overlapping ranges.
Outcome<KeyTable> decodeKeyTable(const std::string &Text);

} // namespace monsoon

#endif
