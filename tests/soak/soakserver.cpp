#include "soak/soakserver.h"

#include "codec/jsontext.h"
#include "net/address.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr size_t Slots = 4;
constexpr size_t QueueLength = 8;
constexpr Milliseconds BeatInterval{870};
constexpr Milliseconds EntryLife{2610};
constexpr int ShortestWork = 10;
constexpr int LongestWork = 60;
constexpr Milliseconds ReleaseLook{10};
constexpr const char *MemberTopic = "keyed.servers";

bool overlaps(const KeyRange &A, const KeyRange &B) {
  return A.m_First <= B.m_Last && B.m_First <= A.m_Last;
}

KeyRange rangeOf(const Json::Value &Order) {
  return {Order["from"].asUInt(), Order["target"].asUInt()};
}

} // namespace

/// A request that waits or runs.
class SoakServer::Work : public PendingRequest,
                         public std::enable_shared_from_this<Work> {
public:
  Work(SoakServer &Owner, std::string Id, std::optional<uint32_t> Key,
       Reply Done)
      : m_Owner(Owner), m_Id(std::move(Id)), m_Key(Key),
        m_Done(std::move(Done)), m_Timer(Owner.m_Parts.m_Loop) {}

  void cancel() override {
    m_Done = nullptr;
    m_Timer.cancel();
    m_Owner.ended(shared_from_this());
  }
  bool mayOverlap() const override { return false; }

  SoakServer &m_Owner;
  const std::string m_Id;
  const std::optional<uint32_t> m_Key;
  Reply m_Done;
  boost::asio::steady_timer m_Timer;
};

SoakServer::SoakServer(std::string Id, std::string Pool, std::string Domain,
                       const Parts &Shared)
    : m_Id(std::move(Id)), m_Pool(std::move(Pool)), m_Domain(std::move(Domain)),
      m_Parts(Shared), m_Proxy(Shared.m_Loop, {"127.0.0.1", 1}),
      m_Beat(Shared.m_Loop) {
  restart(m_Id);
  beat();
}

void SoakServer::restart(const std::string &Id) {
  m_Id = Id;
  m_Holds.clear();
  m_Seen.clear();
  m_Draining = false;
  m_Born = std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
  m_Sequence = 0;
  if (m_Acceptor)
    m_Retired.push_back(std::move(m_Acceptor));
  m_Acceptor = std::make_unique<Acceptor>(m_Parts.m_Loop, m_Time, *this);
  if (!m_Acceptor->listen({"127.0.0.1", 0}))
    m_Parts.m_Referee.violation("a server of the soak can't listen");
  m_Proxy.setTarget(m_Acceptor->address());
  m_Up = true;
}

void SoakServer::crash() {
  m_Up = false;
  m_Acceptor->close();
  m_Acceptor->sessions().abortAll();
  for (const auto &Each : std::exchange(m_Running, {}))
    Each->m_Timer.cancel();
  m_Queue.clear();
  m_Holds.clear();
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(m_Parts.m_Loop);
  Timer->expires_after(EntryLife);
  Timer->async_wait([this, Timer, Id = m_Id, Born = m_Born](
                        const boost::system::error_code & /*Error*/) {
    if (m_Id != Id || m_Born == Born)
      m_Parts.m_Store.remove(MemberTopic, Id);
  });
}

void SoakServer::drain() { m_Draining = true; }

void SoakServer::beat() {
  if (m_Up && !m_CutFromStore) {
    Json::Value Entry;
    Entry["service"] = m_Pool;
    Entry["address"] = endpointText(m_Proxy.address());
    Entry["zone"] = m_Domain;
    Entry["version"] = "1";
    Entry["slots"] = Json::UInt64(Slots);
    Entry["state"] = m_Draining ? "draining" : "ready";
    Entry["warmup_remaining_ms"] = 0;
    Entry["sequence"] = Json::Int64(++m_Sequence);
    Entry["born"] = Json::Int64(m_Born);
    m_Parts.m_Store.put(MemberTopic, m_Id, writeJson(Entry));
  }
  m_Beat.expires_after(BeatInterval);
  m_Beat.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      beat();
  });
}

bool SoakServer::holds(const KeyRange &Keys) const {
  const TimePoint Now = m_Time.now();
  return m_Up &&
         std::any_of(m_Holds.begin(), m_Holds.end(), [&](const Hold &Each) {
           return Now < Each.m_Until && overlaps(Each.m_Keys, Keys);
         });
}

HttpResponse SoakServer::answerWith(int Status) const {
  HttpResponse Answer;
  Answer.m_Status = Status;
  Answer.m_Fields.add(
      "X-Monsoonstand-Server-Load",
      absl::StrCat(m_Running.size(), ",", m_Queue.size(), ",", Slots, ",100"));
  return Answer;
}

HttpResponse SoakServer::notExecuted(int Status) const {
  HttpResponse Answer = answerWith(Status);
  Answer.m_Fields.add("X-Monsoonstand-Not-Executed", "1");
  return Answer;
}

std::shared_ptr<PendingRequest> SoakServer::handle(HttpRequest Request,
                                                   Reply Done) {
  const std::string *Expected =
      Request.m_Fields.find("X-Monsoonstand-Expect-Instance");
  if (Expected && *Expected != m_Id) {
    Done(notExecuted(421));
    return nullptr;
  }
  if (Request.path() == "/v1/grant") {
    Done(grant(Request.m_Body));
    return nullptr;
  }
  if (Request.path() == "/v1/release") {
    release(Request.m_Body, Done);
    return nullptr;
  }
  const std::string *Id = Request.m_Fields.find("X-Monsoonstand-Request-Id");
  if (!Id) {
    Done(notExecuted(400));
    return nullptr;
  }
  m_Parts.m_Referee.noteArrival(*Id);
  std::optional<uint32_t> Key;
  uint32_t Number = 0;
  const std::string *KeyText =
      Request.m_Fields.find("X-Monsoonstand-Shard-Key");
  if (KeyText && absl::SimpleAtoi(*KeyText, &Number))
    Key = Number;
  if (Key && !holds({*Key, *Key})) {
    Done(notExecuted(421));
    return nullptr;
  }
  if (m_Queue.size() >= QueueLength) {
    Done(notExecuted(503));
    return nullptr;
  }
  const auto Next = std::make_shared<Work>(*this, *Id, Key, std::move(Done));
  m_Queue.push_back(Next);
  startNext();
  return Next;
}

void SoakServer::startNext() {
  while (!m_Queue.empty() && m_Running.size() < Slots) {
    const auto Next = m_Queue.front();
    m_Queue.pop_front();
    // A key that left while the request waited.
    if (Next->m_Key && !holds({*Next->m_Key, *Next->m_Key})) {
      if (Next->m_Done)
        std::exchange(Next->m_Done, nullptr)(notExecuted(421));
      continue;
    }
    m_Running.push_back(Next);
    m_Parts.m_Referee.noteRun(Next->m_Id);
    const auto Length = std::uniform_int_distribution<int>(
        ShortestWork, LongestWork)(m_Parts.m_Random);
    Next->m_Timer.expires_after(Milliseconds(Length));
    Next->m_Timer.async_wait(
        [this, Next](const boost::system::error_code &Error) {
          if (Error)
            return;
          HttpResponse Answer = answerWith(200);
          Answer.m_Fields.add("X-Monsoonstand-Request-Id", Next->m_Id);
          Answer.m_Fields.add("X-Monsoonstand-Server-Signature", m_Id);
          Answer.m_Body = Referee::bodyFor(Next->m_Id);
          const bool Lose = m_LoseAnswers > 0;
          m_LoseAnswers -= Lose ? 1 : 0;
          if (Next->m_Done && !Lose)
            std::exchange(Next->m_Done, nullptr)(std::move(Answer));
          ended(Next);
        });
  }
}

void SoakServer::ended(const std::shared_ptr<Work> &Which) {
  m_Queue.erase(std::remove(m_Queue.begin(), m_Queue.end(), Which),
                m_Queue.end());
  m_Running.erase(std::remove(m_Running.begin(), m_Running.end(), Which),
                  m_Running.end());
  startNext();
}

HttpResponse SoakServer::grant(const std::string &Body) {
  const auto Order = parseJson(Body, "grant", ErrorKind::BadRequest);
  if (!Order || !Order.value()["hold_ms"].isInt64())
    return answerWith(400);
  const TimePoint Now = m_Time.now();
  Hold Next;
  Next.m_Keys = rangeOf(Order.value());
  Next.m_Fence = Order.value()["fence"].asUInt64();
  Next.m_Until = Now + Milliseconds(Order.value()["hold_ms"].asInt64());
  for (const Hold &Each : m_Seen)
    if (overlaps(Each.m_Keys, Next.m_Keys) && Each.m_Fence > Next.m_Fence)
      return answerWith(409);
  if (m_Parts.m_HeldElsewhere(*this, Next.m_Keys))
    m_Parts.m_Referee.violation(absl::StrCat(
        "keys from ", Next.m_Keys.m_First, " were granted to ", m_Id,
        " with fence ", Next.m_Fence, " while another server holds them"));
  m_Seen.push_back(Next);
  m_Holds.push_back(Next);
  const auto IsOver = [Now](const Hold &Each) { return Each.m_Until <= Now; };
  m_Holds.erase(std::remove_if(m_Holds.begin(), m_Holds.end(), IsOver),
                m_Holds.end());
  return answerWith(200);
}

void SoakServer::release(const std::string &Body, const Reply &Done) {
  const auto Order = parseJson(Body, "release", ErrorKind::BadRequest);
  if (!Order) {
    Done(answerWith(400));
    return;
  }
  const KeyRange Keys = rangeOf(Order.value());
  std::vector<Hold> Kept;
  for (const Hold &Each : m_Holds) {
    if (!overlaps(Each.m_Keys, Keys)) {
      Kept.push_back(Each);
      continue;
    }
    if (Each.m_Keys.m_First < Keys.m_First)
      Kept.push_back({{Each.m_Keys.m_First, Keys.m_First - 1},
                      Each.m_Fence,
                      Each.m_Until});
    if (Each.m_Keys.m_Last > Keys.m_Last)
      Kept.push_back(
          {{Keys.m_Last + 1, Each.m_Keys.m_Last}, Each.m_Fence, Each.m_Until});
  }
  m_Holds = std::move(Kept);
  const bool Busy = std::any_of(
      m_Running.begin(), m_Running.end(), [&Keys](const auto &Each) {
        return Each->m_Key && Keys.contains(*Each->m_Key);
      });
  if (!Busy) {
    HttpResponse Answer = answerWith(200);
    Answer.m_Fields.add("X-Monsoonstand-Handover", m_Id);
    Done(std::move(Answer));
    return;
  }
  // Answered when the running work on these keys has ended.
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(m_Parts.m_Loop);
  Timer->expires_after(ReleaseLook);
  Timer->async_wait(
      [this, Timer, Body, Done](const boost::system::error_code & /*Error*/) {
        release(Body, Done);
      });
}

HttpResponse SoakServer::refuse(ErrorKind Kind,
                                const std::string & /*Detail*/) {
  return answerWith(errorRule(Kind).m_Status);
}

} // namespace monsoon
