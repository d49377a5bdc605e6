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

/// Requests name themselves in Id and their key in Key; targets sign with Sign.
class PlainDialect : public Dialect {
public:
  RequestFacts readRequest(const HttpRequest &Request) const override;
  void prepare(HttpFields &Fields, const TargetInfo &To,
               Milliseconds TimeLeft) const override;
  AnswerFacts readAnswer(const HttpAnswer &Answer) const override;
  std::string_view requestIdField() const override { return "Id"; }
};

/// A target on a real socket that does with each request what it is told.
class ScriptedTarget {
public:
  enum class Deed {
    Answer,
    /// Runs and says nothing, until the connection ends.
    Hang,
    /// Runs, then resets the connection.
    RunAndReset,
    /// Resets the connection at once.
    Reset,
    /// States that it did not run the request.
    Refuse,
    /// Another target has the address.
    WrongTarget,
    Fail,
    Unsigned,
    CutShort,
    /// Answers, and sends the same answer again.
    Twice
  };

  ScriptedTarget(boost::asio::io_context &Loop, std::string Id);

  const std::string &id() const { return m_Id; }
  Endpoint address() const { return m_Listener.address(); }
  /// Requests that were run, by id.
  const std::map<std::string, int> &runs() const { return m_Runs; }
  /// All requests that came, whatever became of them.
  int arrivals() const { return m_Arrivals; }
  /// Connections that ended while their request hung.
  int abandoned();
  void stopListening() { m_Listener.close(); }

  std::function<Deed(const std::string &RequestId)> m_Script;
  std::string m_Load;

  /// Handles what has arrived.
  void poll();

private:
  struct Connection {
    size_t m_Handled = 0;
    bool m_Hung = false;
    bool m_Counted = false;
  };
  void handle(RawPeer &Peer, Connection &State, const std::string &Id);

  const std::string m_Id;
  RawListener m_Listener;
  std::vector<Connection> m_States;
  std::map<std::string, int> m_Runs;
  int m_Arrivals = 0;
  int m_Abandoned = 0;
};

/// A group in which this host is alone.
class LoneGroup : public HostGroup {
public:
  uint32_t duties() const override { return 1; }
  void join(const std::string &Member, Milliseconds Stay, uint64_t Generation,
            JoinDone Done) override;
  void leave(const std::string & /*Member*/) override {}
  void members(MembersDone Done) override;

private:
  std::string m_Member;
};

/// The request path between callers and scripted targets.
class EntryBench : public EventSink, public MetricsSink {
public:
  EntryBench();
  ~EntryBench() override;

  ScriptedTarget &addTarget(const std::string &Id,
                            const std::string &Pool = "orders",
                            const std::string &Domain = "d1");
  void drainTarget(const std::string &Id);
  void publish(std::function<void(Route::Builder &)> Change = nullptr);

  /// Starts a request; its answer appears in answers().
  std::shared_ptr<PendingRequest> send(const std::string &Method,
                                       const std::string &Path,
                                       const std::string &Id,
                                       Milliseconds TimeLeft,
                                       std::optional<uint32_t> Key = {});
  const HttpAnswer &await(const std::string &Id);
  bool isAnswered(const std::string &Id) const {
    return m_Answers.count(Id) > 0;
  }
  bool runUntil(const std::function<bool()> &Holds,
                Milliseconds Limit = Milliseconds(4000));
  int runsOf(const std::string &Id) const;

  void event(Severity Level, const char *Name, const Details &Fields) override;
  void requestDone(const RequestReport &Report) override;

  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  PlainDialect m_Dialect;
  LoneGroup m_Group;
  std::vector<RequestReport> m_Reports;
  RangeKeeper *m_Keeper = nullptr;
  bool m_OrdersAreKeyed = false;
  std::unique_ptr<TargetRegistry> m_Registry;
  std::unique_ptr<HostMembership> m_Hosts;
  std::unique_ptr<Dispatcher> m_Dispatcher;
  TargetMap m_Members;
  std::map<std::string, std::unique_ptr<ScriptedTarget>> m_Targets;

private:
  int64_t m_Version = 0;
  std::map<std::string, HttpAnswer> m_Answers;
  std::vector<std::shared_ptr<PendingRequest>> m_Pending;
};

} // namespace monsoon

#endif
