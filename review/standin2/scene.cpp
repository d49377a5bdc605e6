#include "scene.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace review {

namespace {

constexpr size_t MaxBodyBytes = 64 << 20;
constexpr int DeadlineMs = 1500;
/// Left of the 3 s (cold_s) of servers that turned cold 2 s before their zone
/// is taken back.
constexpr Milliseconds ColdTime{1000};
constexpr Milliseconds ReadyLimit{20'000};
/// A script that is not done by then ends itself and its processes.
constexpr unsigned ScriptLimitSeconds = 115;
const char *const Zones[] = {"lodz-a", "lodz-b", "pabianice", "zgierz"};

std::string makeScratchFolder() {
  char Template[] = "/tmp/review-2-XXXXXX";
  const char *Folder = ::mkdtemp(Template);
  if (!Folder) {
    std::perror("mkdtemp");
    std::exit(Scene::CouldNotRun);
  }
  return Folder;
}

std::string argument(int Count, char **Arguments, int Index) {
  if (Index < Count)
    return Arguments[Index];
  std::fprintf(stderr, "usage: %s REPOSITORY FOLDER\n", Arguments[0]);
  std::exit(Scene::CouldNotRun);
}

void endEverything(int /*Signal*/) {
  killAllEntryHosts();
  ::_exit(Scene::CouldNotRun);
}

bool wantsTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::strcmp(Text, "0") != 0;
}

} // namespace

Scene::Scene(int Count, char **Arguments)
    : m_Repository(argument(Count, Arguments, 1)),
      m_Folder(argument(Count, Arguments, 2)), m_HasTrouble(wantsTrouble()),
      m_Scratch(makeScratchFolder()), m_Record(m_Folder + "/record.txt") {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int Each : {SIGTERM, SIGINT, SIGHUP, SIGQUIT, SIGALRM})
    std::signal(Each, endEverything);
  // Set by a script that starts several of these.
  if (std::getenv("REVIEW_END_WITH_PARENT"))
    ::prctl(PR_SET_PDEATHSIG, SIGTERM);
  ::alarm(ScriptLimitSeconds);
  m_Watch.m_OnBreach = [this](const std::string &Text) {
    breach("OWNER: " + Text);
  };
  note(m_HasTrouble ? "with the disruption" : "without the disruption");
}

Scene::~Scene() {
  m_Hosts.clear();
  for (auto &[Service, Each] : m_Servers)
    Each.clear();
  m_Store.stop();
  for (const char *Each : {"host-1", "host-2", "host-3", "host-4", "host-5"})
    for (const char *Suffix : {".json", ".log"})
      ::unlink((m_Scratch + "/" + Each + Suffix).c_str());
  ::rmdir(m_Scratch.c_str());
}

void Scene::addServers(const std::string &Service, int Count, Milliseconds Work,
                       bool IsSharded, Respond Answer) {
  for (int Index = 0; Index < Count; ++Index) {
    Server::Options Config;
    Config.m_Id = "i-" + Service + "-" + std::to_string(Index + 1);
    Config.m_Service = Service;
    Config.m_Zone = Zones[Index % 4];
    Config.m_IsSharded = IsSharded;
    Config.m_Work = Work;
    Config.m_Respond = Answer;
    Config.m_Watch = IsSharded ? &m_Watch : nullptr;
    m_Servers[Service].push_back(
        std::make_unique<Server>(std::move(Config), m_Store, m_Record));
  }
}

bool Scene::start(int Hosts) {
  m_Store.put("keyed.op", "config", configText(1, MaxBodyBytes));
  for (int Index = 0; Index < Hosts; ++Index) {
    m_Hosts.push_back(std::make_unique<EntryHost>(
        m_Repository, m_Scratch, "host-" + std::to_string(Index + 1),
        Zones[Index % 4], m_Store.port()));
    if (!m_Hosts.back()->start()) {
      std::fprintf(stderr, "an entry host could not be started\n");
      return false;
    }
  }
  const bool IsReady = waitFor(ReadyLimit, [this]() {
    for (const auto &Each : m_Hosts)
      if (!Each->isReady())
        return false;
    return true;
  });
  if (!IsReady) {
    std::fprintf(stderr, "the entry hosts did not become ready\n");
    for (int Index = 1; Index <= Hosts; ++Index) {
      std::ifstream Log(m_Scratch + "/host-" + std::to_string(Index) + ".log");
      for (std::string Line; std::getline(Log, Line);)
        note("host-" + std::to_string(Index) + ": " + Line);
    }
  }
  note("entry hosts are ready");
  return IsReady;
}

bool Scene::send(Connection &Peer, const std::string &Id,
                 const std::string &Method, const std::string &Target,
                 const std::string &Body, const std::string &Fields) {
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Sent[Id] = {Method + " " + Target, 0};
  }
  note("sent " + Id + ", " + Method + " " + Target);
  std::string Text = Method + " " + Target +
                     " HTTP/1.1\r\nHost: shop.example\r\n"
                     "X-Monsoonstand-Request-Id: " +
                     Id + "\r\nX-Monsoonstand-Request-Deadline: " +
                     std::to_string(DeadlineMs) + "\r\n" + Fields;
  if (!Body.empty())
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Peer.write(Text + "\r\n") && Peer.write(Body);
}

bool Scene::readAnswer(Connection &Peer, const std::string &Id,
                       const std::string &Method, Milliseconds Limit) {
  Message Answer;
  const ReadResult Result = Peer.readResponse(Answer, Limit, Method == "HEAD");
  if (Result == ReadResult::Malformed) {
    breach("MIXED: bytes that are no answer came for " + Id + ": " +
           Answer.m_Start.substr(0, 60));
    return false;
  }
  if (Result != ReadResult::Ok) {
    note(std::string(Result == ReadResult::Timeout ? "no answer to "
                                                   : "connection ended at ") +
         Id);
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_Cut;
    return false;
  }
  const int Status = Answer.status();
  note("answer to " + Id + ": " + std::to_string(Status));
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Sent[Id].m_Status = Status;
    ++m_Answered;
    m_Served += Status == 200 ? 1 : 0;
  }
  const std::string *Connected = Answer.find("Connection");
  const bool Closes = Connected && *Connected == "close";
  if (Status < 200 || Status >= 300)
    return !Closes;
  // A server signs with its id and the id of the request.
  const std::string *Signature = Answer.find("X-Monsoonstand-Server-Signature");
  const std::string Signed =
      Signature ? Signature->substr(Signature->find('.') + 1) : "nothing";
  if (Signed != Id) {
    breach("MIXED: the success for " + Method + " " + Id + " is signed for " +
           Signed);
    return false;
  }
  if (Method != "HEAD" && Answer.m_Body != bodyFor(Id)) {
    breach("MIXED: the success for " + Method + " " + Id + " has another body");
    return false;
  }
  return !Closes;
}

void Scene::setEvacuated(const std::string &Zone, bool IsOut) {
  note((IsOut ? "evacuate " : "take back ") + Zone);
  if (IsOut) {
    m_Store.put("keyed.op", "evacuate/" + Zone, "{}");
    return;
  }
  m_Store.remove("keyed.op", "evacuate/" + Zone);
  for (auto &[Service, All] : m_Servers)
    for (const auto &Each : All)
      if (Each->zone() == Zone)
        Each->turnCold(ColdTime);
}

void Scene::breach(const std::string &Text) {
  ++m_Breaches;
  note("BROKEN " + Text);
}

void Scene::checkRuns() {
  for (const auto &[Service, All] : m_Servers)
    for (const auto &Each : All)
      for (const auto &[Id, Starts] : Each->runs())
        for (const std::string &Start : Starts) {
          const auto Found = m_Sent.find(Id);
          if (Found == m_Sent.end())
            breach("UNASKED: " + Each->id() + " ran " + Id +
                   ", which nobody sent");
          else if (Found->second.m_Start != Start)
            breach("UNASKED: " + Each->id() + " ran " + Id + " as \"" + Start +
                   "\", sent was \"" + Found->second.m_Start + "\"");
        }
}

int Scene::finish() {
  checkRuns();
  const std::string Summary = "sent " + std::to_string(m_Sent.size()) +
                              ", answered " + std::to_string(m_Answered) +
                              ", served " + std::to_string(m_Served) +
                              ", without an answer " + std::to_string(m_Cut) +
                              ", breaches " + std::to_string(m_Breaches.load());
  note(Summary);
  std::printf("%s\n", Summary.c_str());
  return m_Breaches > 0 ? Broken : Held;
}

} // namespace review
