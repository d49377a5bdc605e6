#ifndef MONSOON_CORE_TABLEDIFF_H
#define MONSOON_CORE_TABLEDIFF_H

#include "core/tables.h"

#include <string>
#include <vector>

namespace monsoon {

/// Returns the differences between two versions of the tables, one line each,
/// such as
/// `pool "ledger": target "l3" added`.
std::vector<std::string> diffTables(const Tables &Old, const Tables &New);

} // namespace monsoon

#endif
