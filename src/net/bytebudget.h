#ifndef MONSOON_NET_BYTEBUDGET_H
#define MONSOON_NET_BYTEBUDGET_H

#include <cstddef>

namespace monsoon {

/// Bytes that all connections together may hold in unfinished long responses.
/// Without a common limit, a few peers that send bodies without end exhaust the
/// memory of the process before the requests reach their deadlines.
class ByteBudget {
public:
  explicit ByteBudget(size_t Limit) : m_Limit(Limit) {}

  ByteBudget(const ByteBudget &) = delete;
  ByteBudget &operator=(const ByteBudget &) = delete;

  /// Takes that many bytes; false, taking none, if so many are not left.
  bool take(size_t Bytes) {
    if (Bytes > m_Limit - m_Used)
      return false;
    m_Used += Bytes;
    return true;
  }
  void giveBack(size_t Bytes) { m_Used -= Bytes; }

  size_t used() const { return m_Used; }

private:
  const size_t m_Limit;
  size_t m_Used = 0;
};

} // namespace monsoon

#endif
