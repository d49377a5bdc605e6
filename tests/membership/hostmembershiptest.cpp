#include "membership/hostmembership.h"

#include "support/fakeclock.h"

#include <doctest.h>

#include <utility>

using namespace monsoon;
using std::chrono::milliseconds;

namespace {

class FakeGroup : public HostGroup {
public:
  uint32_t duties() const override { return 4; }
  void join(const std::string & /*Member*/, Milliseconds /*Stay*/,
            uint64_t /*Generation*/, JoinDone Done) override {
    if (m_Down) {
      Done(Failure{ErrorKind::LogUnavailable, ""});
      return;
    }
    Done(GroupAssignment{m_Generation, {0, 1}});
  }
  void leave(const std::string & /*Member*/) override {}
  void members(MembersDone Done) override {
    ++m_MemberRequests;
    if (m_Down)
      Done(Failure{ErrorKind::LogUnavailable, ""});
    else
      Done(m_Members);
  }

  uint64_t m_Generation = 1;
  std::set<std::string> m_Members{"a", "b", "c"};
  int m_MemberRequests = 0;
  bool m_Down = false;
};

class NoEvents : public EventSink {
public:
  void event(Severity /*Level*/, const char * /*Name*/,
             const Details & /*Fields*/) override {}
};

struct Member {
  Member() : m_Host("a", m_Group, m_Time, m_Events) {}

  void run(milliseconds Length) {
    for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(50)) {
      m_Time.advance(milliseconds(50));
      m_Host.tick();
    }
  }

  FakeClock m_Time;
  FakeGroup m_Group;
  NoEvents m_Events;
  HostMembership m_Host;
};

} // namespace

TEST_CASE("members are requested when the generation changes, not on every "
          "join, and stay counted") {
  Member Given;
  Given.run(milliseconds(10'000));
  CHECK(Given.m_Group.m_MemberRequests <= 2);
  CHECK(Given.m_Host.hosts() == 3);
  Given.m_Group.m_Members = {"a", "b", "c", "d"};
  ++Given.m_Group.m_Generation;
  Given.run(milliseconds(600));
  CHECK(Given.m_Host.hosts() == 4);
}

TEST_CASE("a member that left is counted until it must have noticed") {
  Member Given;
  Given.run(milliseconds(1000));
  Given.m_Group.m_Members = {"a", "b"};
  ++Given.m_Group.m_Generation;
  Given.run(milliseconds(3000));
  CHECK(Given.m_Host.hosts() == 3);
  Given.run(milliseconds(5000));
  CHECK(Given.m_Host.hosts() == 2);
}

TEST_CASE(
    "a host whose joins are not confirmed has no share of common limits") {
  Member Given;
  Given.run(milliseconds(1000));
  CHECK(Given.m_Host.share().isConnected());
  Given.m_Group.m_Down = true;
  Given.run(milliseconds(3500));
  CHECK(!Given.m_Host.share().isConnected());
  CHECK(Given.m_Host.heldUntil("any") < Given.m_Time.now());
}
