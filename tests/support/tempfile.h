#ifndef MONSOON_TESTS_SUPPORT_TEMPFILE_H
#define MONSOON_TESTS_SUPPORT_TEMPFILE_H

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

namespace monsoon {

/// A temporary file with a given text; the destructor removes it.
class TempFile {
public:
  explicit TempFile(const std::string &Text) {
    const int Descriptor = ::mkstemp(m_Path);
    ::close(Descriptor);
    std::ofstream(m_Path) << Text;
  }
  ~TempFile() { ::unlink(m_Path); }
  TempFile(const TempFile &) = delete;
  TempFile &operator=(const TempFile &) = delete;

  std::string path() const { return m_Path; }

private:
  char m_Path[32] = "/tmp/monsoontestXXXXXX";
};

} // namespace monsoon

#endif
