#include "entry/entrybench.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <doctest.h>

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Returns the value of a field in a raw request head, or an empty string.
std::string fieldIn(const std::string &Text, const std::string &Name) {
  const size_t At = Text.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "";
  const size_t Start = At + Name.size() + 4;
  return Text.substr(Start, Text.find("\r\n", Start) - Start);
}

} // namespace

RequestMetadata PlainDialect::readRequest(const HttpRequest &Request) const {
  RequestMetadata Facts;
  if (const std::string *Id = Request.m_Fields.find("Id"))
    Facts.m_Id = *Id;
  int64_t Number = 0;
  const std::string *Left = Request.m_Fields.find("Left");
  if (Left && absl::SimpleAtoi(*Left, &Number))
    Facts.m_TimeLeft = Milliseconds(Number);
  const std::string *Key = Request.m_Fields.find("Key");
  if (Key && absl::SimpleAtoi(*Key, &Number))
    Facts.m_Key = static_cast<uint32_t>(Number);
  return Facts;
}

Credential PlainDialect::readCredential(const HttpFields &Fields) const {
  Credential Result;
  if (const std::string *Key = Fields.find("Credential")) {
    Result.m_State = CredentialState::Present;
    Result.m_Key = *Key;
  }
  return Result;
}

void PlainDialect::setCustomer(HttpFields &Fields,
                               const std::string &CustomerName) const {
  Fields.remove("Credential");
  Fields.remove("Customer");
  if (!CustomerName.empty())
    Fields.add("Customer", CustomerName);
}

void PlainDialect::prepareForTarget(HttpFields &Fields, const TargetInfo &To,
                                    Milliseconds TimeLeft) const {
  Fields.remove("Left");
  Fields.add("Left", absl::StrCat(TimeLeft.count()));
  Fields.add("For", To.m_Id);
}

AnswerMetadata PlainDialect::readAnswer(const HttpResponse &Answer) const {
  AnswerMetadata Facts;
  if (const std::string *Id = Answer.m_Fields.find("Id"))
    Facts.m_RequestId = *Id;
  Facts.m_IsSigned = Answer.m_Fields.find("Sign") != nullptr;
  Facts.m_IsMisdirected = Answer.m_Status == 421;
  Facts.m_IsLeaving = Answer.m_Fields.find("Leaving") != nullptr;
  double Limit = 0;
  const std::string *LimitText = Answer.m_Fields.find("Limit");
  if (LimitText && absl::SimpleAtod(*LimitText, &Limit))
    Facts.m_RequestLimit.m_PerSecond = Limit;
  Facts.m_NotExecuted =
      Facts.m_IsMisdirected || Answer.m_Fields.find("Not-Run") != nullptr;
  return Facts;
}

ScriptedTarget::ScriptedTarget(boost::asio::io_context &Loop, std::string Id)
    : m_Script([](const std::string & /*Id*/) { return Action::Answer; }),
      m_Id(std::move(Id)), m_Listener(Loop) {}

void ScriptedTarget::poll() {
  m_States.resize(m_Listener.connections());
  for (size_t Index = 0; Index < m_States.size(); ++Index) {
    RawPeer &Peer = m_Listener.peer(Index);
    Connection &State = m_States[Index];
    const std::string Rest = Peer.received().substr(State.m_Handled);
    const size_t End = Rest.find("\r\n\r\n");
    if (End == std::string::npos)
      continue;
    const std::string Head = Rest.substr(0, End + 4);
    size_t Length = 0;
    const std::string Stated = fieldIn(Head, "Content-Length");
    if (!Stated.empty() && !absl::SimpleAtoi(Stated, &Length))
      continue;
    if (Rest.size() < Head.size() + Length)
      continue;
    State.m_Handled += Head.size() + Length;
    m_LastHead = Head;
    handle(Peer, State, fieldIn(Head, "Id"));
  }
}

void ScriptedTarget::handle(RawPeer &Peer, Connection &State,
                            const std::string &Id) {
  ++m_Arrivals;
  if (!State.m_LateCopy.empty())
    Peer.send(std::exchange(State.m_LateCopy, ""));
  const Action Next = m_Script(Id);
  const bool IsCopied =
      Next == Action::RefuseLateCopy || Next == Action::WrongTargetLateCopy ||
      Next == Action::FailLateCopy || Next == Action::UnsignedLateCopy;
  const auto Answer = [&](const std::string &Status, const std::string &More,
                          const std::string &Body) {
    const std::string Load =
        absl::StrCat(m_Load.empty() ? "" : "Load: " + m_Load + "\r\n",
                     m_IsLeaving ? "Leaving: 1\r\n" : "",
                     m_Limit.empty() ? "" : "Limit: " + m_Limit + "\r\n");
    const std::string Text = absl::StrCat(
        "HTTP/1.1 ", Status, "\r\nId: ", Id, "\r\nKeep-Alive: timeout=10\r\n",
        Load, More, "Content-Length: ", Body.size(), "\r\n\r\n", Body);
    if (IsCopied)
      State.m_LateCopy = Text;
    Peer.send(Text);
  };
  const std::string Body = absl::StrCat(m_Id, " ran ", Id);
  switch (Next) {
  case Action::Answer:
    ++m_Runs[Id];
    Answer("200 OK", "Sign: yes\r\n", Body);
    return;
  case Action::Twice:
    ++m_Runs[Id];
    Answer("200 OK", "Sign: yes\r\n", Body);
    Answer("200 OK", "Sign: yes\r\n", Body);
    return;
  case Action::Hang:
    ++m_Runs[Id];
    State.m_Hung = true;
    State.m_HungId = Id;
    return;
  case Action::RunAndReset:
    ++m_Runs[Id];
    Peer.reset();
    return;
  case Action::Reset:
    Peer.reset();
    return;
  case Action::Refuse:
  case Action::RefuseLateCopy:
    Answer("503 Busy", "Not-Run: 1\r\n", "");
    return;
  case Action::WrongTarget:
  case Action::WrongTargetLateCopy:
    Answer("421 Wrong", "", "");
    return;
  case Action::Fail:
  case Action::FailLateCopy:
    ++m_Runs[Id];
    Answer("500 Failed", "Sign: yes\r\n", "failed");
    return;
  case Action::Unsigned:
  case Action::UnsignedLateCopy:
    ++m_Runs[Id];
    Answer("200 OK", "", "spoiled");
    return;
  case Action::CutShort:
    ++m_Runs[Id];
    Peer.send(absl::StrCat("HTTP/1.1 200 OK\r\nId: ", Id,
                           "\r\nSign: yes\r\nContent-Length: 999\r\n\r\nab"));
    Peer.close();
    return;
  }
}

void ScriptedTarget::answerHung() {
  for (size_t Index = 0; Index < m_States.size(); ++Index) {
    Connection &State = m_States[Index];
    if (!std::exchange(State.m_Hung, false))
      continue;
    --m_Arrivals;
    --m_Runs[State.m_HungId];
    handle(m_Listener.peer(Index), State, State.m_HungId);
  }
}

int ScriptedTarget::abandoned() {
  for (size_t Index = 0; Index < m_States.size(); ++Index) {
    Connection &State = m_States[Index];
    if (!State.m_Hung || State.m_Counted || !m_Listener.peer(Index).hasEnded())
      continue;
    State.m_Counted = true;
    ++m_Abandoned;
  }
  return m_Abandoned;
}

void SingleHostGroup::join(const std::string &Member, Milliseconds /*Stay*/,
                           uint64_t /*Generation*/, JoinDone Done) {
  m_Member = Member;
  GroupAssignment Share;
  Share.m_Generation = 1;
  Share.m_Duties = {0};
  Done(Share);
}

void SingleHostGroup::members(MembersDone Done) {
  Done(std::set<std::string>{m_Member});
}

EntryBench::EntryBench(const ConfigCurrency *Currency) {
  const auto MakeLinks = [this](const Endpoint &Address) {
    HttpLink::Options Options;
    Options.m_Address = Address;
    Options.m_RequestIdField = "Id";
    return std::make_unique<LinkPool>(m_Loop, m_Time, Options);
  };
  m_Registry = std::make_unique<TargetRegistry>(m_Time, MakeLinks, *this);
  m_Hosts = std::make_unique<HostMembership>("host", m_Group, m_Time, *this);
  m_Hosts->tick();
  SharedLimits Limits;
  Limits.m_Retries = {0.2, 60, std::chrono::seconds(10)};
  m_Dispatcher = std::make_unique<Dispatcher>(
      m_Loop, m_Dialect,
      PoolDispatcher::Parts{m_Time, *m_Registry, *m_Hosts, m_RetryShare, *this,
                            "host", "d1", Limits, &m_Allowances, &m_HostLoad,
                            Currency},
      [this](const std::string &Pool) { return m_FindOwnership(Pool); });
}

EntryBench::~EntryBench() {
  // A request in flight and its connection hold shared pointers to each other.
  for (const auto &Each : m_Pending)
    Each->cancel();
}

ScriptedTarget &EntryBench::addTarget(const std::string &Id,
                                      const std::string &Pool,
                                      const std::string &Domain) {
  auto &Target = m_Targets[Id];
  Target = std::make_unique<ScriptedTarget>(m_Loop, Id);
  TargetInfo Info;
  Info.m_Id = Id;
  Info.m_Pool = Pool;
  Info.m_Address = Target->address();
  Info.m_FailureDomain = Domain;
  Info.m_Slots = 2;
  m_Members[Id] = Info;
  m_Registry->setTargets(m_Members);
  return *Target;
}

void EntryBench::drainTarget(const std::string &Id) {
  m_Members.at(Id).m_Draining = true;
  m_Registry->setTargets(m_Members);
}

void EntryBench::restartTarget(const std::string &Id) {
  ++m_Members.at(Id).m_Incarnation;
  m_Registry->setTargets(m_Members);
}

void EntryBench::publish(std::function<void(Route::Builder &)> Change) {
  std::vector<Route> Routes;
  for (const bool Idempotent : {true, false}) {
    const std::string Name = Idempotent ? "read" : "write";
    Route::Builder Builder(Name, *PathTemplate::parse("/" + Name + "/*"),
                           "orders");
    Builder.methods({std::string(AnyMethod)})
        .host("shop")
        .idempotent(Idempotent)
        .deadline(Milliseconds(1000))
        .maxAttempts(3);
    if (Change)
      Change(Builder);
    Routes.push_back(Builder.build());
  }
  PoolPolicy Policy;
  Policy.m_WarmupRate = m_WarmupRate;
  Pool::Builder Orders("orders");
  Orders.ownedByKey(m_OrdersAreKeyed).policy(Policy);
  install(Tables(std::move(Routes), {Orders.build()}));
}

void EntryBench::publishNothing() { install(Tables({}, {})); }

void EntryBench::install(Tables Next) {
  const auto Routes = std::make_shared<const RouteIndex>(
      ++m_Version, std::move(Next), RequestLimits());
  if (m_OnRoutes)
    m_OnRoutes(*Routes);
  m_Dispatcher->setRoutes(Routes, m_Customers);
}

std::shared_ptr<PendingRequest>
EntryBench::send(const std::string &Method, const std::string &Path,
                 const std::string &Id, Milliseconds TimeLeft,
                 std::optional<uint32_t> Key, const std::string &CustomerKey) {
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Target = Path;
  Request.m_Fields.add("Host", "shop");
  Request.m_Fields.add("Id", Id);
  Request.m_Fields.add("Left", absl::StrCat(TimeLeft.count()));
  if (Key)
    Request.m_Fields.add("Key", absl::StrCat(*Key));
  if (!CustomerKey.empty())
    Request.m_Fields.add("Credential", CustomerKey);
  if (Method == "POST") {
    Request.m_HasBody = true;
    Request.m_Body = "body";
  }
  const auto Started =
      m_Dispatcher->handle(std::move(Request), [this, Id](HttpResponse Answer) {
        // Each request must be answered only once.
        CHECK(m_Answers.count(Id) == 0);
        m_Answers[Id] = std::move(Answer);
      });
  if (Started)
    m_Pending.push_back(Started);
  return Started;
}

bool EntryBench::runUntil(const std::function<bool()> &Holds,
                          Milliseconds Limit) {
  return monsoon::runUntil(
      m_Loop,
      [&]() {
        for (const auto &[Id, Each] : m_Targets)
          Each->poll();
        m_Dispatcher->tick();
        return Holds();
      },
      Limit);
}

const HttpResponse &EntryBench::await(const std::string &Id) {
  REQUIRE(runUntil([&]() { return isAnswered(Id); }));
  return m_Answers.at(Id);
}

int EntryBench::runsOf(const std::string &Id) const {
  int Sum = 0;
  for (const auto &[Name, Each] : m_Targets) {
    const auto Found = Each->runs().find(Id);
    Sum += Found == Each->runs().end() ? 0 : Found->second;
  }
  return Sum;
}

void EntryBench::event(Severity /*Level*/, const char * /*Name*/,
                       const Details & /*Fields*/) {}

void EntryBench::requestDone(const RequestReport &Report) {
  m_Reports.push_back(Report);
}

} // namespace monsoon
