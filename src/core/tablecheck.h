#ifndef MONSOON_CORE_TABLECHECK_H
#define MONSOON_CORE_TABLECHECK_H

#include "core/tables.h"

#include <string>
#include <vector>

namespace monsoon {

/// Validates the two tables against each other: references, duplicates,
/// overlapping routes, empty pools, failure domains that don't exist. Returns
/// one message per fault; the tables may be published only when there is none.
/// The result depends on the tables alone, so that every reader reaches the
/// same.
std::vector<std::string> checkTables(const Tables &Value);

} // namespace monsoon

#endif
