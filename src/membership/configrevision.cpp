#include "membership/configrevision.h"

namespace monsoon {

bool ConfigRevision::isReplacedBy(const ConfigRevision &Other) const {
  if (Other.m_Version != m_Version)
    return Other.m_Version > m_Version;
  return Other.m_Epoch > m_Epoch && Other.m_Text != m_Text;
}

} // namespace monsoon
