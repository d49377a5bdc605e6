#ifndef MONSOON_NET_READBUFFER_H
#define MONSOON_NET_READBUFFER_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace monsoon {

/// The bytes that were read from a connection and not yet consumed, and the
/// storage of the read that is pending.
///
/// Invariant: the storage of a pending read is apart from the bytes that can be
/// consumed. It is neither moved, reused nor freed from beginRead() to
/// endRead(), whatever is consumed meanwhile.
class ReadBuffer {
public:
  /// Returns the storage for a read of up to MaxBytes. At most one read may be
  /// pending.
  boost::asio::mutable_buffer beginRead(size_t MaxBytes);

  /// Ends the pending read and appends the bytes that it has stored; zero after
  /// a failed read.
  void endRead(size_t Size);

  bool isReadPending() const { return m_IsReadPending; }

  /// The bytes that were not consumed yet.
  boost::asio::const_buffer data() const { return m_Unconsumed.cdata(); }
  size_t size() const { return m_Unconsumed.size(); }

  void consume(size_t Size) { m_Unconsumed.consume(Size); }
  void clear() { m_Unconsumed.consume(m_Unconsumed.size()); }

private:
  boost::beast::flat_buffer m_Unconsumed;
  boost::beast::flat_buffer m_Pending;
  bool m_IsReadPending = false;
};

} // namespace monsoon

#endif
