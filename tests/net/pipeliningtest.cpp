#include "net/sessionbench.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <doctest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace monsoon;

namespace {

std::string post(const std::string &Path, const std::string &Body) {
  return absl::StrCat("POST ", Path,
                      " HTTP/1.1\r\nHost: a\r\nContent-Length: ", Body.size(),
                      "\r\n\r\n", Body);
}

/// Targets of the requests that reached the handler, in order.
std::vector<std::string> targetsOf(const ManualHandler &Handler) {
  std::vector<std::string> Result;
  for (const auto &Each : Handler.m_Pending)
    Result.push_back(Each->m_Request.m_Target);
  return Result;
}

/// Answers pending requests with their own targets, in random order, until all
/// Count requests are answered.
bool answerAll(SessionBench &Bench, size_t Count, std::mt19937 &Random) {
  std::set<size_t> Unanswered;
  size_t Seen = 0;
  return runUntil(
      Bench.m_Loop,
      [&]() {
        for (; Seen < Bench.m_Handler.m_Pending.size(); ++Seen)
          Unanswered.insert(Seen);
        if (!Unanswered.empty()) {
          const auto It = std::next(
              Unanswered.begin(),
              static_cast<std::ptrdiff_t>(Random() % Unanswered.size()));
          const size_t Index = *It;
          Unanswered.erase(It);
          Bench.m_Handler.answer(
              Index,
              absl::StrCat("<",
                           Bench.m_Handler.m_Pending[Index]->m_Request.m_Target,
                           ">"));
        }
        return Unanswered.empty() && Seen >= Count;
      },
      std::chrono::milliseconds(20'000));
}

/// The bodies <TARGET> in the received text, in order.
std::vector<std::string> answeredTargets(const std::string &Text) {
  std::vector<std::string> Result;
  for (size_t From = Text.find('<'); From != std::string::npos;
       From = Text.find('<', From + 1))
    Result.push_back(Text.substr(From + 1, Text.find('>', From) - From - 1));
  return Result;
}

} // namespace

TEST_SUITE("whole-answer") {
  // Guards against requests that are handled again or lost when they wait
  // behind many others.
  TEST_CASE("read-ahead: more lookups than may be in flight") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    std::string Text;
    std::vector<std::string> Expected;
    for (int Index = 0; Index < 40; ++Index) {
      Expected.push_back(absl::StrCat("/", Index));
      Text += get(Expected.back());
    }
    Peer->send(Text);
    REQUIRE(Bench.awaitRequests(32));
    Bench.runBriefly();
    for (size_t Index = 0; Index < 32; ++Index)
      Bench.m_Handler.answer(Index, "served");
    REQUIRE(Bench.awaitRequests(40));
    // The read that was pending while the last requests were parsed.
    Expected.push_back("/order");
    Peer->send(post("/order", "cargo"));
    REQUIRE(Bench.awaitRequests(41));
    CHECK(targetsOf(Bench.m_Handler) == Expected);
    CHECK(Bench.m_Handler.m_Pending[40]->m_Request.m_Body == "cargo");
  }

  // Guards against an order that gets the answer to the lookup before it.
  TEST_CASE("read-ahead: a lookup behind an order, then another order") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(post("/first", "one") + get("/lookup"));
    REQUIRE(Bench.awaitRequests(1));
    Bench.runBriefly();
    Bench.m_Handler.answer(0, "<first>");
    REQUIRE(Bench.awaitRequests(2));
    Bench.m_Handler.answer(1, "<lookup>");
    REQUIRE(Bench.awaitText(*Peer, "<lookup>"));
    Peer->send(post("/second", "two"));
    REQUIRE(Bench.awaitRequests(3));
    CHECK(targetsOf(Bench.m_Handler) ==
          std::vector<std::string>{"/first", "/lookup", "/second"});
    CHECK(Bench.m_Handler.m_Pending[2]->m_Request.m_Body == "two");
  }

  // Guards against a refused request whose pending read reaches the next one.
  TEST_CASE("read-ahead: bytes behind a refused request are discarded") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1") + "nonsense\r\n\r\n" + get("/2"));
    REQUIRE(Bench.awaitRequests(1));
    Peer->send(get("/3"));
    Bench.runBriefly();
    Bench.m_Handler.answer(0, "served");
    REQUIRE(Bench.awaitText(*Peer, "HTTP/1.1 400"));
    Peer->send(get("/4"));
    CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
    CHECK(Bench.m_Handler.m_Pending.size() == 1);
  }

  // Guards against any order of reads and parses that mixes up requests.
  TEST_CASE("read-ahead: random segments, methods, sizes and answers") {
    for (unsigned Seed = 1; Seed <= 12; ++Seed) {
      CAPTURE(Seed);
      std::mt19937 Random(Seed);
      SessionBench Bench;
      const auto Peer = Bench.connect();
      std::string Text;
      std::vector<std::string> Expected;
      std::vector<std::string> Bodies;
      for (int Index = 0; Index < 150; ++Index) {
        Expected.push_back(absl::StrCat("/", Index));
        const bool IsOrder = Random() % 8 == 0;
        // Some orders exceed what is read ahead.
        const size_t Size = Random() % 4 == 0 ? Random() % 200'000 : 20;
        Bodies.push_back(
            IsOrder ? std::string(Size, static_cast<char>('a' + Index % 26))
                    : "");
        Text += IsOrder ? post(Expected.back(), Bodies.back())
                        : get(Expected.back());
      }
      size_t Sent = 0;
      boost::asio::steady_timer Timer(Bench.m_Loop);
      const std::function<void()> SendNext = [&]() {
        if (Sent >= Text.size())
          return;
        const size_t Size = std::min<size_t>(
            Text.size() - Sent,
            Random() % 3 == 0 ? Random() % 30'000 : Random() % 300);
        Peer->send(Text.substr(Sent, Size));
        Sent += Size;
        Timer.expires_after(std::chrono::microseconds(Random() % 300));
        Timer.async_wait([&](const boost::system::error_code &Error) {
          if (!Error)
            SendNext();
        });
      };
      SendNext();
      REQUIRE(answerAll(Bench, Expected.size(), Random));
      REQUIRE(runUntil(Bench.m_Loop, [&]() {
        return answeredTargets(Peer->received()).size() >= Expected.size();
      }));
      Timer.cancel();
      CHECK(targetsOf(Bench.m_Handler) == Expected);
      CHECK(answeredTargets(Peer->received()) == Expected);
      for (size_t Index = 0; Index < Expected.size(); ++Index) {
        CAPTURE(Index);
        const bool IsSame =
            Bench.m_Handler.m_Pending[Index]->m_Request.m_Body == Bodies[Index];
        CHECK(IsSame);
      }
    }
  }

  // Guards against bodies in answers to HEAD, which callers take for the start
  // of the next answer.
  TEST_CASE("head: an answer to HEAD has no body, whoever made it") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/2"));
    REQUIRE(Bench.awaitRequests(2));
    Bench.m_Handler.answer(0, "failure in words");
    Bench.m_Handler.answer(1, "served");
    REQUIRE(Bench.awaitText(*Peer, "served"));
    const std::string &Text = Peer->received();
    CHECK(!absl::StrContains(Text, "failure in words"));
    CHECK(absl::StrContains(Text, "Content-Length: 16\r\n\r\nHTTP/1.1 200"));
  }

  TEST_CASE("head: an answer without a body to HEAD names no length") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(Bench.awaitRequests(1));
    Bench.m_Handler.answer(0, "");
    REQUIRE(Bench.awaitText(*Peer, "\r\n\r\n"));
    CHECK(!absl::StrContains(Peer->received(), "Content-Length"));
  }

  TEST_CASE("head: refusals of HEAD requests have no body") {
    for (const std::string Rest :
         {"Host: a\r\nUnwanted: 1\r\nContent-Length: 5\r\n\r\n",
          "Host: a\r\nHost: b\r\n\r\n", "Host a\r\n\r\n",
          "Host: a\r\nContent-Length: 99999999\r\n\r\n"}) {
      CAPTURE(Rest);
      SessionBench Bench;
      Bench.m_Handler.m_RefusalBody = "refused in words";
      const auto Peer = Bench.connect();
      Peer->send("HEAD /1 HTTP/1.1\r\n" + Rest);
      CHECK(runUntil(Bench.m_Loop, [&]() { return Peer->hasEnded(); }));
      const std::string &Text = Peer->received();
      CHECK(absl::StartsWith(Text, "HTTP/1.1 4"));
      CHECK(absl::EndsWith(Text, "\r\n\r\n"));
    }
  }

  // Guards against a caller that waits for 100 Continue for ever.
  TEST_CASE("a request that expects 100 Continue gets it once the ones before "
            "it are answered") {
    SessionBench Bench;
    const auto Peer = Bench.connect();
    Peer->send(get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nExpect: "
                           "100-continue\r\nContent-Length: 4\r\n\r\n");
    REQUIRE(Bench.awaitRequests(1));
    Bench.runBriefly();
    CHECK(Peer->received().empty());
    Bench.m_Handler.answer(0, "served");
    REQUIRE(Bench.awaitText(*Peer, "HTTP/1.1 100 Continue\r\n\r\n"));
    Peer->send("body");
    REQUIRE(Bench.awaitRequests(2));
    CHECK(Bench.m_Handler.m_Pending[1]->m_Request.m_Body == "body");
  }
}
