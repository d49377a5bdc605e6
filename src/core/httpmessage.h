#ifndef MONSOON_CORE_HTTPMESSAGE_H
#define MONSOON_CORE_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace monsoon {

/// One field of an HTTP header.
struct HttpField {
  std::string m_Name;
  std::string m_Value;

  friend bool operator==(const HttpField &A, const HttpField &B) {
    return std::tie(A.m_Name, A.m_Value) == std::tie(B.m_Name, B.m_Value);
  }
};

/// The fields of an HTTP header in their order. Names are compared without
/// regard to case.
class HttpFields {
public:
  void add(std::string_view Name, std::string_view Value);
  /// Removes every field of that name.
  void remove(std::string_view Name);
  /// Removes the fields that concern one connection only (RFC 9110, 7.6.1),
  /// those that frame the body included.
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

/// An HTTP request with its whole body.
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

/// An HTTP answer with its whole body.
struct HttpAnswer {
  int m_Status = 0;
  HttpFields m_Fields;
  std::string m_Body;
};

/// Writes the head of a request, with a length when there is a body.
std::string writeRequestHead(const HttpRequest &Request);

/// Writes the head of an answer with its length. Close adds the field that
/// ends the connection.
std::string writeAnswerHead(const HttpAnswer &Answer, bool Close);

/// The reason phrase that belongs to a status.
std::string_view reasonPhrase(int Status);

} // namespace monsoon

#endif
