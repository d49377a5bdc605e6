#include "telemetry/lineoutput.h"

#include "absl/strings/str_cat.h"

#include <poll.h>
#include <unistd.h>

namespace monsoon {

bool LineOutput::isWritable() const {
  pollfd Poll{m_Descriptor, POLLOUT, 0};
  return poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
}

void LineOutput::writeLine(std::string Line) const {
  if (Line.size() > LongestLine)
    Line.resize(LongestLine);
  Line += '\n';
  // A failed write is ignored, as there is no other place to report it.
  [[maybe_unused]] const ssize_t Written =
      ::write(m_Descriptor, Line.data(), Line.size());
}

void LineOutput::write(const std::string &Line) {
  if (!isWritable()) {
    ++m_Dropped;
    return;
  }
  if (m_Dropped > 0) {
    writeLine(absl::StrCat(R"({"event":"log_lines_dropped","level":"warning",)",
                           R"("count":)", m_Dropped, "}"));
    m_Dropped = 0;
    if (!isWritable()) {
      ++m_Dropped;
      return;
    }
  }
  writeLine(Line);
}

} // namespace monsoon
