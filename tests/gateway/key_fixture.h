#ifndef PRIMROSEWEIR_TESTS_GATEWAY_KEY_FIXTURE_H_
#define PRIMROSEWEIR_TESTS_GATEWAY_KEY_FIXTURE_H_

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace primroseweir::testing {

inline std::shared_ptr<const CustomerTable> MakeTable(
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
  // The upstream responds to each request after `work` and has `slots`.
  explicit KeyFixture(Duration work = Duration::zero(), std::uint32_t slots = 4) {
    upstream = &AddUpstream(
        [work](const Request& r) {
          return Reply{FormatResponse(r, 200, "ok"), {}, work};
        },
        "here", slots);
    customers = MakeTable({{"a", "key-a"}, {"b", "key-b"}});
    Apply(CallKind::kNonIdempotent);
  }

  int StatusWith(const std::string& fields, const std::string& target = "/x/1") {
    return StatusOf(*StartCallWith(fields, target));
  }

  // Waits for the response of a call that was started.
  int StatusOf(const LoopCaller& caller) {
    RunUntil(&loop(), [&] { return caller.status() != 0 || caller.ended(); });
    return caller.status();
  }

  // Runs the loop until the upstream has received `count` requests.
  void WaitForRequests(std::size_t count) {
    REQUIRE(RunUntil(&loop(), [&] { return upstream->requests().size() >= count; }));
  }

  // Applies a configuration with these customers.
  void ApplyCustomers(const std::vector<std::pair<std::string, std::string>>& names_and_keys,
                      CallKind kind = CallKind::kNonIdempotent) {
    customers = MakeTable(names_and_keys);
    Apply(kind);
  }

  LoopServer* upstream = nullptr;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_GATEWAY_KEY_FIXTURE_H_
