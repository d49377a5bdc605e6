#include "telemetry/lineoutput.h"
#include "telemetry/linebudget.h"

#include <doctest.h>

#include <array>
#include <unistd.h>

using namespace monsoon;
using std::chrono::seconds;

TEST_CASE("lines are dropped without blocking when the reader stops reading") {
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  LineOutput Output(Pipe[1]);
  const auto Start = std::chrono::steady_clock::now();
  for (int Count = 0; Count < 20'000; ++Count)
    Output.write("{\"event\":\"something that happened\"}");
  CHECK(std::chrono::steady_clock::now() - Start < seconds(2));
  const uint64_t Dropped = Output.dropped();
  CHECK(Dropped > 0);

  // When the reader resumes, the next line is preceded by the dropped count.
  std::array<char, 1 << 17> Bytes{};
  REQUIRE(read(Pipe[0], Bytes.data(), Bytes.size()) > 0);
  Output.write("{\"event\":\"next\"}");
  const ssize_t Size = read(Pipe[0], Bytes.data(), Bytes.size());
  REQUIRE(Size > 0);
  const std::string Text(Bytes.data(), static_cast<size_t>(Size));
  CHECK(Text.find("\"log_lines_dropped\"") != std::string::npos);
  CHECK(Text.find("\"count\":" + std::to_string(Dropped)) != std::string::npos);
  CHECK(Text.find("\"next\"") != std::string::npos);
  close(Pipe[0]);
  close(Pipe[1]);
}

TEST_CASE("the line budget limits the lines per second") {
  LineBudget Budget(10, 20);
  TimePoint Now{seconds(100)};
  int Taken = 0;
  for (int Step = 0; Step < 10'000; ++Step, Now += Milliseconds(1))
    Taken += Budget.take(Now) ? 1 : 0;
  CHECK(Taken <= 20 + 10 * 10);
  CHECK(Taken >= 100);
  CHECK(Budget.takeSuppressed() == static_cast<uint64_t>(10'000 - Taken));
  CHECK(Budget.takeSuppressed() == 0);
}
