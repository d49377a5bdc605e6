// Stand-ins of the platform, its store, servers and callers, for the scripts of
// this review. They follow the users' pages and use no code of the project.
#ifndef REVIEW_STANDIN_3_WORLD_H
#define REVIEW_STANDIN_3_WORLD_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Ends this process when the script that started it ends, and after the time
/// that a script may take. Called by the main thread before all else.
void bindToScript();
/// Seconds since the start of the script.
double now();
void sleepMs(int64_t Length);

/// Lines of record.txt, each with the time.
class Record {
public:
  explicit Record(const std::string &Path);
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3)));

private:
  std::mutex m_Mutex;
  std::FILE *m_File;
};

struct Address {
  std::string m_Ip;
  int m_Port = 0;
  std::string text() const { return m_Ip + ":" + std::to_string(m_Port); }
};

/// A message as it was read; field names are in lower case.
struct Message {
  std::string m_Start;
  std::map<std::string, std::string> m_Fields;
  std::string m_Body;
  std::string field(const std::string &Name) const;
};

/// A connection with a buffer of what was read beyond the last message.
class Stream {
public:
  explicit Stream(int Descriptor) : m_Descriptor(Descriptor) {}
  ~Stream();
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  /// Reads a request or response. False at the end of the stream, after an
  /// error or when nothing arrives for TimeoutMs.
  bool read(Message &Result, int TimeoutMs, bool HasBody = true);
  bool write(const std::string &Bytes);
  int descriptor() const { return m_Descriptor; }
  /// Bytes that were read in all.
  size_t received() const { return m_Received; }
  /// Closes with a reset.
  void reset();

private:
  bool fill(int TimeoutMs);
  int m_Descriptor;
  std::string m_Buffer;
  size_t m_Received = 0;
};

std::unique_ptr<Stream> connectTo(const Address &To, int TimeoutMs);

/// Accepts connections at a free port of an address and serves each by a
/// thread.
class Listener {
public:
  using Handler = std::function<void(Stream &)>;
  Listener(const std::string &Ip, Handler Serve);
  ~Listener();
  const Address &address() const { return m_Address; }

private:
  Address m_Address;
  int m_Descriptor;
  Handler m_Serve;
  std::thread m_Thread;
};

/// A free TCP port of an address.
int freePort(const std::string &Ip);

/// The platform's store: keyed topics with one partition, and groups.
class Store {
public:
  explicit Store(const std::string &Ip);
  const Address &address() const { return m_Listener->address(); }
  /// Writes a key as the operator or a server does; without a value, drops it.
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);
  /// The newest value of a key.
  std::optional<std::string> newest(const std::string &Topic,
                                    const std::string &Key);
  /// Largest record of an append.
  size_t m_RecordBytes = 262144;
  std::atomic<int> m_RefusedRecords{0};
  std::atomic<size_t> m_LargestRecord{0};

private:
  struct Row {
    std::string m_Key;
    std::optional<std::string> m_Value;
    std::string m_Raw;
  };
  struct Topic {
    std::vector<Row> m_Rows;
    std::map<std::string, size_t> m_Newest;
  };
  struct Member {
    Clock::time_point m_Until;
    uint64_t m_Generation = 0;
  };
  struct Part {
    std::string m_Owner;
    std::string m_Next;
    /// The generation from which on m_Next owns it.
    uint64_t m_Generation = 0;
  };

  void serve(Stream &Connection);
  std::string answer(const Message &Request);
  std::string append(const std::map<std::string, std::string> &Query,
                     const std::string &Body);
  std::string readRows(const std::map<std::string, std::string> &Query);
  std::string readNewest(const std::map<std::string, std::string> &Query);
  std::string join(const std::string &Body);
  void addRow(Topic &To, Row Added);
  void dealParts();

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Topic> m_Topics;
  std::map<std::string, Member> m_Members;
  std::map<std::pair<std::string, int>, Part> m_Parts;
  std::set<std::string> m_GroupTopics;
  uint64_t m_Generation = 1;
  std::unique_ptr<Listener> m_Listener;
};

/// What a server does with a call to its grant interface.
enum class GrantAnswer { Proper, Endless };

/// A server of a service; a sharded one runs requests of keys that it holds.
class Server {
public:
  struct Options {
    std::string m_Id, m_Service, m_Zone, m_Ip;
    bool m_Sharded = false;
    int m_Slots = 4;
    int m_WorkMs = 120;
    double m_Speed = 1;
    int m_HeartbeatMs = 870;
  };
  Server(Options Config, Store &Platform, Record &Out);
  ~Server();
  const Options &options() const { return m_Config; }
  const Address &address() const { return m_Listener->address(); }

  /// Decides how a grant or release is answered; null: properly.
  std::function<GrantAnswer(bool IsRelease)> m_GrantAnswer;
  /// Answers a request with bytes without end and returns true, or returns
  /// false; null: never.
  std::function<bool(Stream &, const std::string &Id)> m_Endless;
  /// Sends bytes without end, as the answer to a grant or release, until the
  /// caller closes.
  std::function<void(Stream &)> m_SendEndless;
  /// Notes each run.
  std::function<void(const std::string &Id)> m_OnRun;

  std::atomic<int> m_Grants{0}, m_Releases{0}, m_Runs{0}, m_Misdirected{0};
  size_t heldRanges();

private:
  struct Hold {
    uint32_t m_First, m_Last;
    uint64_t m_Fence;
    Clock::time_point m_Until;
  };
  void serve(Stream &Connection);
  void heartbeat();
  bool holds(uint32_t Key);
  std::string control(const Message &Request, bool IsRelease);
  std::string run(const Message &Request);

  const Options m_Config;
  Store &m_Store;
  Record &m_Record;
  const int64_t m_Born;
  std::mutex m_Mutex;
  std::condition_variable m_SlotFree;
  std::vector<Hold> m_Holds;
  std::vector<std::pair<uint32_t, int>> m_RunningKeys;
  int m_Running = 0, m_Waiting = 0;
  std::atomic<bool> m_Stopped{false};
  std::unique_ptr<Listener> m_Listener;
  std::thread m_Heartbeat;
};

/// An entry host: the project's program, started as the deploy file says and
/// watched as the platform does.
class Host {
public:
  struct Options {
    std::string m_Name, m_Zone, m_Ip, m_Folder;
    int m_MemoryMb = 260;
    double m_LinkMbps = 1000;
    /// Further values of the template.
    std::map<std::string, std::string> m_Values;
  };
  Host(Options Config, const Address &Store, Record &Out);
  ~Host();
  const Options &options() const { return m_Config; }
  Address callers() const { return {m_Config.m_Ip, m_CallerPort}; }
  bool start();
  /// Ends the process and does not start it again.
  void stop();
  bool isReady() const { return m_IsReady; }
  bool isRunning() const { return m_Pid > 0; }
  /// Most resident memory that was seen, in MB.
  double peakMb() const { return m_PeakMb; }
  int memoryKills() const { return m_MemoryKills; }
  int ownExits() const { return m_OwnExits; }

private:
  void watch();
  std::string settings() const;

  const Options m_Config;
  const Address m_Store;
  Record &m_Record;
  int m_CallerPort, m_ReadyPort, m_PeerPort;
  std::atomic<int> m_Pid{0};
  std::atomic<bool> m_Stopping{false}, m_IsReady{false};
  std::atomic<double> m_PeakMb{0};
  std::atomic<int> m_MemoryKills{0}, m_OwnExits{0};
  std::thread m_Watch;
};

/// A random id of 16 hexadecimal digits.
std::string newId();
/// The result of one request: its status, or 0 without a complete answer.
struct Outcome {
  int m_Status = 0;
  bool m_IsSigned = false;
  double m_Seconds = 0;
  std::string m_Body;
};
/// Sends one request on a new connection and reads its answer.
Outcome request(const Address &To, const std::string &Method,
                const std::string &HostField, const std::string &Path,
                const std::string &Id, int DeadlineMs,
                const std::string &MoreFields, const std::string &Body);

} // namespace world

#endif
