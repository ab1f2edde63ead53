#include "primroseweir/http/header_fields.h"

#include <catch2/catch.hpp>
#include <string>

#include "primroseweir/http/message_parser.h"
#include "primroseweir/http/message_writer.h"

namespace primroseweir {
namespace {

// Guards against heads that need many times their size: as pairs of strings, these fields took more
// than 256 KB.
TEST_CASE("a head of 4,000 short fields takes tens of kilobytes", "[http]") {
  std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 4000; ++i) {
    head += "a:\r\n";
  }
  head += "\r\n";
  MessageLimits limits;
  limits.max_fields = 5000;
  MessageParser parser(MessageParser::Kind::kRequest, limits);
  std::string body;
  REQUIRE(parser.Feed(head.data(), head.size(), &body).ok());
  REQUIRE(parser.is_head_complete());
  CHECK(parser.request()->fields.all().size() == 4001);
  CHECK(parser.request()->fields.allocated_bytes() < std::size_t{64} * 1024);
}

// Guards the look-ups, the order of the fields and their removal.
TEST_CASE("fields keep their order and are replaced and removed by name", "[http]") {
  HeaderFields fields;
  fields.Add("A", "1");
  fields.Add("b", "2");
  fields.Add("a", "3");
  CHECK(fields.Get("a") == "1");
  CHECK(fields.Count("A") == 2);
  CHECK_FALSE(fields.Find("c").has_value());
  fields.Set("B", "4");
  fields.Remove("c");
  const HeaderFields::FieldCopies expected = {{"A", "1"}, {"a", "3"}, {"B", "4"}};
  CHECK(fields.Copies() == expected);
  HeaderFields copy;
  copy.Assign(fields.Copies());
  copy.Remove("a");
  CHECK(copy.all().size() == 1);
  CHECK(fields.all().size() == 3);
}

// Guards against fields that a caller names in Connection and that reach the upstream, and against
// a pass over all fields for each of the names.
TEST_CASE("fields named in Connection are removed, also beside thousands of others", "[http]") {
  HeaderFields fields;
  std::string names = "X-Hop, host";
  for (int i = 0; i < 2000; ++i) {
    names += ",n" + std::to_string(i);
    fields.Add("m" + std::to_string(i), "");
  }
  fields.Add("Connection", names);
  fields.Add("x-hop", "1");
  fields.Add("N7", "1");
  fields.Add("Host", "h");
  RemoveHopByHopFields(&fields);
  CHECK(fields.all().size() == 2001);
  CHECK(fields.Get("Host") == "h");
}

}  // namespace
}  // namespace primroseweir
