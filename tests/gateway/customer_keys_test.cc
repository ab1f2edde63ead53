#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "key_fixture.h"

namespace primroseweir::testing {
namespace {

// Guards against an upstream that sees a key, or a customer's name that the caller made up.
TEST_CASE("an upstream gets the name of the key's customer instead of the key", "[gateway]") {
  KeyFixture fixture;
  CHECK(fixture.StatusWith("Authorization: Token key-a\r\nx-customer: b\r\nX-CUSTOMER: c\r\n") ==
        200);
  REQUIRE(fixture.upstream->requests().size() == 1);
  const auto& fields = fixture.upstream->requests()[0].head.fields;
  CHECK(fields.Count("Authorization") == 0);
  CHECK(fields.Count("X-Customer") == 1);
  CHECK(fields.Get("X-Customer") == "a");
}

// Guards against calls that reach an upstream without a valid key.
TEST_CASE("a call without a known key is refused with 401", "[gateway][not-run]") {
  KeyFixture fixture;
  CHECK(fixture.StatusWith("") == 401);
  CHECK(fixture.StatusWith("Authorization: Token key-c\r\n") == 401);
  CHECK(fixture.StatusWith("Authorization: Basic key-a\r\n") == 401);
  CHECK(fixture.StatusWith("Authorization: Token key-a\r\nAuthorization: Token key-b\r\n") == 401);
  CHECK(fixture.upstream->requests().empty());
}

// Guards against a body that is read, and held in memory, for a caller without a key.
TEST_CASE("a call without a known key is refused before its body arrives", "[gateway][not-run]") {
  KeyFixture fixture;
  auto caller = std::make_unique<LoopCaller>(&fixture.loop(), fixture.gateway().address());
  caller->Send("POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nContent-Length: 100000\r\n\r\nhi");
  RunUntil(&fixture.loop(), [&] { return caller->status() != 0 || caller->ended(); });
  CHECK(caller->status() == 401);
  CHECK(fixture.upstream->heads() == 0);
}

// Guards against a public route that needs a key, and against one that passes a made-up name on.
TEST_CASE("a public route needs no key", "[gateway]") {
  KeyFixture fixture;
  fixture.is_public = true;
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.StatusWith("X-Customer: a\r\n") == 200);
  CHECK(fixture.StatusWith("Authorization: Token key-c\r\n") == 200);
  for (const auto& request : fixture.upstream->requests()) {
    CHECK(request.head.fields.Count("X-Customer") == 0);
    CHECK(request.head.fields.Count("Authorization") == 0);
  }
}

// Guards against a key that is used after it was withdrawn.
TEST_CASE("a withdrawn key is refused on the connection on which it was used",
          "[gateway][config-in-force]") {
  KeyFixture fixture;
  const std::string request =
      "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nAuthorization: Token key-a\r\nContent-Length: "
      "2\r\n\r\nhi";
  auto caller = std::make_unique<LoopCaller>(&fixture.loop(), fixture.gateway().address());
  caller->Send(request);
  RunUntil(&fixture.loop(), [&] {
    return Contains(caller->received(), "200 OK") || caller->ended() || caller->status() != 0;
  });
  CHECK(caller->status() == 200);
  fixture.customers = MakeTable({{"b", "key-b"}});
  fixture.Apply(CallKind::kNonIdempotent);
  caller->Send(request);
  RunUntil(&fixture.loop(), [&] { return Contains(caller->received(), "HTTP/1.1 401"); });
  CHECK(Contains(caller->received(), "HTTP/1.1 401"));
  CHECK(fixture.upstream->requests().size() == 1);
}

// Guards against fields that change in configurations without customers.
TEST_CASE("without customers the fields of a call are not changed", "[gateway]") {
  KeyFixture fixture;
  fixture.customers = nullptr;
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.StatusWith("Authorization: Basic x\r\nX-Customer: a\r\n") == 200);
  REQUIRE(fixture.upstream->requests().size() == 1);
  CHECK(fixture.upstream->requests()[0].head.fields.Get("Authorization") == "Basic x");
  CHECK(fixture.upstream->requests()[0].head.fields.Get("X-Customer") == "a");
}

// Guards against a customer's name of the caller's making in another spelling, which some upstreams
// read as the same field, or in a trailer, and against fields that the caller lists as hop-by-hop.
TEST_CASE("no spelling of the customer's field reaches an upstream", "[gateway]") {
  KeyFixture fixture;
  CHECK(fixture.StatusWith("Authorization: Token key-a\r\nX_Customer: b\r\nx_CUSTOMER: b\r\n"
                           "Connection: X-Customer, Authorization\r\n") == 200);
  const auto trailer = std::make_unique<LoopCaller>(&fixture.loop(), fixture.gateway().address());
  trailer->Send(
      "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nAuthorization: Token key-a\r\nTrailer: "
      "X-Customer\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Customer: "
      "b\r\nAuthorization: Token key-a\r\n\r\n");
  CHECK(fixture.StatusOf(*trailer) == 200);
  CHECK(fixture.StatusWith("Authorization: Token key-a\r\nX-Customer : b\r\n") == 400);
  REQUIRE(fixture.upstream->requests().size() == 2);
  for (const auto& request : fixture.upstream->requests()) {
    CHECK(request.head.fields.Count("X-Customer") == 1);
    CHECK(request.head.fields.Get("X-Customer") == "a");
    CHECK(request.head.fields.Count("X_Customer") == 0);
    CHECK(request.head.fields.Count("Authorization") == 0);
    CHECK(request.body == "hi");
  }
}

// Guards against keys that are found by a part of the field, and against valid spellings that are
// refused.
TEST_CASE("the Authorization field holds the scheme, blanks and one key", "[gateway][not-run]") {
  KeyFixture fixture;
  for (const char* value : {"token key-a", "Token   key-a", "Token key-a \t"}) {
    CHECK(fixture.StatusWith("Authorization: " + std::string(value) + "\r\n") == 200);
  }
  for (const char* value :
       {"", "Token", "Token ", "Tokenkey-a", "Token\tkey-a", "Token key-a key-b", "Token key",
        "Token \"key-a\"", "Token KEY-A", "key-a"}) {
    CHECK(fixture.StatusWith("Authorization: " + std::string(value) + "\r\n") == 401);
  }
  CHECK(fixture.StatusWith("Authorization: Token " + std::string(9000, 'k') + "\r\n") == 401);
  CHECK(fixture.upstream->requests().size() == 3);
}

// Guards against a key that is asked for, or not asked for, by the rule of another prefix, and
// against a path that an upstream would read as one that needs a key.
TEST_CASE("the longest prefix decides whether a call needs a key", "[gateway][not-run]") {
  KeyFixture fixture;
  fixture.nested_prefixes = {{"/x/public/", true}, {"/x/public/private/", false}};
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.StatusWith("", "/x/public/1") == 200);
  CHECK(fixture.StatusWith("", "/x/public/1%20a?b=/..//") == 200);
  for (const char* target :
       {"/x/1", "/x/publi", "/x/public/private/1", "/x/public/../1", "/x/public/%2e%2E/1",
        "/x/public//private/1", "/x/public/./private/1", "/x/public/%70rivate/1"}) {
    CHECK(fixture.StatusWith("", target) == 401);
    CHECK(fixture.StatusWith("Authorization: Token key-a\r\n", target) == 200);
  }
}

// Guards against 401, after which callers give up, from an instance that knows no keys yet.
TEST_CASE("without a configuration every call is refused with 503", "[gateway][not-run]") {
  GatewayFixture fixture;
  for (const char* fields : {"", "Authorization: Token key-a\r\n"}) {
    const auto caller = fixture.StartCallWith(fields);
    RunUntil(&fixture.loop(), [&] { return caller->status() != 0; });
    CHECK(caller->status() == 503);
  }
}

// Guards against a configuration whose list of customers was emptied and that then serves everyone.
TEST_CASE("an empty list of customers refuses all calls that are not public", "[gateway]") {
  KeyFixture fixture;
  fixture.ApplyCustomers({});
  CHECK(fixture.StatusWith("Authorization: Token key-a\r\n") == 401);
  CHECK(fixture.StatusWith("") == 401);
  fixture.is_public = true;
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.StatusWith("") == 200);
}

// Guards against keys in the log or the metrics, and against calls that can't be attributed.
TEST_CASE("log and metrics name the customer of a call and no key", "[gateway]") {
  KeyFixture fixture;
  CHECK(fixture.StatusWith("Authorization: Token key-a\r\n") == 200);
  CHECK(fixture.StatusWith("Authorization: Token key-c\r\n") == 401);
  const auto log = fixture.LogText();
  CHECK(Contains(log, "customer=a service=s"));
  CHECK(Contains(log, "reason=unknown_key"));
  CHECK_FALSE(Contains(log, "key-"));
  const auto metrics = fixture.metrics().Text();
  CHECK(
      Contains(metrics, R"(primroseweir_customer_calls_total{customer="a",outcome="answered"} 1)"));
  CHECK(Contains(metrics, R"(primroseweir_own_answers_total{status="401"} 1)"));
  CHECK_FALSE(Contains(metrics, "key-"));
}

// Guards against metrics that grow with each customer that was ever configured.
TEST_CASE("metrics hold only the customers of the configuration in force", "[gateway]") {
  KeyFixture fixture;
  for (int i = 0; i < 20; ++i) {
    const auto name = "n" + std::to_string(i);
    fixture.ApplyCustomers({{name, "key"}});
    CHECK(fixture.StatusWith("Authorization: Token key\r\n") == 200);
  }
  const auto metrics = fixture.metrics().Text();
  CHECK(Contains(metrics, R"(customer="n19")"));
  CHECK_FALSE(Contains(metrics, R"(customer="n18")"));
  fixture.customers = nullptr;
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK_FALSE(Contains(fixture.metrics().Text(), "customer=\""));
}

// Guards against bytes in the log and the metrics of sites without customers.
TEST_CASE("without customers, log and metrics don't mention them", "[gateway]") {
  KeyFixture fixture;
  fixture.customers = nullptr;
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.StatusWith("Authorization: Token key-a\r\n") == 200);
  CHECK(Contains(fixture.LogText(), "event=call_ended"));
  CHECK_FALSE(Contains(fixture.LogText(), "customer"));
  CHECK_FALSE(Contains(fixture.metrics().Text(), "customer"));
}

}  // namespace
}  // namespace primroseweir::testing
