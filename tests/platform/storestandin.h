#ifndef MONSOON_TESTS_PLATFORM_STORESTANDIN_H
#define MONSOON_TESTS_PLATFORM_STORESTANDIN_H

#include "net/acceptor.h"
#include "program/boottimeclock.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <vector>

namespace monsoon {

/// A small store that speaks the platform's protocol as far as the project uses
/// it: keyed topics with one partition, conditional appends, and one group.
class StoreStandIn : public RequestHandler {
public:
  explicit StoreStandIn(boost::asio::io_context &Loop);

  /// Listens on a free port of the loopback and returns where.
  Endpoint start();

  /// Writes as a server or an operator would.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Topic, const std::string &Key);
  /// Forgets records before the newest ones of each key.
  void compact(const std::string &Topic);

  /// The next answers are not given, though the calls are carried out.
  int m_LoseAnswers = 0;
  /// Every call is answered with 503.
  bool m_Busy = false;
  std::vector<std::string> m_Calls;

  // RequestHandler
  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override;
  HttpAnswer refuse(ErrorKind Kind, const std::string &Detail) override;
  RequestLimits limits() const override { return {}; }

private:
  struct Record {
    std::string m_Key;
    std::string m_Value;
  };
  struct Topic {
    uint64_t m_First = 0;
    std::vector<Record> m_Records;
    std::map<std::string, uint64_t> m_Newest;
  };
  class LongRead;

  void append(Topic &Where, const Record &What);
  HttpAnswer appendCall(const HttpRequest &Request);
  HttpAnswer newestCall(const HttpRequest &Request);
  HttpAnswer readPage(const Topic &Where, uint64_t From) const;
  HttpAnswer groupCall(const HttpRequest &Request);
  void dropSilentMembers();
  void dealDuties();
  /// The member that has a duty, or empty while it is given back.
  std::string holderOf(unsigned Number);

  boost::asio::io_context &m_Loop;
  BootTimeClock m_Time;
  Acceptor m_Acceptor;
  std::map<std::string, Topic> m_Topics;
  std::vector<std::weak_ptr<LongRead>> m_Waiting;
  struct Member {
    TimePoint m_Until{};
    /// The generation with which it joined last.
    uint64_t m_Generation = 0;
  };
  /// The member to which a duty is dealt, and the one that may still count on
  /// it.
  struct Duty {
    std::string m_Dealt;
    std::string m_Former;
  };
  std::map<std::string, Member> m_Members;
  std::map<unsigned, Duty> m_Duties;
  uint64_t m_Generation = 0;
};

} // namespace monsoon

#endif
