#ifndef MONSOON_TELEMETRY_LINEOUTPUT_H
#define MONSOON_TELEMETRY_LINEOUTPUT_H

#include <cstdint>
#include <string>

namespace monsoon {

/// Writes lines to a file descriptor without blocking on its reader. A line
/// that cannot be written immediately is dropped; the next line written is
/// preceded by a log_lines_dropped line with the number of dropped lines.
class LineOutput {
public:
  /// Longest line in bytes; longer ones are truncated. A pipe takes a write of
  /// this size as a whole or not at all.
  static constexpr size_t LongestLine = 4000;

  explicit LineOutput(int Descriptor) : m_Descriptor(Descriptor) {}

  /// Writes a line, without its line end, or drops it.
  void write(const std::string &Line);

  /// Lines dropped and not yet reported.
  uint64_t dropped() const { return m_Dropped; }

private:
  /// True if the descriptor takes a write without blocking.
  bool isWritable() const;
  void writeLine(std::string Line) const;

  const int m_Descriptor;
  /// Lines dropped since the last line that was written.
  uint64_t m_Dropped = 0;
};

} // namespace monsoon

#endif
