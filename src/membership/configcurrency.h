#ifndef MONSOON_MEMBERSHIP_CONFIGCURRENCY_H
#define MONSOON_MEMBERSHIP_CONFIGCURRENCY_H

#include "core/configview.h"

namespace monsoon {

/// Tracks whether the configuration of this host can be the one in force. See
/// docs/design/currency.md for what follows from each state.
///
/// The host is confirmed for the apply limit after each moment for which it
/// knows the operators' topic completely. When a peer reports a newer version,
/// the host has three quarters of that limit to read the topic; it is outdated
/// after that. A version that was read and refused as invalid does not count as
/// unread.
class ConfigCurrency {
public:
  /// ApplyLimit: time after its acknowledgement by the log in which a version
  /// has to be in force on all hosts.
  explicit ConfigCurrency(Duration ApplyLimit)
      : m_ApplyLimit(ApplyLimit), m_ReadLimit(ApplyLimit * 3 / 4) {}

  /// This host uses a version from now on.
  void noteApplied(int64_t Version);
  /// A peer has applied this version or has heard that another host has.
  void noteHeard(TimePoint Now, int64_t Version);
  /// The host knew all records of the operators' topic as they were at this
  /// moment.
  void noteComplete(TimePoint At);

  ConfigView view(TimePoint Now) const;
  int64_t knownVersion() const { return m_KnownVersion; }
  /// Time since a newer version than the one in use was first heard of; zero if
  /// none is known.
  Duration newerKnownFor(TimePoint Now) const;

private:
  ConfigStanding standing(TimePoint Now) const;

  const Duration m_ApplyLimit;
  /// Time to read a version that a peer has reported. The report itself takes
  /// part of the apply limit.
  const Duration m_ReadLimit;
  bool m_IsApplied = false;
  int64_t m_Version = 0;
  int64_t m_KnownVersion = 0;
  TimePoint m_NewerSince{};
  TimePoint m_CompleteAt{};
};

} // namespace monsoon

#endif
