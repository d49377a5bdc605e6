#ifndef MONSOON_MONSOONSTAND_RELAYHANDLER_H
#define MONSOON_MONSOONSTAND_RELAYHANDLER_H

#include "concurrency/workerpool.h"
#include "engine/requestpath.h"
#include "http/socketstream.h"
#include "monsoonstand/answerpipe.h"

#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>

namespace monsoon {

/// Converts callers' HTTP requests for the RequestPath, and its answers to HTTP
/// responses, streamed or whole.
class RelayHandler {
public:
  /// Streams is the maximum number of answers streamed concurrently; further
  /// ones are refused as overloaded.
  RelayHandler(std::string HostName, RequestPath &Path, int Streams);

  void handle(const httplib::Request &Request, httplib::Response &Response);

  /// Writes the error response to a request that could not be read.
  void reject(const httplib::Request &Request, httplib::Response &Response,
              const SocketStream &Stream);

private:
  CallerRequest convert(const httplib::Request &Request);
  std::string requestIdFor(const httplib::Request &Request);
  void handleStreamed(CallerRequest Converted, httplib::Response &Response);
  static void write(const Answer &Result, const std::string &RequestId,
                    httplib::Response &Response);
  static void writeStream(const std::shared_ptr<AnswerPipe> &Pipe,
                          const TargetAnswer &Head,
                          httplib::Response &Response);

  const std::string m_HostName;
  RequestPath &m_Path;
  std::atomic<uint64_t> m_Counter{0};
  WorkerPool m_Streams;
};

} // namespace monsoon

#endif
