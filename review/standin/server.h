#ifndef REVIEW_SERVER_H
#define REVIEW_SERVER_H

#include "world.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A request as a server has read its head.
struct ServerRequest {
  std::string m_Path;
  /// Names in lower case.
  std::map<std::string, std::string> m_Fields;
  size_t m_BodyBytes = 0;
  std::string field(const std::string &Name) const;
  std::string id() const { return field("x-monsoonstand-request-id"); }
};

/// A connection of a server. Read and written by its own thread.
class ServerConnection {
public:
  explicit ServerConnection(int Socket) : m_Socket(Socket) {}
  ~ServerConnection();
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  /// Reads the head of the next request; false at the end of the connection or
  /// if the bytes are no request, which are then in rest().
  bool readHead(ServerRequest &Next);
  /// Reads up to Size further bytes; fewer at the end of the connection.
  std::string read(size_t Size);
  void write(const std::string &Bytes);
  /// Wakes a thread that is reading.
  void shutDown();
  const std::string &rest() const { return m_Buffer; }
  /// Free for the server's behaviour, such as a copy of the last answer.
  std::string m_Note;

private:
  bool fill();

  const int m_Socket;
  std::string m_Buffer;
};

/// A server that registers in the store, takes grants if its service is
/// sharded, and passes requests to a function that behaves as the case needs.
class Server {
public:
  /// Serves a request whose head has been read; returns false to close the
  /// connection.
  using Behaviour =
      std::function<bool(Server &, ServerConnection &, const ServerRequest &)>;
  struct Held {
    int m_First = 0;
    int m_Last = 0;
    int64_t m_Fence = 0;
    Clock::time_point m_Until{};
  };

  Server(std::string Id, std::string Service, std::string Zone, Store &Platform,
         Record &Log, Behaviour Serve, int ReceiveBufferBytes = 0);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  const std::string &id() const { return m_Id; }
  /// Reports itself as draining from now on.
  void drain();
  /// True if it holds the key now.
  bool holds(int Key);
  /// The key that requests under way work on, with the time until which they
  /// were held when the work began; see beginWork().
  void beginWork(int Key);
  void endWork(int Key);
  /// Keys of the range on which it is at work although they were not released,
  /// and whose hold has not run out.
  std::vector<int> busyKeys(int First, int Last);
  /// True if it is at work on keys that the body of a grant or release names.
  bool isAtWorkOn(const std::string &Body);
  /// Carries out a grant or release; the answer's bytes are returned. A release
  /// returns when the work on its keys has ended.
  std::string carryOutOrder(const ServerRequest &Order,
                            const std::string &Body);
  /// Called before a grant is carried out.
  std::function<void(Server &, const Held &)> m_OnGrant;

private:
  void acceptLoop();
  void heartbeatLoop();
  void beat();

  const std::string m_Id;
  const std::string m_Service;
  const std::string m_Zone;
  Store &m_Store;
  Record &m_Record;
  const Behaviour m_Serve;
  int m_Listener;
  int m_Port = 0;
  const int64_t m_Born;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<bool> m_IsDraining{false};
  int64_t m_Sequence = 0;
  std::mutex m_Mutex;
  std::vector<Held> m_Held;
  std::vector<Held> m_Seen;
  std::multimap<int, Clock::time_point> m_Work;
  std::vector<std::shared_ptr<ServerConnection>> m_Connections;
  std::vector<std::thread> m_Threads;
  std::thread m_Accepting;
  std::thread m_Beating;
};

/// Bytes of an answer. With an id it echoes the request's and is signed.
std::string answerText(int Status, const std::string &RequestId,
                       const std::string &Body,
                       const std::string &FurtherFields = "");
/// A rejection of a request that has not run.
std::string rejectionText(const std::string &RequestId, int Status = 503,
                          const std::string &FurtherFields = "");

} // namespace review

#endif
