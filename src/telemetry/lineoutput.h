#ifndef MONSOON_TELEMETRY_LINEOUTPUT_H
#define MONSOON_TELEMETRY_LINEOUTPUT_H

#include <cstdint>
#include <string>

namespace monsoon {

/// Writes lines to a file descriptor and never waits for its reader: a line
/// that can't be written at once is dropped, and the next one that can is
/// preceded by a line that tells how many were.
class LineOutput {
public:
  /// A pipe takes this many bytes at once or none; longer lines are cut.
  static constexpr size_t LongestLine = 4000;

  explicit LineOutput(int Descriptor) : m_Descriptor(Descriptor) {}

  void write(const std::string &Line);

  uint64_t dropped() const { return m_Dropped; }

private:
  bool isWritable() const;
  void put(std::string Line) const;

  const int m_Descriptor;
  /// Lines dropped since the last one that was written.
  uint64_t m_Dropped = 0;
};

} // namespace monsoon

#endif
