#include "membership/transittimer.h"

#include "codec/hostreportcodec.h"
#include "support/fakeclock.h"

#include <doctest.h>

using namespace monsoon;

namespace {

/// Two hosts whose clocks have nothing in common.
struct TwoHosts {
  TwoHosts() { m_OtherTime.advance(std::chrono::hours(77)); }

  void pass(Milliseconds Length) {
    m_OwnTime.advance(Length);
    m_OtherTime.advance(Length);
  }

  FakeClock m_OwnTime;
  FakeClock m_OtherTime;
  TransitTimer m_Own{m_OwnTime};
  TransitTimer m_Other{m_OtherTime};
};

} // namespace

TEST_CASE("a message that echoes nothing may have been on its way for any "
          "time") {
  TwoHosts Given;
  const MessageStamp First = Given.m_Other.stampFor("own");
  CHECK(!First.m_Echo);
  CHECK(!Given.m_Own.noteReceived("other", First));
}

TEST_CASE("the bound of a message's way covers its way and that of the reading "
          "it echoes, but not the time between") {
  TwoHosts Given;
  const MessageStamp Sent = Given.m_Own.stampFor("other");
  Given.pass(Milliseconds(40));
  Given.m_Other.noteReceived("own", Sent);
  Given.pass(Milliseconds(700));
  const MessageStamp Answer = Given.m_Other.stampFor("own");
  Given.pass(Milliseconds(5000));
  const auto Bound = Given.m_Own.noteReceived("other", Answer);
  REQUIRE(Bound);
  CHECK(*Bound >= Milliseconds(5000));
  CHECK(*Bound <= Milliseconds(5041));
}

TEST_CASE("a stamp that arrives late does not replace a newer one") {
  TwoHosts Given;
  const MessageStamp Older = Given.m_Own.stampFor("other");
  Given.pass(Milliseconds(100));
  const MessageStamp Newer = Given.m_Own.stampFor("other");
  Given.m_Other.noteReceived("own", Newer);
  Given.m_Other.noteReceived("own", Older);
  CHECK(Given.m_Other.stampFor("own").m_Echo == Newer.m_SentAt);
}

TEST_CASE("an impossible echo says nothing") {
  TwoHosts Given;
  MessageStamp Stamp = Given.m_Other.stampFor("own");
  Stamp.m_Echo = std::chrono::duration_cast<Milliseconds>(
                     Given.m_OwnTime.now().time_since_epoch()) +
                 Milliseconds(500);
  CHECK(!Given.m_Own.noteReceived("other", Stamp));
  Stamp.m_Echo = *Stamp.m_Echo - Milliseconds(1000);
  Stamp.m_EchoHeldFor = Milliseconds(-1);
  CHECK(!Given.m_Own.noteReceived("other", Stamp));
}

TEST_CASE("a stamp is unchanged by encoding, and malformed ones are rejected") {
  HostReport Report;
  Report.m_Host = "h1";
  Report.m_ConfigVersion = 22;
  const std::string Encoded = encodeHostReport(Report);
  for (const MessageStamp &Stamp :
       {MessageStamp{Milliseconds(17), {}, {}},
        MessageStamp{Milliseconds(17), Milliseconds(-4), Milliseconds(9)}}) {
    HostReport Expected = Report;
    Expected.m_Stamp = Stamp;
    const auto Read = decodeHostReport(encodeStamped(Encoded, Stamp));
    REQUIRE(Read.has_value());
    CHECK(Read.value() == Expected);
  }
  for (const char *Field : {R"("x":[])", R"("x":1)", R"("x":["a"])",
                            R"("x":[1,2])", R"("x":[1,2,"a"])", R"("v":"22")"})
    CHECK(!decodeHostReport("{" + std::string(Field) + "," + Encoded.substr(1))
               .has_value());
}
