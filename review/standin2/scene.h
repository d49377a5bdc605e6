// What the scripts share: a small deployment of stand-ins and entry hosts, and
// the checks of what requesters and servers saw.
#ifndef REVIEW_SCENE_H
#define REVIEW_SCENE_H

#include "standins.h"

namespace review {

class Scene {
public:
  /// Exit codes of a script.
  static constexpr int Held = 0;
  static constexpr int Broken = 1;
  static constexpr int CouldNotRun = 2;

  /// Arguments: the repository and the folder of the case. The environment
  /// variable TROUBLE=0 leaves the disruption out.
  Scene(int Count, char **Arguments);
  ~Scene();

  bool hasTrouble() const { return m_HasTrouble; }
  /// Adds servers of a service, spread over the zones. Call before start().
  /// Answer: sends the answers in place of the server; null: as they are.
  void addServers(const std::string &Service, int Count, Milliseconds Work,
                  bool IsSharded = false, Respond Answer = nullptr);
  /// Publishes the config, starts entry hosts and waits until they are ready.
  bool start(int Hosts);
  std::vector<std::unique_ptr<Server>> &servers(const std::string &Service) {
    return m_Servers[Service];
  }
  EntryHost &host(int Index) { return *m_Hosts[static_cast<size_t>(Index)]; }
  size_t hosts() const { return m_Hosts.size(); }

  /// Sends a request and records it. Fields: further header lines.
  bool send(Connection &Peer, const std::string &Id, const std::string &Method,
            const std::string &Target, const std::string &Body,
            const std::string &Fields = "");
  /// Reads the answer to a request and checks that it is a whole answer that
  /// belongs to it. False if the connection can't be used any further.
  bool readAnswer(Connection &Peer, const std::string &Id,
                  const std::string &Method, Milliseconds Limit);

  void note(const std::string &Text) { m_Record.line(Text); }
  /// Asks that nothing more be sent to the servers of a zone, or takes that
  /// back; the servers are cold then.
  void setEvacuated(const std::string &Zone, bool IsOut);
  /// Records that the rule was broken.
  void breach(const std::string &Text);
  int breaches() const { return m_Breaches; }

  /// Compares what ran with what was sent, ends all processes and returns the
  /// exit code.
  int finish();

private:
  struct Sent {
    std::string m_Start;
    int m_Status = 0;
  };

  void checkRuns();

  const std::string m_Repository;
  const std::string m_Folder;
  const bool m_HasTrouble;
  std::string m_Scratch;
  Record m_Record;
  Store m_Store;
  KeyWatch m_Watch;
  std::map<std::string, std::vector<std::unique_ptr<Server>>> m_Servers;
  std::vector<std::unique_ptr<EntryHost>> m_Hosts;
  std::mutex m_Mutex;
  std::map<std::string, Sent> m_Sent;
  int m_Answered = 0;
  int m_Served = 0;
  int m_Cut = 0;
  std::atomic<int> m_Breaches{0};
};

} // namespace review

#endif
