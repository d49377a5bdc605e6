#include "core/httpmessage.h"

#include "core/text.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <array>
#include <utility>

namespace monsoon {

namespace {

constexpr std::array<std::string_view, 9> HopByHopNames = {
    "Connection",         "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "TE",         "Trailer",
    "Transfer-Encoding",  "Upgrade",    "Content-Length"};

constexpr int FirstInterimStatus = 100;
constexpr int FirstFinalStatus = 200;
constexpr int LastFinalStatus = 599;
constexpr int SwitchingProtocols = 101;
/// What a status line begins with; the digit of the minor version, a space, the
/// three digits of the status and a space or the end of the line follow.
constexpr std::string_view StatusLineStart = "HTTP/1.";
constexpr size_t StatusDigits = 3;

/// What a token may hold beside letters and digits (RFC 9110, 5.6.2).
constexpr std::string_view TokenMarks = "!#$%&'*+-.^_`|~";

bool isTokenByte(char Byte) {
  return absl::ascii_isalnum(static_cast<unsigned char>(Byte)) ||
         TokenMarks.find(Byte) != std::string_view::npos;
}

bool isForbiddenInLine(char Byte) {
  return Byte != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(Byte));
}

bool isFieldLine(std::string_view Line) {
  const size_t NameEnd = Line.find(':');
  if (NameEnd == 0 || NameEnd == std::string_view::npos)
    return false;
  const std::string_view Name = Line.substr(0, NameEnd);
  return std::all_of(Name.begin(), Name.end(), isTokenByte);
}

void appendFields(std::string &Text, const HttpFields &Fields) {
  for (const HttpField &Each : Fields.all())
    absl::StrAppend(&Text, Each.m_Name, ": ", Each.m_Value, "\r\n");
}

} // namespace

void HttpFields::add(std::string_view Name, std::string_view Value) {
  m_Fields.push_back({std::string(Name), std::string(Value)});
}

void HttpFields::remove(std::string_view Name) {
  m_Fields.erase(std::remove_if(m_Fields.begin(), m_Fields.end(),
                                [Name](const HttpField &Each) {
                                  return equalsIgnoreCase(Each.m_Name, Name);
                                }),
                 m_Fields.end());
}

void HttpFields::removeHopByHop() {
  std::vector<std::string> ConnectionOptions;
  for (const HttpField &Each : m_Fields)
    if (equalsIgnoreCase(Each.m_Name, "Connection"))
      for (absl::string_view Part : absl::StrSplit(Each.m_Value, ','))
        ConnectionOptions.emplace_back(absl::StripAsciiWhitespace(Part));
  for (const std::string &Name : ConnectionOptions)
    remove(Name);
  for (std::string_view Name : HopByHopNames)
    remove(Name);
}

const std::string *HttpFields::find(std::string_view Name) const {
  for (const HttpField &Each : m_Fields)
    if (equalsIgnoreCase(Each.m_Name, Name))
      return &Each.m_Value;
  return nullptr;
}

size_t HttpFields::count(std::string_view Name) const {
  return static_cast<size_t>(std::count_if(
      m_Fields.begin(), m_Fields.end(), [Name](const HttpField &Each) {
        return equalsIgnoreCase(Each.m_Name, Name);
      }));
}

std::string_view HttpRequest::path() const {
  const std::string_view PathAndQuery = m_Target;
  return PathAndQuery.substr(0, PathAndQuery.find('?'));
}

ResponseKind responseKind(int Status) {
  if (Status < FirstInterimStatus || Status > LastFinalStatus ||
      Status == SwitchingProtocols)
    return ResponseKind::Invalid;
  return Status < FirstFinalStatus ? ResponseKind::Interim
                                   : ResponseKind::Final;
}

std::optional<int> statusOfHead(std::string_view Head) {
  const std::string_view Line = Head.substr(0, Head.find("\r\n"));
  const size_t StatusStart = StatusLineStart.size() + 2;
  const size_t StatusEnd = StatusStart + StatusDigits;
  if (Line.substr(0, StatusLineStart.size()) != StatusLineStart ||
      Line.size() < StatusEnd ||
      !absl::ascii_isdigit(
          static_cast<unsigned char>(Line[StatusLineStart.size()])) ||
      Line[StatusStart - 1] != ' ' ||
      (Line.size() > StatusEnd && Line[StatusEnd] != ' '))
    return std::nullopt;
  int Status = 0;
  for (const char Digit : Line.substr(StatusStart, StatusDigits)) {
    if (!absl::ascii_isdigit(static_cast<unsigned char>(Digit)))
      return std::nullopt;
    Status = Status * 10 + (Digit - '0');
  }
  return Status;
}

bool hasValidFields(std::string_view Head) {
  bool IsFirst = true;
  for (absl::string_view Part :
       absl::StrSplit(absl::StripSuffix(toAbsl(Head), "\r\n\r\n"), "\r\n")) {
    const std::string_view Line = toStd(Part);
    if (std::any_of(Line.begin(), Line.end(), isForbiddenInLine))
      return false;
    if (!std::exchange(IsFirst, false) && !isFieldLine(Line))
      return false;
  }
  return true;
}

std::string writeRequestHead(const HttpRequest &Request) {
  std::string Text =
      absl::StrCat(Request.m_Method, " ", Request.m_Target, " HTTP/1.1\r\n");
  appendFields(Text, Request.m_Fields);
  if (Request.m_HasBody)
    absl::StrAppend(&Text, "Content-Length: ", Request.m_Body.size(), "\r\n");
  absl::StrAppend(&Text, "\r\n");
  return Text;
}

std::string writeResponseHead(const HttpResponse &Response,
                              ResponseFraming Framing) {
  std::string Text =
      absl::StrCat("HTTP/1.1 ", Response.m_Status, " ",
                   toAbsl(reasonPhrase(Response.m_Status)), "\r\n");
  appendFields(Text, Response.m_Fields);
  // 204 and 304 responses have no body, and a length would contradict that. To
  // HEAD a target leaves out the body whose length is named here.
  const bool HasLength = Response.m_Status != 204 && Response.m_Status != 304 &&
                         !(Framing.m_IsToHead && Response.m_Body.empty());
  if (HasLength)
    absl::StrAppend(&Text, "Content-Length: ", Response.m_Body.size(), "\r\n");
  if (Framing.m_Closes)
    absl::StrAppend(&Text, "Connection: close\r\n");
  absl::StrAppend(&Text, "\r\n");
  return Text;
}

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 204:
    return "No Content";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 421:
    return "Misdirected Request";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

} // namespace monsoon
