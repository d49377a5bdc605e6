#ifndef MONSOON_TESTS_SOAK_SOAKCALLER_H
#define MONSOON_TESTS_SOAK_SOAKCALLER_H

#include "net/httplink.h"
#include "program/boottimeclock.h"
#include "soak/hostprocess.h"
#include "soak/invariantchecker.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace monsoon {

/// A caller that sends one request at a time over a keep-alive connection, and
/// connects to another host when the connection fails or the host closes it.
class SoakCaller {
public:
  /// What all callers of a soak share. The references must outlive the caller.
  struct Parts {
    boost::asio::io_context &m_Loop;
    InvariantChecker &m_Checker;
    std::mt19937_64 &m_Random;
    /// Returns a host that accepts new connections, or null if there is none.
    std::function<HostProcess *()> m_ChooseHost;
    /// Returns for how long the soak itself acted late since a time, in all, as
    /// the machine may be busy. A request may have been sent, and its end
    /// noticed, that much later.
    std::function<Duration(TimePoint When)> m_DelaySince;
    /// Returns the newest config version that all hosts should know.
    std::function<int64_t()> m_VersionInForce;
    /// Returns true if the host had no fault that excuses an old config for
    /// requests sent at this time.
    std::function<bool(HostProcess &Host, TimePoint SentAt)> m_MustKnowConfig;
    /// If true, callers only read from the pool without keys.
    bool m_OnlyReads = false;
  };

  /// If it Reconnects, each request is sent over a connection of its own.
  SoakCaller(int Number, bool Reconnects, const Parts &Shared);

  /// Sends requests until stop(). May be called again after it.
  void start();
  /// Sends no further requests; one that is in flight still completes.
  void stop() { m_IsStopped = true; }

  /// Requests answered with 200, and all others, since the counts were last
  /// reset. Soak resets them to measure the success rate.
  int m_Succeeded = 0;
  int m_Failed = 0;

private:
  void sendNext();
  void handleResult(const std::string &Id, LinkResult Result,
                    const HttpResponse &Answer);
  void sendAfter(Milliseconds Delay);

  void checkVersion(const std::string &Id, int Status);

  BootTimeClock m_Clock;
  const int m_Number;
  const bool m_Reconnects;
  const Parts m_Parts;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<HttpLink> m_Link;
  HostProcess *m_Host = nullptr;
  TimePoint m_SentAt{};
  /// The config version that the order in flight depends on; 0 if it is none.
  int64_t m_Version = 0;
  bool m_IsStopped = true;
  /// True while a request is in flight or the next one is scheduled.
  bool m_IsBusy = false;
  int m_SentCount = 0;
};

} // namespace monsoon

#endif
