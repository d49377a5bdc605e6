#ifndef MONSOON_CORE_CONFIGVIEW_H
#define MONSOON_CORE_CONFIGVIEW_H

#include "core/timepoint.h"

#include <cstdint>
#include <tuple>

namespace monsoon {

/// Whether the configuration of a host is the one in force, as far as the host
/// can know.
enum class ConfigStanding {
  /// No configuration was read yet.
  Missing,
  /// Known to have been in force less than the apply limit ago.
  Confirmed,
  /// Not confirmed for longer than that; no newer version is known either.
  Unconfirmed,
  /// Other hosts have applied a newer version, which this one could not read.
  Outdated
};

/// Name of a state in logs and metrics.
const char *configStandingName(ConfigStanding State);

/// What a host knew of its configuration at one moment.
struct ConfigView {
  ConfigStanding m_Standing = ConfigStanding::Missing;
  /// Version in use; 0 if none.
  int64_t m_Version = 0;
  /// Highest version that any host has applied, as far as is known here.
  int64_t m_KnownVersion = 0;
  /// Time since the moment for which the version in use is known to have been
  /// the newest.
  Duration m_Age{};

  auto tie() const {
    return std::tie(m_Standing, m_Version, m_KnownVersion, m_Age);
  }
  friend bool operator==(const ConfigView &A, const ConfigView &B) {
    return A.tie() == B.tie();
  }
  friend bool operator!=(const ConfigView &A, const ConfigView &B) {
    return !(A == B);
  }
};

} // namespace monsoon

#endif
