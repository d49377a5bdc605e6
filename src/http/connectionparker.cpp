#include "http/connectionparker.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>
#include <vector>

namespace monsoon {

namespace {

constexpr int WakeInterval = 100; // milliseconds between checks for idleness

} // namespace

ConnectionParker::ConnectionParker(Duration IdleTimeout, Wake OnReadable)
    : m_IdleTimeout(IdleTimeout), m_OnReadable(std::move(OnReadable)),
      m_Epoll(::epoll_create1(EPOLL_CLOEXEC)), m_Thread([this] { run(); }) {}

ConnectionParker::~ConnectionParker() {
  stop();
  ::close(m_Epoll);
}

void ConnectionParker::park(std::unique_ptr<ServerConnection> Connection) {
  const int Socket = Connection->socket();
  Connection->markIdle(std::chrono::steady_clock::now());
  const absl::MutexLock Lock(&m_Mutex);
  if (m_Stopping)
    return;
  epoll_event Event = {};
  Event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  Event.data.fd = Socket;
  m_Parked[Socket] = std::move(Connection);
  if (::epoll_ctl(m_Epoll, EPOLL_CTL_MOD, Socket, &Event) != 0 &&
      ::epoll_ctl(m_Epoll, EPOLL_CTL_ADD, Socket, &Event) != 0)
    m_Parked.erase(Socket);
}

size_t ConnectionParker::parked() const {
  const absl::MutexLock Lock(&m_Mutex);
  return m_Parked.size();
}

std::unique_ptr<ServerConnection> ConnectionParker::take(int Socket) {
  const absl::MutexLock Lock(&m_Mutex);
  const auto It = m_Parked.find(Socket);
  if (It == m_Parked.end())
    return nullptr;
  auto Connection = std::move(It->second);
  m_Parked.erase(It);
  return Connection;
}

void ConnectionParker::run() {
  std::array<epoll_event, 64> Events;
  while (!m_Stopping) {
    const int Ready = ::epoll_wait(
        m_Epoll, Events.data(), static_cast<int>(Events.size()), WakeInterval);
    for (int Index = 0; Index < Ready; ++Index)
      if (auto Connection = take(Events[static_cast<size_t>(Index)].data.fd))
        m_OnReadable(std::move(Connection));
    closeIdle();
  }
}

void ConnectionParker::closeIdle() {
  const TimePoint Oldest = std::chrono::steady_clock::now() - m_IdleTimeout;
  std::vector<std::unique_ptr<ServerConnection>> Closed;
  const absl::MutexLock Lock(&m_Mutex);
  for (auto It = m_Parked.begin(); It != m_Parked.end();) {
    if (It->second->idleSince() >= Oldest) {
      ++It;
      continue;
    }
    Closed.push_back(std::move(It->second));
    m_Parked.erase(It++);
  }
}

void ConnectionParker::stop() {
  m_Stopping = true;
  if (m_Thread.joinable())
    m_Thread.join();
  const absl::MutexLock Lock(&m_Mutex);
  m_Parked.clear();
}

} // namespace monsoon
