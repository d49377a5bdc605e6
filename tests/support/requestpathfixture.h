#ifndef MONSOON_TESTS_SUPPORT_REQUESTPATHFIXTURE_H
#define MONSOON_TESTS_SUPPORT_REQUESTPATHFIXTURE_H

#include "engine/requestpath.h"
#include "support/faketargets.h"

#include <memory>
#include <string>
#include <vector>

namespace monsoon {

/// Collects the reports of finished requests.
class ReportCollector : public MetricsSink {
public:
  void requestDone(const RequestReport &Report) override {
    m_Reports.push_back(Report);
  }
  std::vector<RequestReport> m_Reports;
};

/// A test fixture: a request path of entry host "e1" over fake targets and a
/// simulated clock. The routes "order" (not idempotent) and "lookup"
/// (idempotent) lead to the pool "orders", the route "ledger" to the pool
/// "ledger", which is owned by key. Each pool has four targets in two failure
/// domains.
class RequestPathFixture {
public:
  RequestPathFixture()
      : m_Targets(m_Time), m_Admission(64),
        m_Path("e1", m_Routes, m_Admission, m_Targets, m_Time, m_Reports) {
    publish({});
  }

  /// Installs the next configuration version, in which the given failure
  /// domains are out. All targets are warm.
  void publish(std::vector<std::string> DomainsOut) {
    m_Routes.install(
        ++m_Version,
        std::make_shared<const Tables>(
            std::vector<Route>{
                route("order", "/orders", "POST", false, "orders"),
                route("lookup", "/orders/{id}", "GET", true, "orders"),
                keyedRoute()},
            std::vector<Pool>{pool("orders", false, DomainsOut),
                              pool("ledger", true, DomainsOut)}));
    for (const std::string Name : {"orders", "ledger"})
      for (int Index = 0; Index < 4; ++Index) {
        const std::string Target = Name + std::to_string(Index);
        m_Routes.current()->runtime(Name)->m_Targets.learnWarmth(
            {Name, Target, Target + "/1", 0, true, {}}, m_Time.now());
      }
  }

  /// Applies a routing view in which one server owns all ranges of the pool
  /// "ledger"; the view expires after `Lifetime`.
  void applyView(const std::string &Server, bool Pending,
                 Milliseconds Lifetime) {
    Heartbeat Message;
    Message.m_Term = 1;
    Message.m_ViewSeq = ++m_ViewSeq;
    Message.m_RangeCount = 1;
    Message.m_Entries = {{0, Server, m_ViewSeq, Pending}};
    Message.m_Echo = toStamp(m_Time.now());
    Message.m_ViewLifetime = Lifetime;
    m_Routes.current()->runtime("ledger")->m_View.apply(Message);
  }

  /// Handles one request that arrives now.
  Answer call(const std::string &Method, const std::string &Path,
              const std::string &Id, AnswerSink *Sink = nullptr) {
    CallerRequest Request;
    Request.m_Method = Method;
    Request.m_Uri = Path;
    Request.m_Path = Path;
    Request.m_RequestId = Id;
    Request.m_ReceivedAt = m_Time.now();
    return m_Path.handle(Request, Sink);
  }

  FakeClock m_Time;
  FakeTargets m_Targets;
  Router m_Routes;
  Admission m_Admission;
  ReportCollector m_Reports;
  RequestPath m_Path;

private:
  static Route route(const std::string &Name, const std::string &Path,
                     const std::string &Method, bool Idempotent,
                     const std::string &Pool) {
    return Route::Builder(Name, *PathTemplate::parse(Path), Pool)
        .methods({Method})
        .idempotent(Idempotent)
        .build();
  }

  static Route keyedRoute() {
    return Route::Builder("ledger", *PathTemplate::parse("/ledger/{shop}"),
                          "ledger")
        .methods({"GET", "POST"})
        .key({KeyPlace::PathParameter, "shop"})
        .build();
  }

  static Pool pool(const std::string &Name, bool Owned,
                   const std::vector<std::string> &DomainsOut) {
    Pool::Builder Builder(Name);
    Builder.ownedByKey(Owned).ranges(1).domainsOut(DomainsOut);
    for (int Index = 0; Index < 4; ++Index)
      Builder.addTarget({Name + std::to_string(Index), "127.0.0.1", 1 + Index,
                         "d" + std::to_string(Index % 2), 4, 100});
    return Builder.build();
  }

  ConfigVersion m_Version = 0;
  uint64_t m_ViewSeq = 0;
};

} // namespace monsoon

#endif
