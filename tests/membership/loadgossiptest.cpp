#include "membership/loadgossip.h"
#include "codec/hostreportcodec.h"

#include <doctest.h>

#include <memory>
#include <vector>

using namespace monsoon;
using std::chrono::milliseconds;

namespace {

class ManualClock : public Clock {
public:
  TimePoint now() const override { return m_Now; }
  TimePoint m_Now{std::chrono::seconds(100)};
};

/// Delivers messages between hosts by port, except to and from m_CutPort.
class Switch {
public:
  class Port : public PeerChannel {
  public:
    Port(Switch &All, int Number) : m_All(All), m_Number(Number) {}
    void send(const Endpoint &To, const std::string &Message) override {
      if (m_All.m_CutPort != m_Number && m_All.m_CutPort != To.m_Port)
        m_All.m_Ports[static_cast<size_t>(To.m_Port)]->m_Received(Message);
    }
    void onMessage(Received Callback) override {
      m_Received = std::move(Callback);
    }

  private:
    Switch &m_All;
    const int m_Number;
    Received m_Received;
  };

  std::vector<std::unique_ptr<Port>> m_Ports;
  int m_CutPort = -1;
};

struct ThreeHosts {
  ThreeHosts() {
    std::map<std::string, Endpoint> Peers;
    for (int Number = 0; Number < 3; ++Number) {
      m_Switch.m_Ports.push_back(
          std::make_unique<Switch::Port>(m_Switch, Number));
      Peers["h" + std::to_string(Number)] = {"127.0.0.1", Number};
    }
    for (int Number = 0; Number < 3; ++Number) {
      m_Hosts.push_back(std::make_unique<LoadGossip>(
          "h" + std::to_string(Number),
          *m_Switch.m_Ports[static_cast<size_t>(Number)], m_Time,
          [this, Number](bool Brief) {
            HostReport Report;
            if (Brief)
              Report.m_Topics = {{"owners", {5, 5, milliseconds(0)}}};
            else
              Report.m_InFlight = m_InFlight[Number];
            return Report;
          },
          [this](const HostReport &Report) {
            m_Topics += Report.m_Topics.size();
          }));
      m_Hosts.back()->setPeers(Peers);
    }
  }

  void run(milliseconds Length) {
    for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(50)) {
      m_Time.m_Now += milliseconds(50);
      for (const auto &Each : m_Hosts)
        Each->tick();
    }
  }

  ManualClock m_Time;
  Switch m_Switch;
  std::map<int, std::map<std::string, int>> m_InFlight;
  size_t m_Topics = 0;
  std::vector<std::unique_ptr<LoadGossip>> m_Hosts;
};

} // namespace

TEST_CASE("hosts know what their peers have in flight") {
  ThreeHosts Given;
  Given.m_InFlight = {{0, {{"t1", 2}}}, {1, {{"t1", 1}, {"t2", 4}}}};
  Given.run(milliseconds(500));
  CHECK(Given.m_Hosts[2]->peerLoad().m_InFlight["t1"] == 3);
  CHECK(Given.m_Hosts[0]->peerLoad().m_InFlight["t1"] == 1);
  CHECK(Given.m_Hosts[0]->peerLoad().m_Coverage == 1);
}

TEST_CASE(
    "a brief report is sent at the next tick and keeps the known counts") {
  ThreeHosts Given;
  Given.m_InFlight = {{0, {{"t1", 2}}}};
  Given.run(milliseconds(500));
  Given.m_Hosts[0]->requestBriefReport();
  Given.run(milliseconds(50));
  CHECK(Given.m_Topics == 2);
  CHECK(Given.m_Hosts[1]->peerLoad().m_InFlight["t1"] == 2);
}

TEST_CASE("the load of a host that stops reporting expires") {
  ThreeHosts Given;
  Given.m_InFlight = {{0, {{"t1", 2}}}};
  Given.run(milliseconds(500));
  Given.m_Switch.m_CutPort = 0;
  Given.run(milliseconds(1000));
  CHECK(Given.m_Hosts[1]->peerLoad().m_InFlight["t1"] == 0);
  CHECK(Given.m_Hosts[1]->reportingHosts() == 2);
  CHECK(Given.m_Hosts[1]->peerLoad().m_Coverage == 0.5);
}

TEST_CASE(
    "a report is unchanged by encoding, and malformed messages are rejected") {
  HostReport Report;
  Report.m_Host = "h1#a@10.0.0.1:7620";
  Report.m_Sequence = 7;
  Report.m_InFlight = {{"t1", 3}};
  Report.m_Waiting = {{"t2", 1}};
  Report.m_Topics = {{"owners", {120, 118, milliseconds(40)}}};
  Report.m_OwnerUpdates = {{"ledger", 118, 120, 9, {{0, 99, "t1", 5, 8}}}};
  Report.m_KeyCounts = {{"ledger", {{5, 2}, {65'535, 1}}}};
  Report.m_EndedTerms = {{"ledger", {3, milliseconds(2700)}}};
  const auto Read = decodeHostReport(encodeHostReport(Report));
  REQUIRE(Read.has_value());
  CHECK(Read.value() == Report);
  for (const char *Text :
       {"", "[]", "{\"h\":1}", "{\"h\":\"a\",\"n\":1,\"f\":[[1,2]],\"k\":{}}",
        "{\"h\":\"a\",\"n\":1,\"f\":[],\"w\":[],\"t\":[],\"o\":[],\"e\":{},"
        "\"k\":{\"p\":[[1]]}}",
        "{\"h\":\"a\",\"n\":1,\"f\":[],\"w\":[],\"t\":[[\"x\"]],\"o\":[],\"e\":"
        "{},\"k\":{}}",
        "{\"h\":\"a\",\"n\":1,\"f\":[],\"w\":[],\"t\":[],\"o\":[1],\"e\":{},"
        "\"k\":{}}",
        "{\"h\":\"a\",\"n\":1,\"f\":[],\"w\":[],\"t\":[],\"o\":[],\"e\":{\"p\":"
        "[1]},\"k\":{}}"})
    CHECK(!decodeHostReport(Text).has_value());
}
