#include "standin/hostliststandin.h"

#include "standin/standinhttp.h"

namespace monsoon {

bool HostListStandIn::handle(const httplib::Request &Request,
                             httplib::Response &Response) {
  if (Request.path != "/hosts")
    return false;
  const auto Now = std::chrono::steady_clock::now();
  const absl::MutexLock Lock(&m_Mutex);
  if (Request.method == "POST") {
    const Json::Value Body = parseJsonBody(Request);
    m_PendingChanges.push_back(
        {Body["name"].asString(), Body["state"].asString(),
         Now + std::chrono::milliseconds(Body["lag_ms"].asInt64())});
  }
  for (auto It = m_PendingChanges.begin(); It != m_PendingChanges.end();) {
    if (It->m_VisibleAt > Now) {
      ++It;
      continue;
    }
    m_Hosts[It->m_Name] = It->m_State;
    It = m_PendingChanges.erase(It);
  }
  Json::Value Answer;
  Answer["hosts"] = Json::Value(Json::arrayValue);
  for (const auto &[Name, State] : m_Hosts) {
    Json::Value Item;
    Item["name"] = Name;
    Item["state"] = State;
    Answer["hosts"].append(Item);
  }
  setJsonBody(Response, Answer);
  return true;
}

} // namespace monsoon
