#ifndef MONSOON_HTTP_SOCKETSTREAM_H
#define MONSOON_HTTP_SOCKETSTREAM_H

#include "core/timepoint.h"

#include <httplib.h>

#include <array>
#include <string>

namespace monsoon {

/// A buffered HTTP stream over a connected socket with one deadline for the
/// whole exchange, in place of the library's timeout per system call. It tells
/// how an exchange failed: by time, by the peer, or because the caller on
/// whose behalf it runs has hung up. Not safe for concurrent use.
class SocketStream : public httplib::Stream {
public:
  explicit SocketStream(int Socket);

  /// Reads and writes fail once the deadline has passed.
  void setDeadline(TimePoint Value) { m_Deadline = Value; }
  /// A socket whose hang-up ends the exchange; -1 for none.
  void watch(int Socket) { m_Watched = Socket; }
  /// A descriptor that ends the exchange when it becomes readable; -1 for
  /// none.
  void cancelOn(int Descriptor) { m_CancelDescriptor = Descriptor; }
  /// Limits the bytes read until the next call; exceeding it fails the read.
  void limitRead(size_t Bytes);

  bool timedOut() const { return m_TimedOut; }
  bool watchedHungUp() const { return m_WatchedHungUp; }
  bool cancelled() const { return m_Cancelled; }
  bool readLimitHit() const { return m_ReadLimitHit; }
  /// Bytes handed to the operating system so far.
  size_t bytesSent() const { return m_BytesSent; }
  /// True when bytes have been received but not consumed.
  bool hasBuffered() const { return m_ReadBegin != m_ReadEnd; }

  /// Sends what has been written so far.
  bool flush();

  /// Waits until there is something to read; false after the time limit or
  /// when the peer has gone.
  bool waitReadable(Milliseconds Limit) const;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *Data, size_t Size) override;
  ssize_t write(const char *Data, size_t Size) override;
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  /// Always zero: the library only compares it with a limit on descriptors
  /// that doesn't hold for this stream.
  socket_t socket() const override { return 0; }

private:
  static constexpr size_t ReadBufferSize = 16'384;
  static constexpr size_t WriteBufferSize = 65'536;

  bool waitFor(short Events);
  ssize_t fill();

  int m_Socket;
  int m_Watched = -1;
  int m_CancelDescriptor = -1;
  TimePoint m_Deadline = TimePoint::max();
  std::array<char, ReadBufferSize> m_ReadBuffer;
  size_t m_ReadBegin = 0;
  size_t m_ReadEnd = 0;
  size_t m_ReadAllowance = SIZE_MAX;
  std::string m_Pending;
  size_t m_BytesSent = 0;
  bool m_TimedOut = false;
  bool m_WatchedHungUp = false;
  bool m_Cancelled = false;
  bool m_ReadLimitHit = false;
};

} // namespace monsoon

#endif
