#include "core/httpmessage.h"

#include <doctest.h>

using namespace monsoon;

TEST_CASE("hop-by-hop fields are removed") {
  HttpFields Fields;
  Fields.add("Host", "a");
  Fields.add("Connection", "close, X-Hop");
  Fields.add("x-hop", "1");
  Fields.add("Keep-Alive", "timeout=5");
  Fields.add("Transfer-Encoding", "chunked");
  Fields.add("Content-Length", "3");
  Fields.add("X-End", "2");
  Fields.removeHopByHop();
  REQUIRE(Fields.all().size() == 2);
  CHECK(Fields.all()[0].m_Name == "Host");
  CHECK(Fields.all()[1].m_Name == "X-End");
}

TEST_CASE("field names are case-insensitive") {
  HttpFields Fields;
  Fields.add("X-Name", "1");
  Fields.add("x-name", "2");
  CHECK(*Fields.find("X-NAME") == "1");
  CHECK(Fields.count("x-Name") == 2);
  Fields.remove("X-NAME");
  CHECK(Fields.all().empty());
}

TEST_CASE(
    "a response head states the body's length and the closing connection") {
  HttpResponse Answer;
  Answer.m_Status = 503;
  Answer.m_Body = "busy";
  CHECK(writeResponseHead(Answer, {true, false}) ==
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n"
        "Connection: close\r\n\r\n");
}

TEST_CASE("the path excludes the query") {
  HttpRequest Request;
  Request.m_Target = "/a/b?c=/d";
  CHECK(Request.path() == "/a/b");
}

TEST_CASE("only the statuses of the protocol make a response") {
  for (const int Status : {100, 102, 199})
    CHECK(responseKind(Status) == ResponseKind::Interim);
  for (const int Status : {200, 304, 599})
    CHECK(responseKind(Status) == ResponseKind::Final);
  for (const int Status : {-1, 0, 1, 99, 101, 600, 999})
    CHECK(responseKind(Status) == ResponseKind::Invalid);
}

TEST_CASE("a status is read from a status line of HTTP/1 only") {
  CHECK(statusOfHead("HTTP/1.1 200 OK\r\nA: 1\r\n\r\n") == 200);
  CHECK(statusOfHead("HTTP/1.0 404\r\n\r\n") == 404);
  CHECK(statusOfHead("HTTP/1.1 000 \r\n\r\n") == 0);
  for (const char *Head :
       {"", "\r\n", "HTTP/1.1\r\n", "HTTP/1.1 20\r\n", "HTTP/1.1 2000 OK\r\n",
        "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/2.0 200 OK\r\n",
        "HTTP/1.x 200 OK\r\n", "HTTP/1.1 -20 OK\r\n"})
    CHECK(!statusOfHead(Head).has_value());
}

TEST_CASE("a head is valid if each field has a token for its name") {
  const std::string Start = "HTTP/1.1 200 OK\r\n";
  CHECK(hasValidFields(Start + "\r\n"));
  CHECK(hasValidFields(Start + "A-1!: \tb \xe9\r\nC:\r\n\r\n"));
  for (const std::string &Lines :
       {std::string("A b: 1"), std::string("A : 1"), std::string("A\t: 1"),
        std::string("A\0: 1", 5), std::string("A\x7f: 1"),
        std::string("A\xe9: 1"), std::string(": 1"), std::string("A"),
        std::string(" A: 1"), std::string("A: 1\r\n b"),
        std::string("A: 1\nB c: 2"), std::string("A: 1\rB"),
        std::string("A: \x01")}) {
    CAPTURE(Lines);
    CHECK(!hasValidFields(Start + Lines + "\r\n\r\n"));
    CHECK(!hasValidFields(Start + "D: 1\r\n" + Lines + "\r\nE: 1\r\n\r\n"));
  }
  CHECK(!hasValidFields("HTTP/1.1 200 O\nK: 1\r\n\r\n"));
}
