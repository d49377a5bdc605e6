#ifndef MONSOON_TESTS_SOAK_SOAKSERVER_H
#define MONSOON_TESTS_SOAK_SOAKSERVER_H

#include "net/acceptor.h"
#include "platform/storestandin.h"
#include "ports/grantchannel.h"
#include "soak/faultproxy.h"
#include "soak/referee.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoon {

/// A server of the users, behind a proxy: slots, a short queue, and for keyed
/// pools the keys that it was granted.
class SoakServer : public RequestHandler {
public:
  struct Hold {
    KeyRange m_Keys;
    uint64_t m_Fence = 0;
    TimePoint m_Until{};
  };
  /// Asks whether another server holds some of the keys.
  using HeldElsewhere =
      std::function<bool(const SoakServer &Self, const KeyRange &Keys)>;

  struct Parts {
    boost::asio::io_context &m_Loop;
    StoreStandIn &m_Store;
    Referee &m_Referee;
    std::mt19937_64 &m_Random;
    HeldElsewhere m_HeldElsewhere;
  };

  SoakServer(std::string Id, std::string Pool, std::string Domain,
             const Parts &Shared);

  const std::string &id() const { return m_Id; }
  FaultProxy &proxy() { return m_Proxy; }
  bool isUp() const { return m_Up; }
  bool holds(const KeyRange &Keys) const;

  void crash();
  /// Starts anew, with the same id or another one.
  void restart(const std::string &Id);
  /// Says that it leaves, and leaves after some time.
  void drain();
  bool isDraining() const { return m_Draining; }
  /// Its heartbeats reach the store no more.
  void setCutFromStore(bool Cut) { m_CutFromStore = Cut; }
  /// The next requests that it runs are never answered.
  void loseAnswers(int Count) { m_LoseAnswers = Count; }

  // RequestHandler
  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override;
  HttpResponse refuse(ErrorKind Kind, const std::string &Detail) override;
  RequestLimits limits() const override { return {}; }

private:
  class Work;

  void beat();
  HttpResponse answerWith(int Status) const;
  HttpResponse notExecuted(int Status) const;
  HttpResponse grant(const std::string &Body);
  void release(const std::string &Body, const Reply &Done);
  void startNext();
  void ended(const std::shared_ptr<Work> &Which);

  std::string m_Id;
  const std::string m_Pool;
  const std::string m_Domain;
  const Parts m_Parts;
  BootTimeClock m_Time;
  std::unique_ptr<Acceptor> m_Acceptor;
  /// Those of former lives; their sessions end by themselves.
  std::vector<std::unique_ptr<Acceptor>> m_Retired;
  FaultProxy m_Proxy;
  boost::asio::steady_timer m_Beat;
  bool m_Up = false;
  bool m_Draining = false;
  bool m_CutFromStore = false;
  int m_LoseAnswers = 0;
  int64_t m_Born = 0;
  int64_t m_Sequence = 0;
  std::vector<Hold> m_Holds;
  std::vector<Hold> m_Seen;
  std::vector<std::shared_ptr<Work>> m_Running;
  std::deque<std::shared_ptr<Work>> m_Queue;
};

} // namespace monsoon

#endif
