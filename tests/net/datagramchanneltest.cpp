#include "net/datagramchannel.h"
#include "net/rawpeer.h"
#include "support/fakeclock.h"

#include <doctest.h>

#include <boost/asio/post.hpp>

#include <algorithm>

using namespace monsoon;

namespace {

constexpr int Messages = 60;

/// A channel whose messages wait in the socket, and an event loop with other
/// work in each of its turns.
struct BusyLoop {
  BusyLoop() {
    REQUIRE(m_Channel.listen({"127.0.0.1", 0}).has_value());
    m_Channel.onMessage(
        [this](const std::string &Message) { m_Received.push_back(Message); });
    work();
  }

  void sendAll() {
    boost::asio::ip::udp::socket Sender(m_Loop, boost::asio::ip::udp::v4());
    const boost::asio::ip::udp::endpoint To(
        boost::asio::ip::make_address_v4(m_Channel.address().m_Host),
        static_cast<unsigned short>(m_Channel.address().m_Port));
    for (int Number = 0; Number < Messages; ++Number)
      Sender.send_to(boost::asio::buffer(std::to_string(Number)), To);
  }

  void work() {
    boost::asio::post(m_Loop, [this]() {
      ++m_Turns;
      work();
    });
  }

  boost::asio::io_context m_Loop;
  FakeClock m_Time;
  DatagramChannel m_Channel{m_Loop, m_Time};
  /// Time that the handling of a message takes.
  Milliseconds m_HandlingTime{0};
  std::vector<std::string> m_Received;
  int m_Turns = 0;
};

} // namespace

TEST_SUITE("late-news") {
  // Guards against reports that wait in the socket for seconds while the event
  // loop is busy: one was received in each of its turns.
  TEST_CASE("messages that wait in the socket are received in a few turns of "
            "the event loop") {
    BusyLoop Given;
    Given.sendAll();
    const bool AllCame = runUntil(Given.m_Loop, [&Given]() {
      return Given.m_Received.size() == Messages;
    });
    REQUIRE(AllCame);
    CHECK(Given.m_Turns <= 10);
    for (int Number = 0; Number < Messages; ++Number)
      CHECK(Given.m_Received[static_cast<size_t>(Number)] ==
            std::to_string(Number));
  }

  // Guards against requests that wait for hundreds of milliseconds while a
  // small host handles reports.
  TEST_CASE("messages that take long to handle leave the event loop to others "
            "in between") {
    BusyLoop Given;
    Given.m_HandlingTime = Milliseconds(5);
    Given.sendAll();
    size_t Most = 0;
    const bool AllCame = runUntil(Given.m_Loop, [&]() {
      const size_t Before = Given.m_Received.size();
      const int Turn = Given.m_Turns;
      while (Given.m_Turns == Turn && Given.m_Received.size() < Messages)
        Given.m_Loop.run_one_for(Milliseconds(10));
      Most = std::max(Most, Given.m_Received.size() - Before);
      return Given.m_Received.size() == Messages;
    });
    REQUIRE(AllCame);
    // 20 ms in a batch, which may begin and end within one turn.
    CHECK(Most <= 10);
  }
}

TEST_CASE("a channel counts the bytes that it has sent and received") {
  boost::asio::io_context Loop;
  const FakeClock Time;
  DatagramChannel First(Loop, Time);
  DatagramChannel Second(Loop, Time);
  REQUIRE(First.listen({"127.0.0.1", 0}).has_value());
  REQUIRE(Second.listen({"127.0.0.1", 0}).has_value());
  First.send(Second.address(), "12345");
  CHECK(
      runUntil(Loop, [&Second]() { return Second.traffic().m_Received == 5; }));
  CHECK(First.traffic().m_Sent == 5);
}
