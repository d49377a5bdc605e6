#include "monsoonstand/stopsignal.h"

#include <csignal>
#include <ctime>

namespace monsoon {

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

StopSignal::StopSignal() {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait() const {
  const sigset_t Signals = stopSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
}

bool StopSignal::waitFor(Milliseconds Limit) const {
  const sigset_t Signals = stopSignals();
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Limit);
  const auto Rest = std::chrono::nanoseconds(Limit - Seconds);
  const timespec Timeout = {static_cast<time_t>(Seconds.count()),
                            static_cast<long>(Rest.count())};
  return sigtimedwait(&Signals, nullptr, &Timeout) > 0;
}

} // namespace monsoon
