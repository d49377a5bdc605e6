#include "membership/hostidentity.h"

#include <doctest.h>

using namespace monsoon;

TEST_SUITE("fractions") {
  // Guards against hosts that told the others a link of 0.75 Mbit/s as 0, that
  // is unknown, and one of 13.7 as 13.
  TEST_CASE("the capacity of a link is told to other hosts as given") {
    for (const double Mbps : {0.75, 13.7, 1234567.25, 2000.0}) {
      const HostIdentity Id{"e1.17-9", Mbps, "zone-a", "10.1.0.15:7620"};
      CHECK(decodeHostIdentity(encodeHostIdentity(Id)) == Id);
    }
    CHECK(encodeHostIdentity({"e1.17-9", 2000, "zone-a", "10.1.0.15:7620"}) ==
          "e1.17-9~2000/zone-a@10.1.0.15:7620");
  }
}

TEST_CASE("an id without link or failure domain is read") {
  CHECK(decodeHostIdentity("e1/z@h:1") == HostIdentity{"e1", 0, "z", "h:1"});
  CHECK(decodeHostIdentity("e1@h:1") == HostIdentity{"e1", 0, "", "h:1"});
  CHECK(decodeHostIdentity("e1~wide/z@h:1") ==
        HostIdentity{"e1", 0, "z", "h:1"});
  CHECK(!decodeHostIdentity("e1"));
}
