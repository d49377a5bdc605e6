#include "membership/configcurrency.h"

#include <doctest.h>

using namespace monsoon;

namespace {

constexpr Milliseconds ApplyLimit{3000};
constexpr Milliseconds ReadLimit = ApplyLimit * 3 / 4;

struct Given {
  /// The host uses version 20, which it knew to be the newest at m_Now.
  Given() {
    m_Currency.noteApplied(20);
    m_Currency.noteComplete(m_Now);
  }

  ConfigStanding after(Milliseconds Length) {
    m_Now += Length;
    return m_Currency.view(m_Now).m_Standing;
  }

  TimePoint m_Now{std::chrono::seconds(100)};
  ConfigCurrency m_Currency{ApplyLimit};
};

} // namespace

TEST_SUITE("config-in-force") {
  TEST_CASE("a host without a version knows none, whatever it hears") {
    ConfigCurrency Currency(ApplyLimit);
    const TimePoint Now{std::chrono::seconds(100)};
    Currency.noteHeard(Now, 22);
    CHECK(Currency.view(Now).m_Standing == ConfigStanding::Missing);
    CHECK(Currency.view(Now).m_KnownVersion == 22);
  }

  TEST_CASE("a version is confirmed for the apply limit after it was known to "
            "be the newest") {
    Given Host;
    CHECK(Host.after(ApplyLimit) == ConfigStanding::Confirmed);
    CHECK(Host.after(Milliseconds(1)) == ConfigStanding::Unconfirmed);
    CHECK(Host.m_Currency.view(Host.m_Now).m_Age ==
          ApplyLimit + Milliseconds(1));
    Host.m_Currency.noteComplete(Host.m_Now - Milliseconds(500));
    CHECK(Host.after(Milliseconds(0)) == ConfigStanding::Confirmed);
    // Older knowledge, as late gossip brings it, takes nothing back.
    Host.m_Currency.noteComplete(Host.m_Now - Milliseconds(5000));
    CHECK(Host.after(Milliseconds(2500)) == ConfigStanding::Confirmed);
    CHECK(Host.after(Milliseconds(1)) == ConfigStanding::Unconfirmed);
  }

  TEST_CASE(
      "a host that has heard of a newer version has three quarters of the "
      "limit to read it") {
    Given Host;
    Host.after(Milliseconds(500));
    Host.m_Currency.noteHeard(Host.m_Now, 22);
    CHECK(Host.after(ReadLimit - Milliseconds(1)) == ConfigStanding::Confirmed);
    // Later versions do not extend the time.
    Host.m_Currency.noteHeard(Host.m_Now, 23);
    CHECK(Host.after(Milliseconds(1)) == ConfigStanding::Outdated);
    CHECK(Host.m_Currency.view(Host.m_Now).m_KnownVersion == 23);
    Host.m_Currency.noteApplied(23);
    Host.m_Currency.noteComplete(Host.m_Now);
    CHECK(Host.after(Milliseconds(0)) == ConfigStanding::Confirmed);
  }

  TEST_CASE("a version that was read and refused as invalid does not make the "
            "host outdated") {
    Given Host;
    Host.m_Currency.noteHeard(Host.m_Now, 22);
    Host.after(Milliseconds(100));
    Host.m_Currency.noteComplete(Host.m_Now);
    CHECK(Host.after(ApplyLimit) == ConfigStanding::Confirmed);
  }

  TEST_CASE("a host that has refused a version as invalid is outdated once it "
            "could not read the next one") {
    Given Host;
    Host.m_Currency.noteHeard(Host.m_Now, 22);
    Host.m_Currency.noteComplete(Host.m_Now);
    Host.after(Milliseconds(500));
    Host.m_Currency.noteHeard(Host.m_Now, 23);
    CHECK(Host.after(ReadLimit - Milliseconds(1)) == ConfigStanding::Confirmed);
    CHECK(Host.after(Milliseconds(1)) == ConfigStanding::Outdated);
  }

  TEST_CASE("an older version of a peer means nothing") {
    Given Host;
    Host.m_Currency.noteHeard(Host.m_Now, 19);
    CHECK(Host.after(ApplyLimit) == ConfigStanding::Confirmed);
    CHECK(Host.m_Currency.newerKnownFor(Host.m_Now) == Duration::zero());
  }
}
