#include "telemetry/lineoutput.h"

#include "absl/strings/str_cat.h"

#include <poll.h>
#include <unistd.h>

namespace monsoon {

bool LineOutput::isWritable() const {
  pollfd Entry{m_Descriptor, POLLOUT, 0};
  return poll(&Entry, 1, 0) == 1 && (Entry.revents & POLLOUT) != 0;
}

void LineOutput::put(std::string Line) const {
  if (Line.size() > LongestLine)
    Line.resize(LongestLine);
  Line += '\n';
  // With nowhere else to tell of it, a failed write is let go.
  [[maybe_unused]] const ssize_t Written =
      ::write(m_Descriptor, Line.data(), Line.size());
}

void LineOutput::write(const std::string &Line) {
  if (!isWritable()) {
    ++m_Dropped;
    return;
  }
  if (m_Dropped > 0) {
    put(absl::StrCat(R"({"event":"log_lines_dropped","level":"warning",)",
                     R"("count":)", m_Dropped, "}"));
    m_Dropped = 0;
    if (!isWritable()) {
      ++m_Dropped;
      return;
    }
  }
  put(Line);
}

} // namespace monsoon
