#include "core/configview.h"

namespace monsoon {

const char *configStandingName(ConfigStanding State) {
  switch (State) {
  case ConfigStanding::Missing:
    return "missing";
  case ConfigStanding::Confirmed:
    return "confirmed";
  case ConfigStanding::Unconfirmed:
    return "unconfirmed";
  case ConfigStanding::Outdated:
    return "outdated";
  }
  return "missing";
}

} // namespace monsoon
