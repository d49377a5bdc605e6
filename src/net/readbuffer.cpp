#include "net/readbuffer.h"

#include <cassert>
#include <utility>

namespace monsoon {

namespace asio = boost::asio;

asio::mutable_buffer ReadBuffer::beginRead(size_t MaxBytes) {
  assert(!m_IsReadPending);
  m_IsReadPending = true;
  m_Pending.clear();
  // Reuses the storage of consumed bytes, so that a connection on which nothing
  // waits holds only one block.
  if (m_Unconsumed.size() == 0)
    std::swap(m_Unconsumed, m_Pending);
  return m_Pending.prepare(MaxBytes);
}

void ReadBuffer::endRead(size_t Size) {
  assert(m_IsReadPending);
  m_IsReadPending = false;
  m_Pending.commit(Size);
  if (m_Unconsumed.size() == 0) {
    std::swap(m_Unconsumed, m_Pending);
    return;
  }
  m_Unconsumed.commit(
      asio::buffer_copy(m_Unconsumed.prepare(Size), m_Pending.cdata()));
}

} // namespace monsoon
