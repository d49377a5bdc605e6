#include "monsoonstand/relayhandler.h"

#include "codec/jsontext.h"
#include "codec/reportcodec.h"
#include "core/text.h"
#include "http/serverconnection.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr size_t MaxRequestIdLength = 64; // characters
/// Time that a caller may take to accept one chunk of a streamed answer.
constexpr Milliseconds ChunkTimeout{10'000};

bool isValidRequestId(const std::string &Id) {
  return !Id.empty() && Id.size() <= MaxRequestIdLength &&
         std::all_of(Id.begin(), Id.end(), [](char Each) {
           return absl::ascii_isalnum(static_cast<unsigned char>(Each)) ||
                  Each == '-' || Each == '_' || Each == '.';
         });
}

ErrorKind rejectionKind(int Status, const SocketStream &Stream) {
  if (Stream.readLimitHit() || Status == 414 || Status == 431)
    return ErrorKind::HeaderTooLarge;
  if (Stream.timedOut())
    return ErrorKind::RequestTimeout;
  if (Status == 413)
    return ErrorKind::BodyTooLarge;
  return Status == 404 ? ErrorKind::RouteUnknown : ErrorKind::BadRequest;
}

std::string contentType(const HeaderFields &Fields) {
  const std::string *Value = findHeader(Fields, "Content-Type");
  return Value ? *Value : "application/octet-stream";
}

void copyHeaders(const HeaderFields &Fields, httplib::Response &Response) {
  for (const HeaderField &Each : Fields)
    if (!equalsIgnoreCase(Each.m_Name, "Content-Type") &&
        !equalsIgnoreCase(Each.m_Name, "Content-Length"))
      Response.headers.emplace(Each.m_Name, Each.m_Value);
}

void writeError(ErrorKind Kind, const std::string &Detail,
                const std::string &RequestId, httplib::Response &Response) {
  const ErrorRule &Rule = errorRule(Kind);
  Response.status = Rule.m_Status;
  Response.set_header("X-Error-Kind", std::string(Rule.m_Name));
  Response.set_header("X-Ran", std::string(runStateName(Rule.m_Ran)));
  if (Rule.m_RetryAfter.count() > 0)
    Response.set_header("Retry-After",
                        std::to_string(Rule.m_RetryAfter.count()));
  Response.set_content(writeJson(encodeError(Kind, Detail, RequestId)) + "\n",
                       "application/json");
}

} // namespace

RelayHandler::RelayHandler(std::string HostName, RequestPath &Path, int Streams)
    : m_HostName(std::move(HostName)), m_Path(Path),
      m_Streams(Streams, static_cast<size_t>(Streams)) {}

std::string RelayHandler::requestIdFor(const httplib::Request &Request) {
  std::string Given = Request.get_header_value("X-Request-Id");
  if (isValidRequestId(Given))
    return Given;
  return absl::StrCat(m_HostName, ".", ++m_Counter);
}

CallerRequest RelayHandler::convert(const httplib::Request &Request) {
  CallerRequest Result;
  Result.m_Method = Request.method;
  Result.m_Uri = Request.target;
  Result.m_Path = Request.target.substr(0, Request.target.find('?'));
  for (const auto &[Name, Value] : Request.headers)
    Result.m_Headers.push_back({Name, Value});
  Result.m_Body = Request.body;
  Result.m_RequestId = requestIdFor(Request);
  Result.m_ReceivedAt = std::chrono::steady_clock::now();
  Result.m_CallerSocket = ServerConnection::current()->socket();
  return Result;
}

void RelayHandler::handle(const httplib::Request &Request,
                          httplib::Response &Response) {
  CallerRequest Converted = convert(Request);
  if (m_Path.isStreamed(Converted.m_Method, Converted.m_Path)) {
    handleStreamed(std::move(Converted), Response);
    return;
  }
  const Answer Result = m_Path.handle(Converted, nullptr);
  write(Result, Converted.m_RequestId, Response);
}

void RelayHandler::handleStreamed(CallerRequest Converted,
                                  httplib::Response &Response) {
  // The thread that reads from the target may outlive the caller's connection,
  // so it must not watch its socket. It shares ownership of the pipe and of the
  // request.
  Converted.m_CallerSocket = -1;
  const auto Shared =
      std::make_shared<const CallerRequest>(std::move(Converted));
  auto Pipe = std::make_shared<AnswerPipe>();
  const bool Started = m_Streams.tryRun([this, Shared, Pipe] {
    Pipe->finish(m_Path.handle(*Shared, Pipe.get()));
  });
  if (!Started) {
    writeError(ErrorKind::Overloaded,
               "the limit of concurrently streamed answers is reached",
               Shared->m_RequestId, Response);
    return;
  }
  Pipe->waitForHead();
  if (const auto Head = Pipe->takeHead()) {
    Response.set_header("X-Request-Id", Shared->m_RequestId);
    writeStream(Pipe, *Head, Response);
    return;
  }
  write(Pipe->takeAnswer(), Shared->m_RequestId, Response);
}

void RelayHandler::writeStream(const std::shared_ptr<AnswerPipe> &Pipe,
                               const TargetAnswer &Head,
                               httplib::Response &Response) {
  Response.status = Head.m_Status;
  copyHeaders(Head.m_Headers, Response);
  const auto WriteNext = [Pipe](httplib::DataSink &Sink) {
    ServerConnection::current()->stream().setDeadline(
        std::chrono::steady_clock::now() + ChunkTimeout);
    const auto Chunk = Pipe->read();
    if (Chunk)
      return Sink.write(Chunk->data(), Chunk->size());
    if (!Pipe->isComplete())
      return false;
    Sink.done();
    return true;
  };
  const auto OnEnd = [Pipe](bool /*Success*/) { Pipe->abandon(); };
  const std::string *Length = findHeader(Head.m_Headers, "Content-Length");
  size_t Size = 0;
  const std::string Type = contentType(Head.m_Headers);
  if (Length && absl::SimpleAtoi(*Length, &Size) && Size > 0) {
    Response.set_content_provider(
        Size, Type,
        [WriteNext](size_t /*Offset*/, size_t /*Length*/,
                    httplib::DataSink &Sink) { return WriteNext(Sink); },
        OnEnd);
    return;
  }
  Response.set_chunked_content_provider(
      Type,
      [WriteNext](size_t /*Offset*/, httplib::DataSink &Sink) {
        return WriteNext(Sink);
      },
      OnEnd);
}

void RelayHandler::write(const Answer &Result, const std::string &RequestId,
                         httplib::Response &Response) {
  Response.set_header("X-Request-Id", RequestId);
  if (Result.m_Error) {
    writeError(*Result.m_Error, Result.m_Detail, RequestId, Response);
    return;
  }
  Response.status = Result.m_Status;
  copyHeaders(Result.m_Headers, Response);
  Response.set_content(Result.m_Body, contentType(Result.m_Headers));
}

void RelayHandler::reject(const httplib::Request & /*Request*/,
                          httplib::Response &Response,
                          const SocketStream &Stream) {
  const ErrorKind Kind = rejectionKind(Response.status, Stream);
  writeError(Kind, std::string(errorRule(Kind).m_Meaning), "", Response);
}

} // namespace monsoon
