#include "customer/allowance.h"

namespace monsoon {

bool Allowance::isLimited() const { return m_PerSecond > 0; }

} // namespace monsoon
