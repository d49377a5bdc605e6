// The platform's bounds hold a fraction of a second: grace_s = 6.5.
#include "../standin-3/deployment.h"

#include <unistd.h>

using namespace world;

int main(int, char **Arguments) {
  bindToScript();
  const std::string Folder = Arguments[1];
  const bool HasTrouble = std::string(Arguments[2]) != "0";
  Record Out(Arguments[3]);
  Deployment All(Folder, Out);
  for (auto &Each : All.m_Hosts) {
    Host::Options Config = Each->options();
    Config.m_Values["bounds.grace_s"] = HasTrouble ? "6.5" : "6";
    Each = std::make_unique<Host>(Config, All.m_Store->address(), Out);
  }
  Out.line("grace_s is %s", HasTrouble ? "6.5" : "6");
  const bool IsStarted = All.start();
  int Ends = 0, Served = 0;
  for (const auto &Each : All.m_Hosts) {
    Ends += Each->ownExits();
    const Outcome Answer = request(Each->callers(), "POST", "mill.example",
                                   "/transfer/one", newId(), 2000, "", "bales");
    Served += Answer.m_Status == 200 ? 1 : 0;
    Out.line(
        "%s: an order is answered %d; the process ended %d times by itself",
        Each->options().m_Name.c_str(), Answer.m_Status, Each->ownExits());
  }
  All.stop();
  Out.line("%s: %d ends, %d of %zu orders served",
           IsStarted ? "the hosts became ready" : "no host became ready", Ends,
           Served, All.m_Hosts.size());
  const bool IsBroken = !IsStarted && Ends > 0 && Served == 0;
  Out.line("%s", IsBroken ? "BROKEN" : "held");
  _exit(IsBroken ? 1 : IsStarted ? 0 : 2);
}
