#ifndef REVIEW_CALLER_H
#define REVIEW_CALLER_H

#include "world.h"

#include <map>
#include <string>

namespace review {

/// An answer as a caller has read it.
struct Answer {
  /// 0 if the connection ended, or the time passed, before a complete answer.
  int m_Status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> m_Fields;
  std::string m_Body;
};

/// One HTTP/1.1 connection to a loopback port, used by one thread at a time.
class Connection {
public:
  explicit Connection(int Port);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  Answer exchange(const std::string &Head, const std::string &Body,
                  Milliseconds Limit);

private:
  int m_Socket;
  std::string m_Buffer;
};

/// The head of a request as the pages show it. With a negative key there is no
/// shard key.
std::string requestHead(const std::string &Host, const std::string &Id,
                        size_t BodyBytes, int DeadlineMs, int Key = -1,
                        const std::string &Path = "/order/item");

} // namespace review

#endif
