// Stand-ins for the platform's store, for servers and for requesters, and a
// runner for the project's own processes. Written from PROTOCOL.md and
// DEPLOY.md of the users' pages. Everything listens on loopback addresses.
#ifndef REVIEW_STANDINS_H
#define REVIEW_STANDINS_H

#include <json/json.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using TimePoint = SteadyClock::time_point;

/// An HTTP message: the start line, the fields and the whole body.
struct Message {
  std::string m_Start;
  std::vector<std::pair<std::string, std::string>> m_Fields;
  std::string m_Body;

  const std::string *find(const std::string &Name) const;
  /// The second word of the start line: the path of a request.
  std::string target() const;
  /// The status of a response.
  int status() const;
};

enum class ReadResult { Ok, Closed, Reset, Timeout, Malformed };

/// A connected socket with the bytes that were read ahead.
class Connection {
public:
  explicit Connection(int Socket) : m_Socket(Socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool isOpen() const { return m_Socket >= 0; }
  bool write(const std::string &Bytes);
  ReadResult readRequest(Message &Request, Milliseconds Limit);
  /// ForHead: the response to a HEAD request, which has no body.
  ReadResult readResponse(Message &Response, Milliseconds Limit, bool ForHead);
  /// True if the peer has closed or reset the connection.
  bool isClosedByPeer() const;
  /// Bytes that were received but belong to no message yet.
  const std::string &pending() const { return m_Pending; }
  /// Closes with a reset instead of an orderly end.
  void reset();
  /// Ends all reads and writes, also those of another thread.
  void shutdown() const;

private:
  ReadResult fill(TimePoint End);
  ReadResult readHead(Message &Result, TimePoint End);
  ReadResult readBody(Message &Result, TimePoint End, bool UntilClose);

  int m_Socket;
  std::string m_Pending;
};

/// Connects to a port of 127.0.0.1; null if that fails.
std::unique_ptr<Connection> connectTo(int Port);

/// Listens on a free port of 127.0.0.1, with one thread a connection.
class Listener {
public:
  using Serve = std::function<void(Connection &)>;

  explicit Listener(Serve Handler);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  int port() const { return m_Port; }
  /// Stops listening and cuts all connections.
  void stop();

private:
  struct Worker {
    std::shared_ptr<Connection> m_Connection;
    std::thread m_Thread;
  };
  void acceptAll();

  Serve m_Handler;
  int m_Socket = -1;
  int m_Port = 0;
  std::atomic<bool> m_IsStopped{false};
  std::mutex m_Mutex;
  std::vector<Worker> m_Workers;
  std::thread m_Thread;
};

/// Writes record.txt: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  void line(const std::string &Text);

private:
  std::mutex m_Mutex;
  std::FILE *m_File;
  const TimePoint m_Start;
};

/// The platform's metadata store: keyed topics of one partition, conditional
/// appends, and groups.
class Store {
public:
  explicit Store(size_t RecordBytes = 262'144);
  int port() const { return m_Listener.port(); }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Topic, const std::string &Key);
  /// While true, calls are answered with 503.
  std::atomic<bool> m_IsAway{false};
  void stop();

private:
  struct KeyValue {
    std::string m_Key;
    std::string m_Value;
  };
  struct Topic {
    std::vector<KeyValue> m_Records;
    std::map<std::string, size_t> m_Newest;
  };
  struct Member {
    TimePoint m_Expiry;
    uint64_t m_Generation = 0;
  };
  struct Duty {
    std::string m_Assigned;
    std::string m_Former;
  };

  void serve(Connection &Peer);
  std::string answer(const Message &Request);
  std::string append(const Message &Request);
  std::string read(const Message &Request);
  std::string newest(const Message &Request);
  std::string group(const Message &Request);
  void add(Topic &Log, KeyValue Added);
  void dropExpiredMembers();
  void assignDuties();
  std::string holderOf(size_t Number);

  const size_t m_RecordBytes;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Topic> m_Topics;
  std::map<std::string, Member> m_Members;
  std::vector<std::string> m_GroupTopics;
  std::map<size_t, Duty> m_Duties;
  uint64_t m_Generation = 0;
  bool m_IsStopped = false;
  Listener m_Listener;
};

/// Watches which server is at work on which key.
class KeyWatch {
public:
  /// Called when a server is given a key on which another one is still at work,
  /// before that one's hold would have run out.
  std::function<void(const std::string &Text)> m_OnBreach;

  uint64_t begin(const std::string &Server, uint32_t Key, TimePoint HeldUntil);
  void end(uint64_t Number);
  void noteGiven(const std::string &Server, uint32_t First, uint32_t Last);

private:
  struct Work {
    std::string m_Server;
    uint32_t m_Key;
    TimePoint m_HeldUntil;
  };
  std::mutex m_Mutex;
  std::map<uint64_t, Work> m_Works;
  uint64_t m_Next = 0;
};

/// What a server does with one request after it has run it.
using Respond = std::function<void(Connection &, const Message &Request,
                                   const std::string &Answer)>;

/// A server of a service. It runs `slots` requests at a time, queues a few and
/// rejects the rest; if its service is sharded it runs only what it holds.
class Server {
public:
  struct Options {
    std::string m_Id;
    std::string m_Service;
    std::string m_Zone;
    int m_Slots = 4;
    size_t m_Queue = 16;
    bool m_IsSharded = false;
    Milliseconds m_Work{120};
    /// Replaces the plain sending of the answer.
    Respond m_Respond;
    /// Told of the server's work on keys if it is set.
    KeyWatch *m_Watch = nullptr;
  };

  Server(Options Config, Store &Platform, Record &Log);
  ~Server();
  const std::string &id() const { return m_Config.m_Id; }
  /// Ends at once, as in a crash: no connection gets any further byte.
  void crash();
  bool isUp() const { return m_IsUp; }
  /// Method and target of each run, by the id of the request.
  std::map<std::string, std::vector<std::string>> runs();
  const std::string &zone() const { return m_Config.m_Zone; }
  /// Reports itself cold for so long.
  void turnCold(Milliseconds Length);
  /// The middle of the Number-th range that it holds; empty if it holds none.
  std::optional<uint32_t> heldKey(size_t Number);
  std::atomic<int> m_WorkMs;

private:
  struct Hold {
    uint32_t m_First;
    uint32_t m_Last;
    uint64_t m_Fence;
    TimePoint m_Expiry;
  };
  void writeEntry(Milliseconds WarmupLeft);
  void serve(Connection &Peer);
  std::string run(Connection &Peer, const Message &Request, bool &HasRun);
  std::string grant(const Message &Request);
  std::string release(const Message &Request);
  /// Until when it holds a key; in the past if it does not.
  TimePoint heldUntil(uint32_t Key) const;

  const Options m_Config;
  Store &m_Store;
  Record &m_Log;
  const int64_t m_Born;
  std::atomic<bool> m_IsUp{true};
  std::mutex m_Mutex;
  std::condition_variable m_SlotFree;
  int m_Running = 0;
  size_t m_Waiting = 0;
  std::map<std::string, std::vector<std::string>> m_Runs;
  std::vector<Hold> m_Holds;
  std::vector<Hold> m_Seen;
  std::atomic<int64_t> m_Sequence{0};
  /// The running work on keys.
  std::map<uint64_t, uint32_t> m_KeysAtWork;
  uint64_t m_NextWork = 0;
  Listener m_Listener;
};

/// The body with which a server answers a request.
std::string bodyFor(const std::string &RequestId);

/// One process of the project, started as deploy/system.toml says, with the
/// settings of deploy/settings.json.in filled in.
class EntryHost {
public:
  EntryHost(std::string Repository, std::string Folder, std::string Name,
            std::string Zone, int StorePort);
  ~EntryHost();
  bool start();
  int pid() const { return m_Pid; }
  int callerPort() const { return m_CallerPort; }
  bool isReady() const;
  void signal(int Number) const;
  /// True if the process has ended; then Status is its wait status.
  bool hasEnded(int &Status);
  /// Memory in use, in KiB, and the most so far.
  long residentKb() const;
  long peakKb() const;

private:
  long statusField(const char *Name) const;

  const std::string m_Repository;
  const std::string m_Folder;
  const std::string m_Name;
  const std::string m_Zone;
  const int m_StorePort;
  int m_CallerPort;
  int m_ReadyPort;
  int m_MetricsPort;
  int m_PeerPort;
  int m_Pid = 0;
};

/// Ends all entry hosts that run. Safe to call from a signal handler.
void killAllEntryHosts();

/// A config with a sharded `safe` route /look/, a plain `safe` route /read/ and
/// an `unsafe` route /order/, all of host shop.example.
std::string configText(int Version, size_t MaxBodyBytes);

/// Waits until the condition holds; false after the limit.
bool waitFor(Milliseconds Limit, const std::function<bool()> &Condition);

} // namespace review

#endif
