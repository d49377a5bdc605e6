#ifndef MONSOON_TESTS_ENTRY_ENTRYBENCH_H
#define MONSOON_TESTS_ENTRY_ENTRYBENCH_H

#include "entry/dispatcher.h"
#include "net/rawpeer.h"
#include "program/boottimeclock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoon {

/// Test dialect: requests carry their id in Id, the caller's time limit in Left
/// their key in Key and the key of their customer in Credential; targets are
/// told the customer with Customer, sign answers with Sign, say with Leaving
/// that they are leaving and name a limit with Limit.
class PlainDialect : public Dialect {
public:
  RequestMetadata readRequest(const HttpRequest &Request) const override;
  Credential readCredential(const HttpFields &Fields) const override;
  void setCustomer(HttpFields &Fields,
                   const std::string &CustomerName) const override;
  void prepareForTarget(HttpFields &Fields, const TargetInfo &To,
                        Milliseconds TimeLeft) const override;
  AnswerMetadata readAnswer(const HttpResponse &Answer) const override;
  std::string_view requestIdField() const override { return "Id"; }
};

/// A target on a real socket that handles each request as m_Script says.
class ScriptedTarget {
public:
  enum class Action {
    Answer,
    /// Runs the request and sends no answer.
    Hang,
    /// Runs the request, then resets the connection.
    RunAndReset,
    /// Resets the connection without running the request.
    Reset,
    /// Does not run the request and says so with Not-Run.
    Refuse,
    /// Answers as another target at the same address would: 421.
    WrongTarget,
    Fail,
    Unsigned,
    CutShort,
    /// Sends the same answer twice.
    Twice,
    /// As Refuse, WrongTarget, Fail and Unsigned, and sends the same answer
    /// again when the next request arrives on the connection.
    RefuseLateCopy,
    WrongTargetLateCopy,
    FailLateCopy,
    UnsignedLateCopy
  };

  ScriptedTarget(boost::asio::io_context &Loop, std::string Id);

  const std::string &id() const { return m_Id; }
  Endpoint address() const { return m_Listener.address(); }
  /// Head of the last request received.
  const std::string &lastHead() const { return m_LastHead; }
  /// How often each request was run, by request id.
  const std::map<std::string, int> &runs() const { return m_Runs; }
  /// Number of requests received, whether run or not.
  int arrivals() const { return m_Arrivals; }
  /// Connections that the peer ended while their request hung.
  int abandoned();
  void stopListening() { m_Listener.close(); }

  /// Answers the requests that hang.
  void answerHung();

  /// Decides what the target does with a request.
  std::function<Action(const std::string &RequestId)> m_Script;
  /// Value of the Load field of its answers; empty: none.
  std::string m_Load;
  /// Requests per second that its answers name as its limit; empty: none.
  std::string m_Limit;
  /// True if its answers state that it is leaving.
  bool m_IsLeaving = false;

  /// Handles all complete requests received so far.
  void poll();

private:
  struct Connection {
    size_t m_Handled = 0;
    bool m_Hung = false;
    bool m_Counted = false;
    std::string m_HungId;
    /// Sent before the next request on the connection is handled.
    std::string m_LateCopy;
  };
  void handle(RawPeer &Peer, Connection &State, const std::string &Id);

  const std::string m_Id;
  RawListener m_Listener;
  std::vector<Connection> m_States;
  std::string m_LastHead;
  std::map<std::string, int> m_Runs;
  int m_Arrivals = 0;
  int m_Abandoned = 0;
};

/// A host group whose only member is this host.
class SingleHostGroup : public HostGroup {
public:
  uint32_t duties() const override { return 1; }
  void join(const std::string &Member, Milliseconds Lifetime,
            uint64_t Generation, JoinDone Done) override;
  void leave(const std::string & /*Member*/) override {}
  void members(MembersDone Done) override;

private:
  std::string m_Member;
};

/// A host that has all of every limit for itself.
class WholeShare : public LimitShare {
public:
  double windowShare(Duration /*Window*/) const override { return 1; }
  double newHosts(Duration /*Window*/) const override { return 0; }
};

/// Test fixture: a dispatcher with scripted targets.
class EntryBench : public EventSink, public MetricsSink {
public:
  /// Without Currency, the last published version counts as the one in force.
  explicit EntryBench(const ConfigCurrency *Currency = nullptr);
  ~EntryBench() override;

  ScriptedTarget &addTarget(const std::string &Id,
                            const std::string &Pool = "orders",
                            const std::string &Domain = "d1");
  void drainTarget(const std::string &Id);
  /// Starts a new incarnation of a target at the same address.
  void restartTarget(const std::string &Id);
  /// Installs a new version of the routes; Change adjusts each of them.
  void publish(std::function<void(Route::Builder &)> Change = nullptr);
  /// Customers of the versions that are installed from now on.
  CustomerTablePtr m_Customers;
  /// Installs a new version without any route or pool.
  void publishNothing();

  /// Starts a request, whose answer await() returns. Null if it was answered at
  /// once.
  std::shared_ptr<PendingRequest>
  send(const std::string &Method, const std::string &Path,
       const std::string &Id, Milliseconds TimeLeft,
       std::optional<uint32_t> Key = {}, const std::string &CustomerKey = "");
  /// Runs the loop until the request is answered; fails the test if it is not.
  const HttpResponse &await(const std::string &Id);
  bool isAnswered(const std::string &Id) const {
    return m_Answers.count(Id) > 0;
  }
  /// Runs the loop until Holds returns true; false if Limit passes first.
  bool runUntil(const std::function<bool()> &Holds,
                Milliseconds Limit = Milliseconds(4000));
  /// How often all targets together ran a request.
  int runsOf(const std::string &Id) const;

  void event(Severity Level, const char *Name, const Details &Fields) override;
  void requestDone(const RequestReport &Report) override;

  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  PlainDialect m_Dialect;
  SingleHostGroup m_Group;
  WholeShare m_RetryShare;
  HostLoad m_HostLoad;
  AllowanceGate m_Allowances;
  std::vector<RequestReport> m_Reports;
  /// Called with each version of the routes before the dispatcher gets it.
  std::function<void(const RouteIndex &)> m_OnRoutes;
  Dispatcher::OwnershipLookup m_FindOwnership;
  bool m_OrdersAreKeyed = false;
  /// Requests a second to a cold target, in the versions installed from now on;
  /// 0: no limit.
  double m_WarmupRate = 0;
  std::unique_ptr<TargetRegistry> m_Registry;
  std::unique_ptr<HostMembership> m_Hosts;
  std::unique_ptr<Dispatcher> m_Dispatcher;
  TargetMap m_Members;
  std::map<std::string, std::unique_ptr<ScriptedTarget>> m_Targets;

private:
  void install(Tables Next);

  int64_t m_Version = 0;
  std::map<std::string, HttpResponse> m_Answers;
  std::vector<std::shared_ptr<PendingRequest>> m_Pending;
};

} // namespace monsoon

#endif
