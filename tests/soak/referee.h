#ifndef MONSOON_TESTS_SOAK_REFEREE_H
#define MONSOON_TESTS_SOAK_REFEREE_H

#include "core/httpmessage.h"
#include "core/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoon {

/// Compares what callers were told with what servers did.
class Referee {
public:
  /// A caller sends a request.
  void noteSent(const std::string &Id, bool Idempotent);
  /// A server was handed a request, whatever becomes of it.
  void noteArrival(const std::string &Id);
  /// A server begins to work on a request.
  void noteRun(const std::string &Id);
  void noteAnswer(const std::string &Id, const HttpResponse &Answer);
  /// The connection ended without an answer. Planned is true when the host was
  /// stopping in order and nothing else was wrong.
  void noteCut(const std::string &Id, bool Planned);
  void violation(const std::string &What);

  /// Checks that need the whole run.
  void finish();

  const std::vector<std::string> &violations() const { return m_Violations; }
  uint64_t sent() const { return m_Requests.size(); }
  uint64_t succeeded() const { return m_Succeeded; }
  uint64_t refused() const { return m_Refused; }

  /// The body that a server gives for a request.
  static std::string bodyFor(const std::string &Id);

private:
  struct Request {
    bool m_Idempotent = true;
    int m_Arrivals = 0;
    int m_Runs = 0;
    int m_Status = 0;
  };

  std::map<std::string, Request> m_Requests;
  std::vector<std::string> m_Violations;
  uint64_t m_Succeeded = 0;
  uint64_t m_Refused = 0;
};

} // namespace monsoon

#endif
