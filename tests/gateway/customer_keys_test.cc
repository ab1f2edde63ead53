#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace primroseweir::testing {
namespace {

std::shared_ptr<const CustomerTable> MakeTable(
    const std::vector<std::pair<std::string, std::string>>& names_and_keys) {
  std::vector<CustomerTable::Entry> entries;
  for (const auto& [name, key] : names_and_keys) {
    CustomerTable::Entry entry;
    entry.customer.name = CustomerName(name);
    entry.keys = {key};
    entries.push_back(std::move(entry));
  }
  return *CustomerTable::Create(std::move(entries));
}

class KeyFixture : public GatewayFixture {
 public:
  KeyFixture() {
    upstream = &AddUpstream([](const Request& r) {
      return Reply{FormatResponse(r, 200, "ok"), {}, {}};
    });
    customers = MakeTable({{"a", "key-a"}, {"b", "key-b"}});
    Apply(CallKind::kNonIdempotent);
  }

  int StatusWith(const std::string& fields) {
    const auto caller = StartCallWith(fields);
    RunUntil(&loop(), [&] { return caller->status() != 0 || caller->ended(); });
    return caller->status();
  }

  LoopServer* upstream = nullptr;
};

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

}  // namespace
}  // namespace primroseweir::testing
