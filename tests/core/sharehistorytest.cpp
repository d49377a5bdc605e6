#include "core/sharehistory.h"

#include <doctest.h>

using namespace monsoon;
using std::chrono::seconds;

TEST_CASE("a share that is not known for the whole time is none") {
  const TimePoint Start{seconds(100)};
  ShareHistory History;
  CHECK(History.smallest(Start) == 0);
  History.note(Start, 0.5);
  CHECK(History.smallest(Start - seconds(1)) == 0);
  CHECK(History.smallest(Start) == 0.5);
  CHECK(History.smallest(Start + seconds(5)) == 0.5);
}

TEST_CASE("the smallest share of the time counts") {
  const TimePoint Start{seconds(100)};
  ShareHistory History;
  History.note(Start, 0.5);
  History.note(Start + seconds(1), 0.25);
  History.note(Start + seconds(2), 1);
  CHECK(History.smallest(Start) == 0.25);
  CHECK(History.smallest(Start + seconds(1)) == 0.25);
  CHECK(History.smallest(Start + Milliseconds(1999)) == 0.25);
  CHECK(History.smallest(Start + seconds(2)) == 1);
}

TEST_CASE("a share is none again after very many changes") {
  const TimePoint Start{seconds(100)};
  ShareHistory History;
  for (int Count = 0; Count < 5000; ++Count)
    History.note(Start + Milliseconds(Count), Count % 2 == 0 ? 0.5 : 0.25);
  CHECK(History.smallest(Start) == 0);
  CHECK(History.smallest(Start + Milliseconds(4900)) == 0.25);
}
