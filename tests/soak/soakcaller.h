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
  /// Returns a host that accepts new connections, or null if there is none.
  using ChooseHost = std::function<HostProcess *()>;

  SoakCaller(boost::asio::io_context &Loop, int Number,
             InvariantChecker &Checker, std::mt19937_64 &Random,
             ChooseHost Choose);

  void start() { sendNext(); }
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

  boost::asio::io_context &m_Loop;
  BootTimeClock m_Clock;
  const int m_Number;
  InvariantChecker &m_Checker;
  std::mt19937_64 &m_Random;
  const ChooseHost m_ChooseHost;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<HttpLink> m_Link;
  HostProcess *m_Host = nullptr;
  TimePoint m_SentAt{};
  bool m_IsStopped = false;
  int m_SentCount = 0;
};

} // namespace monsoon

#endif
