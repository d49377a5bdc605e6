#ifndef MONSOON_KEYOWNER_KEYTABLECODEC_H
#define MONSOON_KEYOWNER_KEYTABLECODEC_H

#include "core/outcome.h"
#include "keyowner/keytable.h"

namespace monsoon {

/// Keys of the records by which the hosts agree on a pool's owners.
inline constexpr const char *LeaseRecordKey = "lease";
inline constexpr const char *TableRecordKey = "table";

std::string encodeLease(const OwnerLease &Lease);
Outcome<OwnerLease> decodeLease(const std::string &Text);

std::string encodeKeyTable(const KeyTable &Table);
Outcome<KeyTable> decodeKeyTable(const std::string &Text);

} // namespace monsoon

#endif
