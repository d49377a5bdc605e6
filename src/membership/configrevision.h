#ifndef MONSOON_MEMBERSHIP_CONFIGREVISION_H
#define MONSOON_MEMBERSHIP_CONFIGREVISION_H

#include <cstdint>
#include <string>
#include <tuple>

namespace monsoon {

/// Identifies a published config: its version, the text and the epoch of the
/// log in which the text was first read.
class ConfigRevision {
public:
  ConfigRevision() = default;
  ConfigRevision(int64_t Version, std::string Text, uint64_t Epoch)
      : m_Version(Version), m_Text(std::move(Text)), m_Epoch(Epoch) {}

  /// True if the other config takes this one's place. A lower version never
  /// does: a restored log may hold one until the newest is written again. The
  /// same version does if a later epoch gave it to another text.
  bool isReplacedBy(const ConfigRevision &Other) const;

  friend bool operator==(const ConfigRevision &A, const ConfigRevision &B) {
    return std::tie(A.m_Version, A.m_Text, A.m_Epoch) ==
           std::tie(B.m_Version, B.m_Text, B.m_Epoch);
  }

private:
  int64_t m_Version = 0;
  std::string m_Text;
  uint64_t m_Epoch = 0;
};

} // namespace monsoon

#endif
