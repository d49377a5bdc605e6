#include "entry/entrybench.h"

#include <doctest.h>

using namespace monsoon;
using Deed = ScriptedTarget::Deed;

namespace {

constexpr Milliseconds Long{900};

std::function<Deed(const std::string &)> always(Deed What) {
  return [What](const std::string & /*Id*/) { return What; };
}

} // namespace

TEST_CASE("before any tables were read a request is refused as not run") {
  EntryBench Bench;
  Bench.send("GET", "/read/1", "a", Long);
  CHECK(Bench.await("a").m_Status == 503);
  CHECK(Bench.await("a").m_Fields.find("Retry-After"));
}

TEST_CASE("a request without a route is not found") {
  EntryBench Bench;
  Bench.publish();
  Bench.send("GET", "/other/1", "a", Long);
  CHECK(Bench.await("a").m_Status == 404);
}

TEST_SUITE("whole-answer") {
  TEST_CASE("a target's answer is passed on as it is") {
    EntryBench Bench;
    Bench.addTarget("t1");
    Bench.publish();
    Bench.send("POST", "/write/1", "a", Long);
    const HttpAnswer &Answer = Bench.await("a");
    CHECK(Answer.m_Status == 200);
    CHECK(Answer.m_Body == "t1 ran a");
    CHECK(*Answer.m_Fields.find("Sign") == "yes");
    CHECK(!Answer.m_Fields.find("Keep-Alive"));
  }

  TEST_CASE("a success that the target did not sign is not passed on") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::Unsigned);
    Bench.publish();
    Bench.send("POST", "/write/1", "a", Long);
    CHECK(Bench.await("a").m_Status == 502);
    Bench.addTarget("t2");
    Bench.send("GET", "/read/1", "b", Long);
    CHECK(Bench.await("b").m_Body == "t2 ran b");
  }

  TEST_CASE("an answer that is cut short is not passed on") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::CutShort);
    Bench.publish();
    Bench.send("POST", "/write/1", "a", Long);
    CHECK(Bench.await("a").m_Status == 502);
  }

  TEST_CASE("an answer sent twice does not reach the next request") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::Twice);
    Bench.publish();
    for (const std::string Id : {"a", "b", "c"}) {
      Bench.send("POST", "/write/1", Id, Long);
      CHECK(Bench.await(Id).m_Body == "t1 ran " + Id);
    }
  }

  TEST_CASE("a target's own failure keeps its status and signature") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::Fail);
    Bench.publish();
    Bench.send("POST", "/write/1", "a", Long);
    CHECK(Bench.await("a").m_Status == 500);
    CHECK(Bench.await("a").m_Fields.find("Sign"));
  }
}

TEST_SUITE("at-most-once") {
  TEST_CASE("a lost order is not sent again") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::RunAndReset);
    Bench.addTarget("t2").m_Script = always(Deed::RunAndReset);
    Bench.publish();
    Bench.send("POST", "/write/1", "a", Long);
    CHECK(Bench.await("a").m_Status == 502);
    CHECK(Bench.runsOf("a") == 1);
  }

  TEST_CASE("a lost lookup is sent to another target") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::RunAndReset);
    Bench.addTarget("t2");
    Bench.publish();
    for (int Index = 0; Index < 4; ++Index) {
      const std::string Id = "a" + std::to_string(Index);
      Bench.send("GET", "/read/1", Id, Long);
      CHECK(Bench.await(Id).m_Body == "t2 ran " + Id);
    }
  }

  TEST_CASE("an order that a target refused goes to another one") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::Refuse);
    Bench.addTarget("t2");
    Bench.publish();
    Bench.send("POST", "/write/1", "a", Long);
    Bench.send("POST", "/write/2", "b", Long);
    CHECK(Bench.await("a").m_Body == "t2 ran a");
    CHECK(Bench.await("b").m_Body == "t2 ran b");
  }

  TEST_CASE("no more targets are asked than the route allows") {
    EntryBench Bench;
    for (const char *Id : {"t1", "t2", "t3", "t4"})
      Bench.addTarget(Id).m_Script = always(Deed::Refuse);
    Bench.publish([](Route::Builder &Each) { Each.maxAttempts(2); });
    Bench.send("GET", "/read/1", "a", Long);
    CHECK(Bench.await("a").m_Status == 503);
    int Arrivals = 0;
    for (const auto &[Id, Each] : Bench.m_Targets)
      Arrivals += Each->arrivals();
    CHECK(Arrivals == 2);
  }
}

TEST_SUITE("not-run") {
  TEST_CASE("an order that every target refused did not run") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::Refuse);
    Bench.publish();
    Bench.send("POST", "/write/1", "a", Long);
    CHECK(Bench.await("a").m_Status == 503);
    CHECK(Bench.await("a").m_Fields.find("Retry-After"));
    CHECK(Bench.runsOf("a") == 0);
  }

  TEST_CASE("a target that can't be reached costs no attempt") {
    EntryBench Bench;
    Bench.addTarget("t1").stopListening();
    Bench.addTarget("t2");
    Bench.publish([](Route::Builder &Each) { Each.maxAttempts(1); });
    for (const std::string Id : {"a", "b", "c"}) {
      Bench.send("POST", "/write/1", Id, Long);
      CHECK(Bench.await(Id).m_Body == "t2 ran " + Id);
    }
  }

  TEST_CASE("an order in flight at its time limit may have run") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::Hang);
    Bench.publish(
        [](Route::Builder &Each) { Each.deadline(Milliseconds(200)); });
    Bench.send("POST", "/write/1", "a", Long);
    CHECK(Bench.await("a").m_Status == 504);
    CHECK(Bench.runUntil(
        [&]() { return Bench.m_Targets["t1"]->abandoned() == 1; }));
  }

  TEST_CASE("what can't be served in time is refused at once, with a time to "
            "come back") {
    EntryBench Bench;
    Bench.addTarget("t1").m_Script = always(Deed::Hang);
    Bench.publish();
    for (int Index = 0; Index < 40; ++Index)
      Bench.send("POST", "/write/1", "a" + std::to_string(Index), Long);
    // The last of so many is refused while the first ones are still at work.
    CHECK(Bench.isAnswered("a39"));
    CHECK(Bench.await("a39").m_Status == 503);
    CHECK(Bench.await("a39").m_Fields.find("Retry-After"));
    CHECK(Bench.runsOf("a39") == 0);
    CHECK(!Bench.isAnswered("a0"));
  }

  TEST_CASE("a waiting request is served when a place is free") {
    EntryBench Bench;
    bool Busy = true;
    Bench.addTarget("t1").m_Script = [&Busy](const std::string &Id) {
      return Busy && Id[0] == 'h' ? Deed::Hang : Deed::Answer;
    };
    Bench.publish();
    std::vector<std::shared_ptr<PendingRequest>> Hanging;
    for (int Index = 0; Index < 3; ++Index)
      Hanging.push_back(
          Bench.send("GET", "/read/1", "h" + std::to_string(Index), Long));
    Bench.send("GET", "/read/1", "w", Long);
    Bench.runUntil([&]() { return Bench.m_Targets["t1"]->arrivals() == 3; });
    CHECK(!Bench.isAnswered("w"));
    Hanging[0]->cancel();
    CHECK(Bench.await("w").m_Status == 200);
  }
}

TEST_CASE("near the end of a stop a new request is refused, and one that was "
          "passed on is still answered") {
  EntryBench Bench;
  bool Hangs = true;
  Bench.addTarget("t1").m_Script = [&Hangs](const std::string & /*Id*/) {
    return Hangs ? Deed::Hang : Deed::Answer;
  };
  Bench.publish();
  Bench.send("POST", "/write/1", "before", Long);
  REQUIRE(Bench.runUntil([&]() { return Bench.runsOf("before") == 1; }));
  Bench.m_Dispatcher->refuseNew();
  Hangs = false;
  Bench.send("POST", "/write/2", "after", Long);
  CHECK(Bench.await("after").m_Status == 503);
  CHECK(Bench.await("after").m_Fields.find("Retry-After"));
  CHECK(Bench.runsOf("after") == 0);
  CHECK(!Bench.isAnswered("before"));
}

TEST_SUITE("leaving-target") {
  TEST_CASE("a draining target gets no new request") {
    EntryBench Bench;
    Bench.addTarget("t1");
    Bench.addTarget("t2");
    Bench.publish();
    Bench.drainTarget("t1");
    for (int Index = 0; Index < 6; ++Index)
      Bench.send("GET", "/read/1", "a" + std::to_string(Index), Long);
    for (int Index = 0; Index < 6; ++Index)
      CHECK(Bench.await("a" + std::to_string(Index)).m_Status == 200);
    CHECK(Bench.m_Targets["t1"]->arrivals() == 0);
  }
}

TEST_SUITE("domain-out") {
  TEST_CASE("a domain that is out gets nothing; after its return a target "
            "waits for word that it is warm") {
    EntryBench Bench;
    Bench.addTarget("t1", "orders", "d1");
    Bench.publish();
    Bench.m_Registry->setDomainOut("d1", true);
    Bench.send("GET", "/read/1", "a", Milliseconds(300));
    CHECK(Bench.await("a").m_Status == 503);
    Bench.m_Registry->setDomainOut("d1", false);
    Bench.send("GET", "/read/1", "b", Milliseconds(300));
    CHECK(Bench.await("b").m_Status == 503);
    CHECK(Bench.m_Targets["t1"]->arrivals() == 0);
    ++Bench.m_Members.at("t1").m_Sequence;
    Bench.m_Registry->setTargets(Bench.m_Members);
    Bench.send("GET", "/read/1", "c", Long);
    CHECK(Bench.await("c").m_Status == 200);
  }
}

TEST_CASE("a caller that leaves ends the target's work") {
  EntryBench Bench;
  Bench.addTarget("t1").m_Script = always(Deed::Hang);
  Bench.publish();
  const auto Pending = Bench.send("GET", "/read/1", "a", Long);
  REQUIRE(Bench.runUntil([&]() { return Bench.runsOf("a") == 1; }));
  Pending->cancel();
  CHECK(
      Bench.runUntil([&]() { return Bench.m_Targets["t1"]->abandoned() == 1; },
                     Milliseconds(500)));
  CHECK(!Bench.isAnswered("a"));
}

TEST_CASE("a lookup at a target that hangs is sent to another one") {
  EntryBench Bench;
  Bench.addTarget("t1").m_Script = always(Deed::Hang);
  Bench.addTarget("t2");
  Bench.publish(
      [](Route::Builder &Each) { Each.deadline(Milliseconds(3000)); });
  for (int Index = 0; Index < 4; ++Index) {
    const std::string Id = "a" + std::to_string(Index);
    Bench.send("GET", "/read/1", Id, Milliseconds(3000));
    CHECK(Bench.await(Id).m_Body == "t2 ran " + Id);
  }
}

TEST_CASE("each finished request is reported with what decided it") {
  EntryBench Bench;
  Bench.addTarget("t1");
  Bench.publish();
  Bench.send("GET", "/read/1", "a", Long);
  Bench.await("a");
  REQUIRE(Bench.m_Reports.size() == 1);
  CHECK(Bench.m_Reports[0].m_RequestId == "a");
  CHECK(Bench.m_Reports[0].m_Target == "t1");
  CHECK(Bench.m_Reports[0].m_ConfigVersion == 1);
  CHECK(Bench.m_Reports[0].m_Reason == "answered");
}

TEST_SUITE("not-run") {
  TEST_CASE("an order whose connection was still being opened has not run") {
    EntryBench Bench;
    Bench.addTarget("t1");
    // A listener whose queue is full answers no further attempt to connect.
    boost::asio::ip::tcp::acceptor Full(Bench.m_Loop);
    Full.open(boost::asio::ip::tcp::v4());
    Full.bind({boost::asio::ip::make_address_v4("127.0.0.1"), 0});
    Full.listen(0);
    std::vector<boost::asio::ip::tcp::socket> Filling;
    for (int Count = 0; Count < 4; ++Count) {
      Filling.emplace_back(Bench.m_Loop);
      Filling.back().async_connect(
          Full.local_endpoint(),
          [](const boost::system::error_code & /*Error*/) {});
    }
    Bench.runUntil([]() { return false; }, Milliseconds(50));
    Bench.m_Members["t1"].m_Address = {"127.0.0.1",
                                       Full.local_endpoint().port()};
    Bench.m_Registry->setTargets(Bench.m_Members);
    Bench.publish();
    Bench.send("POST", "/write/1", "a", Milliseconds(200));
    CHECK(Bench.await("a").m_Status == 503);
    CHECK(Bench.await("a").m_Fields.find("Retry-After"));
  }
}
