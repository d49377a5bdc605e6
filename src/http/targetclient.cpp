#include "http/targetclient.h"

#include "core/text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr Milliseconds ConnectTimeout{250};
/// Idle time after which a kept-open connection is not used again, below the
/// five seconds after which common servers close theirs.
constexpr Milliseconds MaxIdle{3000};
constexpr size_t MaxAnswerBytes = 8 << 20;
constexpr Milliseconds CancelTimeout{200};
constexpr int CancelWorkers = 2;
constexpr size_t CancelQueue = 256;

/// Header fields that belong to one connection and are not passed on.
bool isHopByHop(std::string_view Name) {
  static constexpr std::string_view Names[] = {"connection",
                                               "keep-alive",
                                               "proxy-authenticate",
                                               "proxy-connection",
                                               "te",
                                               "trailer",
                                               "transfer-encoding",
                                               "upgrade",
                                               "content-length",
                                               "host",
                                               "expect"};
  return std::any_of(
      std::begin(Names), std::end(Names),
      [Name](std::string_view Each) { return equalsIgnoreCase(Each, Name); });
}

/// Header fields by which we talk to targets; callers can't set them.
bool isOurs(std::string_view Name) {
  static constexpr std::string_view Names[] = {
      "x-correlation-id", "x-deadline-ms", "x-range",
      "x-fence",          "x-not-run",     "x-clock",
      "x-not-after",      "x-instance",    "x-request-id"};
  return std::any_of(
      std::begin(Names), std::end(Names),
      [Name](std::string_view Each) { return equalsIgnoreCase(Each, Name); });
}

httplib::Request buildRequest(const Attempt &Order) {
  const CallerRequest &Original = *Order.m_Request;
  httplib::Request Request;
  Request.method = Original.m_Method;
  Request.path = Original.m_Uri;
  Request.body = Original.m_Body;
  for (const HeaderField &Each : Original.m_Headers)
    if (!isHopByHop(Each.m_Name) && !isOurs(Each.m_Name))
      Request.headers.emplace(Each.m_Name, Each.m_Value);
  Request.set_header("X-Request-Id", Original.m_RequestId);
  Request.set_header("X-Correlation-Id", Order.m_CorrelationId);
  const auto Left = std::chrono::duration_cast<Milliseconds>(
      Order.m_Deadline - std::chrono::steady_clock::now());
  Request.set_header("X-Deadline-Ms", absl::StrCat(Left.count()));
  if (Order.m_FencingToken) {
    Request.set_header("X-Range", absl::StrCat(Order.m_FencingToken->m_Range));
    Request.set_header("X-Fence", absl::StrCat(Order.m_FencingToken->m_Fence));
  }
  return Request;
}

TargetAnswer convertHead(const httplib::Response &Response) {
  TargetAnswer Answer;
  Answer.m_Status = Response.status;
  Answer.m_Instance = Response.get_header_value("X-Instance");
  for (const auto &[Name, Value] : Response.headers)
    if (!isHopByHop(Name) && !isOurs(Name))
      Answer.m_Headers.push_back({Name, Value});
  return Answer;
}

/// An answer whose end is only marked by the end of the connection can't be
/// told from one that was cut short.
bool hasFraming(const httplib::Response &Response) {
  return Response.has_header("Content-Length") ||
         Response.has_header("Transfer-Encoding") || Response.status == 204 ||
         Response.status == 304;
}

bool belongsTo(const httplib::Response &Response, const Attempt &Order) {
  return !Response.has_header("X-Correlation-Id") ||
         Response.get_header_value("X-Correlation-Id") == Order.m_CorrelationId;
}

/// Follows one exchange and remembers why its body was refused, if it was.
class BodyCollector {
public:
  BodyCollector(const Attempt &Order, AnswerSink *Sink)
      : m_Order(Order), m_Sink(Sink) {}

  bool onHead(const httplib::Response &Response) {
    if (!belongsTo(Response, m_Order)) {
      m_Mismatch = true;
      return false;
    }
    if (!hasFraming(Response)) {
      m_CutShort = true;
      return false;
    }
    m_HeadSeen = true;
    m_Refused = Response.has_header("X-Not-Run");
    if (!m_Sink || m_Refused)
      return true;
    TargetAnswer Head = convertHead(Response);
    if (Response.has_header("Content-Length"))
      Head.m_Headers.push_back(
          {"Content-Length", Response.get_header_value("Content-Length")});
    m_Streaming = true;
    return m_Sink->head(Head);
  }

  bool onBody(const char *Data, size_t Size) {
    if (m_Streaming)
      return m_Sink->body({Data, Size});
    if (m_Body.size() + Size > MaxAnswerBytes) {
      m_CutShort = true;
      return false;
    }
    m_Body.append(Data, Size);
    return true;
  }

  ErrorKind errorFor(const ExchangeEnd &End) const {
    if (m_Mismatch)
      return ErrorKind::AnswerMismatch;
    if (End.m_WatchedHungUp)
      return ErrorKind::CallerGone;
    if (m_CutShort || m_HeadSeen)
      return ErrorKind::AnswerCutShort;
    return End.m_TimedOut ? ErrorKind::DeadlineExceeded : ErrorKind::AnswerLost;
  }

  std::string takeBody() { return std::move(m_Body); }

private:
  const Attempt &m_Order;
  AnswerSink *m_Sink;
  std::string m_Body;
  bool m_HeadSeen = false;
  bool m_Streaming = false;
  bool m_Refused = false;
  bool m_Mismatch = false;
  bool m_CutShort = false;
};

AttemptResult refusedBy(const httplib::Response &Response) {
  AttemptResult Result = AttemptResult::failed(ErrorKind::TargetRefused);
  Result.m_Instance = Response.get_header_value("X-Instance");
  Result.m_Refusal = Response.get_header_value("X-Not-Run");
  return Result;
}

AttemptResult failedBy(const ExchangeEnd &End, const BodyCollector &Collector) {
  if (End.m_Withheld)
    return AttemptResult::failed(ErrorKind::ViewStale);
  if (!End.m_Connected || !End.m_MaybeSent)
    return AttemptResult::failed(ErrorKind::ConnectFailed);
  return AttemptResult::failed(Collector.errorFor(End));
}

} // namespace

TargetClient::TargetClient() : m_Cancellations(CancelWorkers, CancelQueue) {}

TargetClient::Peer &TargetClient::peerFor(const Target &Destination) {
  const std::string Address =
      absl::StrCat(Destination.m_Host, ":", Destination.m_Port);
  const absl::MutexLock Lock(&m_Mutex);
  auto &Known = m_Peers[Address];
  if (!Known)
    Known = std::make_unique<Peer>(
        Endpoint{Destination.m_Host, Destination.m_Port}, ConnectTimeout);
  return *Known;
}

void TargetClient::noteClock(Peer &To, const httplib::Response &Response) {
  int64_t Reading = 0;
  if (!absl::SimpleAtoi(Response.get_header_value("X-Clock"), &Reading))
    return;
  const absl::MutexLock Lock(&To.m_Mutex);
  To.m_Clock = ClockReading{Reading, std::chrono::steady_clock::now()};
}

std::optional<int64_t> TargetClient::targetClock(Peer &To, TimePoint Moment) {
  const absl::MutexLock Lock(&To.m_Mutex);
  if (!To.m_Clock)
    return std::nullopt;
  // The reading was taken before it was received, so this errs on the early
  // side.
  return To.m_Clock->m_TargetMs +
         std::chrono::floor<Milliseconds>(Moment - To.m_Clock->m_ReceivedAt)
             .count();
}

void TargetClient::askClock(Peer &To, const Attempt &Order) {
  auto Connection = To.m_Pool.acquire(MaxIdle, Order.m_ConnectionShare);
  if (!Connection)
    return;
  httplib::Request Request;
  Request.method = "GET";
  Request.path = "/health";
  ExchangeLimits Limits;
  Limits.m_Deadline = Order.m_Deadline;
  httplib::Response Response;
  if (Connection->exchange(std::move(Request), Response, Limits).m_Ok)
    noteClock(To, Response);
  To.m_Pool.release(std::move(Connection));
}

AttemptResult TargetClient::send(const Attempt &Order,
                                 const std::function<bool()> &MaySend,
                                 AnswerSink *Sink) {
  if (std::chrono::steady_clock::now() >= Order.m_Deadline)
    return AttemptResult::failed(ErrorKind::DeadlineSpent);
  Peer &To = peerFor(Order.m_Target);
  if (Order.m_TargetEnforcesDeadline && !targetClock(To, Order.m_Deadline))
    askClock(To, Order);
  auto Connection = To.m_Pool.acquire(MaxIdle, Order.m_ConnectionShare);
  if (!Connection)
    return AttemptResult::failed(ErrorKind::TargetsBusy);

  BodyCollector Collector(Order, Sink);
  httplib::Request Request = buildRequest(Order);
  if (const auto NotAfter = targetClock(To, Order.m_Deadline))
    Request.set_header("X-Not-After", absl::StrCat(*NotAfter));
  Request.response_handler = [&Collector](const httplib::Response &Head) {
    return Collector.onHead(Head);
  };
  Request.content_receiver =
      [&Collector](const char *Data, size_t Size, uint64_t /*Offset*/,
                   uint64_t /*Total*/) { return Collector.onBody(Data, Size); };
  ExchangeLimits Limits;
  Limits.m_Deadline = Order.m_Deadline;
  Limits.m_WatchedSocket = Order.m_Request->m_CallerSocket;
  Limits.m_MaySend = MaySend;
  httplib::Response Response;
  const ExchangeEnd End =
      Connection->exchange(std::move(Request), Response, Limits);
  To.m_Pool.release(std::move(Connection));

  if (!End.m_Ok) {
    // Whoever answers next may be another process with another clock.
    const absl::MutexLock Lock(&To.m_Mutex);
    To.m_Clock.reset();
    return failedBy(End, Collector);
  }
  noteClock(To, Response);
  if (Response.has_header("X-Not-Run"))
    return refusedBy(Response);
  TargetAnswer Answer = convertHead(Response);
  Answer.m_Body = Collector.takeBody();
  return AttemptResult::answered(std::move(Answer));
}

void TargetClient::cancel(const Target &Destination,
                          const std::string &CorrelationId) {
  m_Cancellations.tryRun([this, Destination, CorrelationId] {
    ConnectionPool &Pool = peerFor(Destination).m_Pool;
    auto Connection = Pool.acquire(MaxIdle, Destination.m_Connections);
    if (!Connection)
      return;
    httplib::Request Request;
    Request.method = "POST";
    Request.path = "/cancel?id=" + CorrelationId;
    ExchangeLimits Limits;
    Limits.m_Deadline = std::chrono::steady_clock::now() + CancelTimeout;
    httplib::Response Response;
    Connection->exchange(std::move(Request), Response, Limits);
    Pool.release(std::move(Connection));
  });
}

} // namespace monsoon
