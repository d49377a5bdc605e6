#ifndef MONSOON_TESTS_SOAK_SOAKCALLER_H
#define MONSOON_TESTS_SOAK_SOAKCALLER_H

#include "net/httplink.h"
#include "program/boottimeclock.h"
#include "soak/hostprocess.h"
#include "soak/referee.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace monsoon {

/// A caller that sends one request after the other, on a connection that it
/// keeps until the host's process is gone or the host ends it.
class SoakCaller {
public:
  /// Names a host that takes new connections, or null.
  using ChooseHost = std::function<HostProcess *()>;

  SoakCaller(boost::asio::io_context &Loop, int Number, Referee &Judge,
             std::mt19937_64 &Random, ChooseHost Choose);

  void start() { sendNext(); }
  void stop() { m_Stopped = true; }

  /// Answers of the last requests, for a look at the service as it is.
  int m_Good = 0;
  int m_Bad = 0;

private:
  void sendNext();
  void ended(const std::string &Id, LinkResult Result,
             const HttpResponse &Answer);
  void pauseAndSend(Milliseconds Pause);

  boost::asio::io_context &m_Loop;
  BootTimeClock m_Time;
  const int m_Number;
  Referee &m_Referee;
  std::mt19937_64 &m_Random;
  const ChooseHost m_Choose;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<HttpLink> m_Link;
  HostProcess *m_Host = nullptr;
  TimePoint m_SentAt{};
  bool m_Stopped = false;
  int m_Sent = 0;
};

} // namespace monsoon

#endif
