#ifndef MONSOON_TESTS_PLATFORM_STORESTANDIN_H
#define MONSOON_TESTS_PLATFORM_STORESTANDIN_H

#include "net/acceptor.h"
#include "program/boottimeclock.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

/// In-memory test store with the part of the platform's protocol that the
/// project uses: keyed topics with one partition, conditional appends, and one
/// group.
class StoreStandIn : public RequestHandler {
public:
  explicit StoreStandIn(boost::asio::io_context &Loop);

  /// Listens on a free loopback port and returns its address.
  Endpoint start();

  /// Writes or deletes a key as a server or an operator does.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Topic, const std::string &Key);
  /// Expires all records for log-read; log-newest still returns the newest
  /// record of each key.
  void compact(const std::string &Topic);

  /// Restores the store from an older copy: each topic loses its last records,
  /// and the group its generations. Answers name the next epoch.
  void restore(size_t LostRecords);
  /// The same with a copy that is this old, so that all topics are restored to
  /// one state.
  void restoreCopy(Duration Age);
  /// The value of a key that was written last; none if there is none or it was
  /// deleted.
  std::optional<std::string> newest(const std::string &Topic,
                                    const std::string &Key) const;

  /// The epoch that answers name; none if it is empty.
  std::string m_EpochField = "1";
  /// Number of next calls that are carried out but not answered.
  int m_AnswersToLose = 0;
  /// While true, every call is answered with 503 and not carried out.
  bool m_IsUnavailable = false;
  /// Paths of all calls received.
  std::vector<std::string> m_Calls;

  // RequestHandler
  std::shared_ptr<PendingRequest> handle(HttpRequest Request,
                                         Reply Done) override;
  HttpResponse refuse(ErrorKind Kind, const std::string &Detail) override;
  RequestLimits limits() const override { return {}; }

private:
  struct Record {
    std::string m_Key;
    std::string m_Value;
    TimePoint m_WrittenAt{};
  };
  struct Topic {
    /// Offset of the oldest record that log-read still returns.
    uint64_t m_First = 0;
    std::vector<Record> m_Records;
    /// Offset of the newest record of each key.
    std::map<std::string, uint64_t> m_Newest;
  };
  class PendingRead;

  void append(Topic &Log, Record Added);
  /// Drops all records of a topic but the first Kept.
  static void truncate(Topic &Log, size_t Kept);
  void startEpoch();
  HttpResponse appendCall(const HttpRequest &Request);
  HttpResponse newestCall(const HttpRequest &Request);
  /// Records up to MaxKilobytes in all, but at least one if there is any.
  HttpResponse readPage(const Topic &Log, uint64_t From,
                        uint64_t MaxKilobytes) const;
  HttpResponse groupCall(const HttpRequest &Request);
  void removeExpiredMembers();
  void assignDuties();
  /// The member that holds a duty; empty until its former holder gave it up.
  std::string holderOf(unsigned Number);

  boost::asio::io_context &m_Loop;
  BootTimeClock m_Time;
  Acceptor m_Acceptor;
  std::map<std::string, Topic> m_Topics;
  std::vector<std::weak_ptr<PendingRead>> m_PendingReads;
  struct Member {
    TimePoint m_Expiry{};
    /// The generation that it named in its last join.
    uint64_t m_Generation = 0;
  };
  /// The member to which a duty is assigned, and the previous one that may
  /// still rely on holding it.
  struct Duty {
    std::string m_Assigned;
    std::string m_Former;
  };
  std::map<std::string, Member> m_Members;
  std::map<unsigned, Duty> m_Duties;
  uint64_t m_Generation = 0;
};

} // namespace monsoon

#endif
