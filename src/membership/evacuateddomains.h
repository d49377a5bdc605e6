#ifndef MONSOON_MEMBERSHIP_EVACUATEDDOMAINS_H
#define MONSOON_MEMBERSHIP_EVACUATEDDOMAINS_H

#include "core/timepoint.h"

#include <map>
#include <set>
#include <string>

namespace monsoon {

/// The failure domains that operators have evacuated.
///
/// A log that was restored from an older copy lacks the newest evacuations and
/// returns until their operators have written them again. So for 10 s a full
/// read ends no evacuation, and begins none that this host saw end shortly
/// before; then the topic has to be read as a whole once more.
class EvacuatedDomains {
public:
  /// Applies the domains of a full read.
  void replaceAll(TimePoint Now, std::set<std::string> Domains);
  /// Applies a record that was written after the last full read.
  void set(TimePoint Now, const std::string &Domain, bool IsOut);
  /// States that the next full read is the first one of a restored log.
  void noteRestored(TimePoint Now);
  /// Returns true once after each restoration, when a full read is due.
  bool takeRereadDue(TimePoint Now);

  const std::set<std::string> &domains() const { return m_Domains; }

private:
  std::set<std::string> m_Domains;
  /// When this host saw an evacuation end.
  std::map<std::string, TimePoint> m_EndedAt;
  /// Until then the domains known before a restoration stand.
  TimePoint m_KeptUntil{};
  bool m_IsRereadDue = false;
};

} // namespace monsoon

#endif
