#include "platform/grantclient.h"
#include "platform/storeclient.h"

#include "net/rawpeer.h"
#include "program/boottimeclock.h"
#include "support/brokenfields.h"

#include <doctest.h>

#include <optional>
#include <string>

using namespace monsoon;

namespace {

/// A store and a server of keys that answer each call with given bytes, without
/// reading more than its head, and end the connection in order or by a reset.
struct BrokenPeer {
  enum class End { Stream, Reset };

  BrokenPeer(std::string Bytes, End How)
      : m_Bytes(std::move(Bytes)), m_End(How), m_Listener(m_Loop),
        m_Store(m_Loop, m_Time, m_Listener.address(), 12),
        m_Grants(m_Loop, m_Time) {
    m_Listener.pauseNewPeers();
    m_Target.m_Id = "i-1";
    m_Target.m_Address = m_Listener.address();
  }

  /// Whether the store is taken to have appended records of a size.
  bool appends(size_t Size) {
    std::optional<bool> Done;
    m_Store.append(
        "t", {{"k", std::string(Size, 'x')}}, std::nullopt,
        [&](const Outcome<LogOffset> &End) { Done = End.has_value(); });
    return answerAndWait(Done);
  }
  bool reads() {
    std::optional<bool> Done;
    m_Store.read("t", 0, Milliseconds(0), [&](const Outcome<KeyedPage> &Page) {
      Done = Page.has_value();
    });
    return answerAndWait(Done);
  }
  bool grants() {
    std::optional<bool> Done;
    KeyGrant Grant;
    Grant.m_Keys = {0, 99};
    Grant.m_Fence = 1;
    Grant.m_Hold = Milliseconds(4000);
    m_Grants.grant(m_Target, Grant, [&](GrantCallResult Result) {
      Done = Result == GrantCallResult::Accepted;
    });
    return answerAndWait(Done);
  }
  bool releases() {
    std::optional<bool> Done;
    m_Grants.release(m_Target, {0, 99}, 1,
                     [&](GrantCallResult Result, const std::string &) {
                       Done = Result == GrantCallResult::Accepted;
                     });
    return answerAndWait(Done);
  }

private:
  bool answerAndWait(const std::optional<bool> &Done) {
    const auto IsAsked = [this]() {
      return m_Listener.connections() > 0 &&
             !m_Listener.peer(m_Listener.connections() - 1).received().empty();
    };
    REQUIRE(runUntil(m_Loop, IsAsked));
    // Until a long request waits for the peer.
    runUntil(
        m_Loop, []() { return false; }, Milliseconds(20));
    RawPeer &Peer = m_Listener.peer(m_Listener.connections() - 1);
    Peer.send(m_Bytes);
    if (m_End == End::Reset) {
      runUntil(
          m_Loop, []() { return false; }, Milliseconds(5));
      Peer.reset();
    } else {
      Peer.endStream();
    }
    REQUIRE(runUntil(m_Loop, [&Done]() { return Done.has_value(); }));
    return *Done;
  }

  const std::string m_Bytes;
  const End m_End;
  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  RawListener m_Listener;
  StoreClient m_Store;
  GrantClient m_Grants;
  TargetInfo m_Target;
};

/// Longer than the buffers of both sockets of a loopback connection.
constexpr size_t LongBodyBytes = 24 << 20;
constexpr size_t ShortBodyBytes = 8;

const std::string AppendBody = R"({"offset": 6, "end": 7})";
/// The end and the first offset of an empty topic.
const std::string PageBody(16, '\0');

std::string withoutLength(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\n\r\n" + Body;
}

std::string answer(const std::string &Status, const std::string &Line,
                   const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" + Line +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Checks that no call takes an answer with these first lines for a success.
void checkNoCallSucceeds(const std::string &Status, const std::string &Line) {
  CAPTURE(Status);
  CAPTURE(Line);
  using End = BrokenPeer::End;
  CHECK(!BrokenPeer(answer(Status, Line, AppendBody), End::Stream)
             .appends(ShortBodyBytes));
  CHECK(!BrokenPeer(answer(Status, Line, PageBody), End::Stream).reads());
  CHECK(!BrokenPeer(answer(Status, Line, ""), End::Stream).grants());
  CHECK(!BrokenPeer(answer(Status, Line, ""), End::Stream).releases());
}

} // namespace

TEST_SUITE("whole-answer") {
  TEST_CASE("reset while writing: the part of an answer of the store to an "
            "append is lost") {
    for (const size_t Size : {ShortBodyBytes, LongBodyBytes}) {
      CAPTURE(Size);
      CHECK(!BrokenPeer(withoutLength(AppendBody), BrokenPeer::End::Reset)
                 .appends(Size));
    }
  }

  TEST_CASE("reset: the part of an answer to a read, a grant or a release is "
            "lost") {
    using End = BrokenPeer::End;
    CHECK(!BrokenPeer(withoutLength(PageBody), End::Reset).reads());
    CHECK(!BrokenPeer(withoutLength("ok"), End::Reset).grants());
    CHECK(!BrokenPeer(withoutLength("ok"), End::Reset).releases());
  }

  TEST_CASE("an answer of the store or to a grant without a length is whole "
            "when its stream ended") {
    using End = BrokenPeer::End;
    for (const size_t Size : {ShortBodyBytes, LongBodyBytes})
      CHECK(BrokenPeer(withoutLength(AppendBody), End::Stream).appends(Size));
    CHECK(BrokenPeer(withoutLength(PageBody), End::Stream).reads());
    CHECK(BrokenPeer(withoutLength("ok"), End::Stream).grants());
    CHECK(BrokenPeer(withoutLength("ok"), End::Stream).releases());
  }

  TEST_CASE("an answer of the store or to a grant with an invalid status is no "
            "success") {
    for (const char *Status : {"000 Trouble", "099 Trouble", "600 Trouble",
                               "20 OK", "2000 OK", "2x0 OK"})
      checkNoCallSucceeds(Status, "");
  }

  TEST_CASE("an answer of the store or to a grant with a blank or control byte "
            "in the name of a field is no success") {
    for (const std::string &Line : BrokenFieldLines)
      checkNoCallSucceeds("200 OK", Line + "\r\n");
  }

  TEST_CASE(
      "the bytes after an answer with an invalid status are no answer to a "
      "grant or a release") {
    const std::string Bytes =
        answer("000 Trouble", "", "") + answer("200 OK", "", "");
    CHECK(!BrokenPeer(Bytes, BrokenPeer::End::Stream).grants());
    CHECK(!BrokenPeer(Bytes, BrokenPeer::End::Stream).releases());
  }
}
