#include "standin/logstandin.h"

#include "standin/standinhttp.h"

#include <algorithm>
#include <thread>

namespace monsoon {

namespace {

using Clock = std::chrono::steady_clock;

uint64_t numberParam(const httplib::Request &Request, const char *Name) {
  return std::strtoull(Request.get_param_value(Name).c_str(), nullptr, 10);
}

} // namespace

bool LogStandIn::handle(const httplib::Request &Request,
                        httplib::Response &Response) {
  if (Request.path == "/control")
    control(Request, Response);
  else if (Request.path == "/log_stats")
    stats(Response);
  else if (Request.path == "/append")
    append(Request, Response);
  else if (Request.path == "/read")
    read(Request, Response);
  else
    return false;
  return true;
}

std::string LogStandIn::modeAfterDelay() {
  std::string Mode;
  int SlowMs = 0;
  {
    const absl::MutexLock Lock(&m_Mutex);
    Mode = m_Mode;
    SlowMs = m_SlowMs;
  }
  if (Mode == "slow")
    std::this_thread::sleep_for(std::chrono::milliseconds(SlowMs));
  return Mode;
}

void LogStandIn::dropExpiredRecords(Stream &Each) {
  const auto OldestRetained =
      Clock::now() - std::chrono::milliseconds(m_RetentionMs);
  while (!Each.m_Records.empty() &&
         (Each.m_Records.size() > m_MaxRecords ||
          Each.m_Records.front().m_AppendedAt < OldestRetained)) {
    Each.m_Records.pop_front();
    ++Each.m_FirstOffset;
  }
}

void LogStandIn::append(const httplib::Request &Request,
                        httplib::Response &Response) {
  const std::string Mode = modeAfterDelay();
  if (Mode == "down") {
    Response.status = 503;
    return;
  }
  const Json::Value Body = parseJsonBody(Request);
  Json::Value Answer;
  {
    const absl::MutexLock Lock(&m_Mutex);
    Stream &Each = m_Streams[Body["stream"].asString()];
    const std::string Data = Body["data"].asString();
    ++m_Appends;
    m_AppendedBytes += Data.size();
    Answer["offset"] = Json::UInt64(Each.m_FirstOffset + Each.m_Records.size());
    Each.m_Records.push_back({Data, Clock::now()});
    dropExpiredRecords(Each);
  }
  if (Mode == "lose_replies") {
    Response.status = 504;
    return;
  }
  setJsonBody(Response, Answer);
}

void LogStandIn::read(const httplib::Request &Request,
                      httplib::Response &Response) {
  if (modeAfterDelay() == "down") {
    Response.status = 503;
    return;
  }
  Json::Value Answer;
  Answer["records"] = Json::Value(Json::arrayValue);
  const absl::MutexLock Lock(&m_Mutex);
  ++m_Reads;
  Stream &Each = m_Streams[Request.get_param_value("stream")];
  dropExpiredRecords(Each);
  const uint64_t End = Each.m_FirstOffset + Each.m_Records.size();
  uint64_t Offset = std::max(numberParam(Request, "from"), Each.m_FirstOffset);
  const uint64_t Stop = std::min(End, Offset + numberParam(Request, "max"));
  for (; Offset < Stop; ++Offset) {
    Json::Value Item;
    Item["offset"] = Json::UInt64(Offset);
    Item["data"] = Each.m_Records[Offset - Each.m_FirstOffset].m_Data;
    Answer["records"].append(Item);
  }
  Answer["first"] = Json::UInt64(Each.m_FirstOffset);
  Answer["end"] = Json::UInt64(End);
  setJsonBody(Response, Answer);
}

void LogStandIn::control(const httplib::Request &Request,
                         httplib::Response &Response) {
  const Json::Value Body = parseJsonBody(Request);
  const absl::MutexLock Lock(&m_Mutex);
  m_Mode = Body.get("mode", m_Mode).asString();
  m_SlowMs = Body.get("slow_ms", m_SlowMs).asInt();
  m_MaxRecords =
      Body.get("keep_records", Json::UInt64(m_MaxRecords)).asUInt64();
  m_RetentionMs = Body.get("keep_ms", Json::Int64(m_RetentionMs)).asInt64();
  setJsonBody(Response, Json::objectValue);
}

void LogStandIn::stats(httplib::Response &Response) {
  Json::Value Answer;
  const absl::MutexLock Lock(&m_Mutex);
  Answer["appends"] = Json::UInt64(m_Appends);
  Answer["appended_bytes"] = Json::UInt64(m_AppendedBytes);
  Answer["reads"] = Json::UInt64(m_Reads);
  setJsonBody(Response, Answer);
}

} // namespace monsoon
