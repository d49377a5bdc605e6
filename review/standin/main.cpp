#include "cases.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include <sys/prctl.h>
#include <unistd.h>

namespace {

/// Ends this program, and with it the hosts, if a case hangs.
constexpr unsigned LongestRunSeconds = 110;

void endCase(int /*Signal*/) { _exit(review::CouldNotRun); }

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 5) {
    std::fprintf(stderr, "usage: reviewcase CASE PROGRAM FOLDER RECORD\n");
    return review::CouldNotRun;
  }
  for (const int Signal : {SIGALRM, SIGTERM, SIGINT, SIGHUP})
    std::signal(Signal, endCase);
  std::signal(SIGPIPE, SIG_IGN);
  // Also if the script is killed.
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  alarm(LongestRunSeconds);
  const std::map<std::string, int (*)(const review::Setup &)> Cases = {
      {"early-answer", review::runEarlyAnswer},
      {"rejection-copy", review::runRejectionCopy},
      {"grant-copy", review::runGrantCopy},
      {"pool-removal", review::runPoolRemoval},
  };
  const auto Found = Cases.find(Arguments[1]);
  if (Found == Cases.end())
    return review::CouldNotRun;
  review::Record Log(Arguments[4]);
  const char *Trouble = std::getenv("TROUBLE");
  const review::Setup Given{Arguments[2], Arguments[3], Log,
                            !Trouble || std::string(Trouble) != "0"};
  const int Result = Found->second(Given);
  const char *Words[] = {"the rule held", "the rule was broken",
                         "the case could not run"};
  Log.write(Words[Result]);
  std::printf("%s: %s\n", Arguments[1], Words[Result]);
  return Result;
}
