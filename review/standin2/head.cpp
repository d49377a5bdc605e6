// Case 9. Requesters ask by HEAD and GET in turn on kept connections, one
// request at a time. Meanwhile some servers lose the answers of requests that
// they ran. Checked: after the answer to a HEAD request, which has no body, the
// next bytes are the answer to the next request.
#include "scene.h"

#include <atomic>
#include <random>

using namespace review;

namespace {

constexpr int Servers = 8;
constexpr int Requesters = 24;
constexpr Milliseconds RunTime{24'000};
constexpr Milliseconds Pause{20};
/// Every second round, for 4 s, three fifths of the servers lose the answers of
/// two fifths of the requests that they ran.
constexpr Milliseconds LossFrom{4000};
constexpr Milliseconds LossFor{4000};
constexpr Milliseconds LossEvery{8000};
constexpr int LosingServers = Servers * 3 / 5;
constexpr double LostFraction = 0.4;
constexpr Milliseconds AnswerLimit{4000};

std::atomic<bool> LosesAnswers{false};

/// Sends the answer, or resets the connection instead.
void respond(Connection &Peer, const Message &Request,
             const std::string &Answer) {
  thread_local std::mt19937 Random{std::random_device{}()};
  const std::string *Id = Request.find("X-Monsoonstand-Expect-Instance");
  const bool IsLosing =
      Id && std::stoi(Id->substr(Id->rfind('-') + 1)) <= LosingServers;
  if (LosesAnswers && IsLosing &&
      std::uniform_real_distribution<>()(Random) < LostFraction)
    Peer.reset();
  else
    Peer.write(Answer);
}

void request(Scene &Shared, int Number, int Port, TimePoint End) {
  int Next = 0;
  while (SteadyClock::now() < End) {
    const auto Peer = connectTo(Port);
    if (!Peer) {
      Shared.breach("a requester could not connect");
      return;
    }
    bool IsUsable = true;
    while (IsUsable && SteadyClock::now() < End) {
      const std::string Id =
          "h" + std::to_string(Number) + "-" + std::to_string(Next);
      const std::string Method = Next++ % 2 == 0 ? "HEAD" : "GET";
      IsUsable = Shared.send(*Peer, Id, Method, "/read/" + Id, "") &&
                 Shared.readAnswer(*Peer, Id, Method, AnswerLimit);
      std::this_thread::sleep_for(Pause);
    }
  }
}

} // namespace

int main(int Count, char **Arguments) {
  Scene Shared(Count, Arguments);
  Shared.addServers("keyed", 4, Milliseconds(120), true);
  Shared.addServers("reads", Servers, Milliseconds(60), false, respond);
  Shared.addServers("orders", 4, Milliseconds(160));
  if (!Shared.start(3))
    return Scene::CouldNotRun;
  const TimePoint Start = SteadyClock::now();
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < Requesters; ++Index)
    Threads.emplace_back([&Shared, Index, Start]() {
      request(Shared, Index, Shared.host(Index % 3).callerPort(),
              Start + RunTime);
    });
  bool WasLosing = false;
  while (SteadyClock::now() < Start + RunTime) {
    const auto Elapsed =
        std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - Start);
    LosesAnswers = Shared.hasTrouble() && Elapsed >= LossFrom &&
                   (Elapsed - LossFrom) % LossEvery < LossFor;
    if (LosesAnswers != WasLosing)
      Shared.note(LosesAnswers ? "servers begin to lose answers"
                               : "servers lose no more answers");
    WasLosing = LosesAnswers;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  for (std::thread &Each : Threads)
    Each.join();
  return Shared.finish();
}
