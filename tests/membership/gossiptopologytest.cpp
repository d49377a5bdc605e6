#include "membership/gossiptopology.h"

#include <doctest.h>

#include <set>
#include <string>

using namespace monsoon;

namespace {

std::map<std::string, GossipPeer> hostsOf(int Count, int Domains) {
  std::map<std::string, GossipPeer> Result;
  for (int Number = 0; Number < Count; ++Number)
    Result["h" + std::to_string(Number)] = {
        {"10.0.0.1", Number}, "d" + std::to_string(Number % Domains)};
  return Result;
}

} // namespace

TEST_CASE("few hosts form a mesh") {
  const GossipTopology Few("h0", hostsOf(12, 3));
  CHECK(Few.isMesh());
  CHECK(Few.neighbors().size() == 11);
  CHECK(Few.otherRelays().empty());
  CHECK(!Few.isRelay());
}

TEST_CASE("many hosts of a single domain form a mesh") {
  const GossipTopology Single("h0", hostsOf(40, 1));
  CHECK(Single.isMesh());
  CHECK(Single.neighbors().size() == 39);
}

TEST_CASE("many hosts have their domain and the relays of the others") {
  const auto Hosts = hostsOf(120, 5);
  int Relays = 0;
  for (const auto &[Host, Peer] : Hosts) {
    const GossipTopology Each(Host, Hosts);
    CHECK(!Each.isMesh());
    CHECK(Each.neighbors().size() == 23);
    CHECK(Each.otherRelays().size() == 8);
    CHECK(Each.ownRelays().size() == 2);
    Relays += Each.isRelay() ? 1 : 0;
    for (const std::string &Relay : Each.otherRelays()) {
      CHECK(Each.domainOf(Relay) != Peer.m_Domain);
      CHECK(GossipTopology(Relay, Hosts).isRelay());
    }
  }
  CHECK(Relays == 10);
}

TEST_CASE("the relays of a domain are the hosts with the fastest links") {
  // Guards against relays whose gossip fills the link that their own reads of
  // the log need.
  auto Hosts = hostsOf(120, 5);
  for (auto &[Host, Peer] : Hosts)
    Peer.m_LinkMbps = 20;
  const std::set<std::string> Fast{"h0", "h5", "h10", "h1", "h6"};
  for (const std::string &Each : Fast)
    Hosts[Each].m_LinkMbps = 200;
  const GossipTopology First("h20", Hosts);
  REQUIRE(First.ownRelays().size() == 2);
  for (const std::string &Each : First.ownRelays())
    CHECK(Fast.count(Each) == 1);
  const GossipTopology Second("h21", Hosts);
  CHECK(std::set<std::string>(Second.ownRelays().begin(),
                              Second.ownRelays().end()) ==
        std::set<std::string>{"h1", "h6"});
}

TEST_CASE("a domain with one host has that host as its relay") {
  auto Hosts = hostsOf(20, 4);
  Hosts["alone"] = {{"10.0.0.1", 99}, "far"};
  const GossipTopology Alone("alone", Hosts);
  CHECK(Alone.isRelay());
  CHECK(Alone.neighbors().empty());
  CHECK(Alone.otherRelays().size() == 8);
  CHECK(GossipTopology("h0", Hosts).otherRelays().count("alone") == 1);
}
