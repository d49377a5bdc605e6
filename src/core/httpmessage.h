#ifndef MONSOON_CORE_HTTPMESSAGE_H
#define MONSOON_CORE_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace monsoon {

/// One HTTP header field.
struct HttpField {
  std::string m_Name;
  std::string m_Value;

  friend bool operator==(const HttpField &A, const HttpField &B) {
    return std::tie(A.m_Name, A.m_Value) == std::tie(B.m_Name, B.m_Value);
  }
};

/// The header fields of an HTTP message in their order. Names are compared
/// case-insensitively.
class HttpFields {
public:
  void add(std::string_view Name, std::string_view Value);
  /// Removes all fields of that name.
  void remove(std::string_view Name);
  /// Removes the fields that apply to one connection only (RFC 9110, 7.6.1),
  /// including those that frame the body.
  void removeHopByHop();

  /// The value of the first field of that name, or null.
  const std::string *find(std::string_view Name) const;
  size_t count(std::string_view Name) const;

  const std::vector<HttpField> &all() const { return m_Fields; }

  friend bool operator==(const HttpFields &A, const HttpFields &B) {
    return A.m_Fields == B.m_Fields;
  }

private:
  std::vector<HttpField> m_Fields;
};

/// An HTTP request with its complete body.
struct HttpRequest {
  std::string m_Method;
  /// Path and query, as on the request line.
  std::string m_Target;
  HttpFields m_Fields;
  std::string m_Body;
  /// True when the request came with a body, even an empty one.
  bool m_HasBody = false;

  /// The path without the query.
  std::string_view path() const;
};

/// What a status code says about a response (RFC 9110, 15).
enum class ResponseKind {
  /// 1xx: another response to the same request follows.
  Interim,
  /// 200 to 599: the response to the request.
  Final,
  /// Outside 100 to 599; or 101, since no request asks for another protocol.
  Invalid
};

ResponseKind responseKind(int Status);

/// The status in the first line of a response's head, valid or not. Empty if
/// the line is no status line of HTTP/1 (RFC 9112, 4).
std::optional<int> statusOfHead(std::string_view Head);

/// True if no line of a message's head has a control byte except tabs, and each
/// line after the first is a field whose name is a token (RFC 9110, 5.1 and
/// 5.5). Folded lines are invalid.
bool hasValidFields(std::string_view Head);

/// More interim responses than this to one request are no HTTP dialog.
constexpr int MaxInterimResponses = 16;

/// An HTTP response with its complete body.
struct HttpResponse {
  int m_Status = 0;
  HttpFields m_Fields;
  std::string m_Body;
};

/// Serializes the request line and the header fields, and adds Content-Length
/// when there is a body.
std::string writeRequestHead(const HttpRequest &Request);

/// How a response ends, apart from its content.
struct ResponseFraming {
  /// The connection is closed after it.
  bool m_Closes = false;
  /// It answers a HEAD request, so it has no body whatever its fields say.
  bool m_IsToHead = false;
};

/// Serializes the status line and the header fields, and adds Content-Length
/// unless the status forbids a body. A response to HEAD names the length of the
/// body that is left out; none if there is no body to measure.
std::string writeResponseHead(const HttpResponse &Response,
                              ResponseFraming Framing);

/// The reason phrase of a status code; "Status" for codes without one here.
std::string_view reasonPhrase(int Status);

} // namespace monsoon

#endif
