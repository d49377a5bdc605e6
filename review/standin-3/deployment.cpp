#include "deployment.h"

#include <unistd.h>

namespace world {

Deployment::Deployment(const std::string &Folder, Record &Out)
    : m_Net("127." + std::to_string(64 + getpid() % 100) + "." +
            std::to_string(getpid() / 100 % 250) + "."),
      m_Store(std::make_unique<Store>(m_Net + "200")), m_Record(Out) {
  publish();
  const std::vector<std::pair<std::string, int>> Lookups = {
      {"lodz-a", 4}, {"lodz-b", 3}, {"pabianice", 3}, {"zgierz", 3}};
  const std::vector<std::pair<std::string, int>> Transfers = {
      {"lodz-a", 2}, {"lodz-b", 3}, {"pabianice", 1}, {"zgierz", 2}};
  const double Speeds[] = {0.7, 0.7, 1.6};
  int Number = 0;
  for (const bool IsLookup : {true, false})
    for (const auto &[Zone, Count] : IsLookup ? Lookups : Transfers)
      for (int Each = 0; Each < Count; ++Each, ++Number) {
        Server::Options Config;
        Config.m_Id = "i-" + std::to_string(1000 + Number);
        Config.m_Service = IsLookup ? "origin" : "transfer";
        Config.m_Zone = Zone;
        Config.m_Ip = m_Net + "100";
        Config.m_Sharded = IsLookup;
        Config.m_WorkMs = IsLookup ? 120 : 160;
        Config.m_Speed = Speeds[Number % 3];
        m_Servers.push_back(std::make_unique<Server>(Config, *m_Store, Out));
      }
  const struct {
    const char *m_Name;
    const char *m_Zone;
    int m_Mb;
    double m_Mbps;
  } Machines[] = {{"front-lodz-a-1", "lodz-a", 260, 1000},
                  {"front-lodz-a-2", "lodz-a", 260, 1000},
                  {"front-lodz-b-1", "lodz-b", 520, 2000},
                  {"front-pabianice-1", "pabianice", 520, 2000},
                  {"front-zgierz-1", "zgierz", 520, 2000}};
  int Last = 1;
  for (const auto &Each : Machines) {
    Host::Options Config;
    Config.m_Name = Each.m_Name;
    Config.m_Zone = Each.m_Zone;
    Config.m_Ip = m_Net + std::to_string(Last++);
    Config.m_Folder = Folder;
    Config.m_MemoryMb = Each.m_Mb;
    Config.m_LinkMbps = Each.m_Mbps;
    m_Hosts.push_back(std::make_unique<Host>(Config, m_Store->address(), Out));
  }
}

void Deployment::publish() {
  const std::string Version = std::to_string(m_Version++);
  m_Store->put(
      "keyed.op", "config",
      "{\"version\":" + Version +
          R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[)"
          R"({"host":"mill.example","rule_set":[)"
          R"({"name":"origin-lookup","kind":"safe","target_latency_ms":400,)"
          R"("priority":2,"match":{"path_prefix":"/lookup/"},"action":)"
          R"({"service":"origin","timeout_ms":1500,"max_attempts":2}},)"
          R"({"name":"bale-transfer","kind":"unsafe","target_latency_ms":500,)"
          R"("priority":1,"match":{"path_prefix":"/transfer/"},"action":)"
          R"({"service":"transfer","timeout_ms":2000,"max_attempts":2}}]}],)"
          R"("clusters":[{"name":"origin","health_path":"/health",)"
          R"("max_connections":110,"warmup_s":3.0,"warmup_per_s":9.6,)"
          R"("sharded":true,"warm_s":3.0,"grants":"call"},{"name":"transfer",)"
          R"("health_path":"/health","max_connections":110,"warmup_s":3.0,)"
          R"("warmup_per_s":9.6}]})");
}

bool Deployment::start() {
  for (const auto &Each : m_Hosts)
    if (!Each->start())
      return false;
  const double Limit = now() + 20;
  while (now() < Limit) {
    bool AreReady = true;
    for (const auto &Each : m_Hosts)
      AreReady = AreReady && Each->isReady();
    if (AreReady)
      return true;
    sleepMs(100);
  }
  return false;
}

void Deployment::stop() {
  for (const auto &Each : m_Hosts)
    Each->stop();
}

std::vector<Server *> Deployment::serversOf(const std::string &Service) {
  std::vector<Server *> Result;
  for (const auto &Each : m_Servers)
    if (Each->options().m_Service == Service)
      Result.push_back(Each.get());
  return Result;
}

} // namespace world
