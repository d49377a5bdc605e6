#include "core/tablecheck.h"
#include "core/tablediff.h"

#include <doctest.h>

#include <algorithm>

using namespace monsoon;

namespace {

Route route(const std::string &Name, const std::string &Path,
            const std::string &Pool) {
  return Route::Builder(Name, *PathTemplate::parse(Path), Pool).build();
}

Pool pool(const std::string &Name, int Targets = 1) {
  Pool::Builder Builder(Name);
  for (int Index = 0; Index < Targets; ++Index)
    Builder.addTarget(
        {Name + std::to_string(Index), "127.0.0.1", 100 + Index, "d0", 4, 100});
  return Builder.build();
}

bool contains(const std::vector<std::string> &Lines, const std::string &Line) {
  return std::find(Lines.begin(), Lines.end(), Line) != Lines.end();
}

} // namespace

TEST_CASE("consistent tables have no faults") {
  CHECK(checkTables(Tables({route("r", "/r/{x}", "p")}, {pool("p")})).empty());
}

TEST_CASE("each inconsistency is reported as a fault") {
  const Tables Bad({route("a", "/a/{x}", "nowhere"), route("b", "/b/{x}", "p"),
                    route("c", "/b/c", "p"), route("d", "/d", "keyed")},
                   {pool("p"), pool("empty", 0),
                    Pool::Builder("keyed")
                        .ownedByKey(true)
                        .addTarget({"k", "127.0.0.1", 1, "d0", 4, 100})
                        .domainsOut({"d9"})
                        .build()});
  const auto Faults = checkTables(Bad);
  CHECK(contains(Faults, "route \"a\": pool \"nowhere\" does not exist in "
                         "table \"pools\""));
  CHECK(contains(Faults, "route \"c\": overlaps route \"b\" (/b/c and "
                         "/b/{x})"));
  CHECK(contains(Faults, "route \"d\": has no key, but pool \"keyed\" is "
                         "owned by key"));
  CHECK(contains(Faults, "pool \"empty\": has no targets"));
  CHECK(contains(Faults, "pool \"keyed\": no target is in failure domain "
                         "\"d9\""));
}

TEST_CASE("each difference of two tables gives one line") {
  const Tables Old({route("r", "/r", "p")}, {pool("p", 2)});
  const Tables New({route("r", "/r2", "p")}, {pool("p", 3), pool("q")});
  const auto Lines = diffTables(Old, New);
  CHECK(contains(Lines, "route \"r\" changed"));
  CHECK(contains(Lines, "pool \"q\" added"));
  CHECK(contains(Lines, "pool \"p\": target \"p2\" added"));
  CHECK(Lines.size() == 3);
}
