#include "net/linkpool.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

bool contains(const LinkPool::UsedLinks &Used, const HttpLink &Link) {
  return std::any_of(Used.begin(), Used.end(), [&Link](const auto &Each) {
    return Each.lock().get() == &Link;
  });
}

} // namespace

LinkPool::LinkPool(boost::asio::io_context &Loop, const Clock &Time,
                   HttpLink::Options Config)
    : m_Loop(Loop), m_Clock(Time), m_Config(std::move(Config)) {}

LinkPool::~LinkPool() {
  // Connections with a request in flight are left to that request.
  for (const auto &Link : m_Links)
    if (Link->isConnected())
      Link->close();
}

std::shared_ptr<HttpLink> LinkPool::acquire(const UsedLinks &Used) {
  dropClosed();
  std::shared_ptr<HttpLink> Best;
  for (const auto &Link : m_Links) {
    if (!Link->isConnected())
      continue;
    if (!Link->isUsable())
      Link->close();
    else if ((!Best || Link->idleSince() > Best->idleSince()) &&
             !contains(Used, *Link))
      Best = Link;
  }
  return Best ? Best : acquireNew();
}

std::shared_ptr<HttpLink> LinkPool::acquireNew() {
  dropClosed();
  m_Links.push_back(std::make_shared<HttpLink>(m_Loop, m_Clock, m_Config));
  return m_Links.back();
}

void LinkPool::dropClosed() {
  m_Links.erase(
      std::remove_if(m_Links.begin(), m_Links.end(),
                     [](const auto &Link) { return Link->isClosed(); }),
      m_Links.end());
}

} // namespace monsoon
