#include "primroseweir/filters/customer_filter.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "filters/call_fixture.h"
#include "primroseweir/configuration/customer_priority.h"
#include "primroseweir/customers/customer_table.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/filters/customer_calls.h"

namespace primroseweir {
namespace {

using NamesAndKeys = std::vector<std::pair<std::string, std::string>>;

std::shared_ptr<const CustomerTable> MakeTable(const NamesAndKeys& names_and_keys) {
  std::vector<CustomerTable::Entry> entries;
  for (const auto& [name, key] : names_and_keys) {
    CustomerTable::Entry entry;
    entry.customer.name = CustomerName(name);
    entry.keys = {key};
    entries.push_back(std::move(entry));
  }
  return *CustomerTable::Create(std::move(entries));
}

// Records the heads of all requests that upstreams receive.
class Recorder {
 public:
  FakeUpstream::Serve Wrap(FakeUpstream::Serve serve) {
    return [this, serve = std::move(serve)](ServerConnection* connection) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        heads_.push_back(*connection->request());
      }
      serve(connection);
    };
  }
  std::vector<RequestHead> heads() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return heads_;
  }
  // Whether a field of any request contains `text`.
  bool Contains(const std::string& text) const {
    for (const auto& head : heads()) {
      for (const auto& [name, value] : head.fields.all()) {
        if (std::string(name).find(text) != std::string::npos ||
            std::string(value).find(text) != std::string::npos) {
          return true;
        }
      }
    }
    return false;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<RequestHead> heads_;
};

RequestHead WithKey(const std::string& key, const std::string& method = "GET",
                    const std::string& target = "/board/x", const std::string& body = "") {
  auto head = CallFixture::Request(method, target, body);
  head.fields.Add("Authorization", "Token " + key);
  return head;
}

// An entry with customers a and b, and an upstream of each service that records its requests.
struct CustomerFixture {
  explicit CustomerFixture(FakeUpstream::Serve serve = RespondWithText("ok"))
      : upstream(recorder.Wrap(std::move(serve))) {
    entry.AddUpstream("board", upstream.address());
    entry.AddUpstream("ledger", upstream.address());
    entry.snapshot()->customers = MakeTable({{"a", "key-a"}, {"b", "key-b"}});
  }
  void SetCustomers(const NamesAndKeys& names_and_keys) {
    entry.snapshot()->customers = MakeTable(names_and_keys);
    entry.Apply();
  }

  Recorder recorder;
  FakeUpstream upstream;
  CallFixture entry;
};

// Guards against changes of requests where the configuration names no customers.
TEST_CASE("without customers the fields of a caller pass unchanged") {
  CustomerFixture test;
  test.entry.snapshot()->customers = nullptr;
  test.entry.Start();
  auto head = WithKey("anything");
  head.fields.Add("Primroseweir-Customer", "own");
  CHECK(test.entry.Send(head).head.status == 200);
  REQUIRE(test.recorder.heads().size() == 1);
  CHECK(test.recorder.heads()[0].fields.Get("Authorization") == "Token anything");
  CHECK(test.recorder.heads()[0].fields.Get("Primroseweir-Customer") == "own");
}

// Guards against calls without a valid key that reach an upstream, and against refusals that wait
// for a body.
TEST_CASE("[not-run] a caller without a valid key gets 401 before its body is read", "[not-run]") {
  CustomerFixture test;
  test.entry.Start();
  auto twice = WithKey("key-a", "POST", "/ledger/x", "0123456789");
  twice.fields.Add("Authorization", "Token key-a");
  auto other_scheme = CallFixture::Request("POST", "/ledger/x", "0123456789");
  other_scheme.fields.Add("Authorization", "Bearer key-a");
  for (const auto& head : {CallFixture::Request("POST", "/ledger/x", "0123456789"), twice,
                           other_scheme, WithKey("", "POST", "/ledger/x", "0123456789"),
                           WithKey("key-c", "POST", "/ledger/x", "0123456789"),
                           WithKey(std::string(5000, 'k'), "POST", "/ledger/x", "0123456789")}) {
    const auto connection = test.entry.Connect();
    connection->Begin(head);
    // Half of the body; the rest never comes.
    REQUIRE(connection->WriteBody("01234", TestDeadline()).ok());
    const auto response = connection->ReadHead(TestDeadline());
    REQUIRE(response.ok());
    CHECK((*response)->status == 401);
    CHECK((*response)->fields.Get("WWW-Authenticate") == "Token");
    CHECK((*response)->fields.Get("Primroseweir-Outcome") == "not-run");
    CHECK_FALSE((*response)->keep_alive);
  }
  CHECK(test.upstream.requests == 0);
  CHECK(test.entry.Send(WithKey("key-a", "POST", "/ledger/x", "b"), "b").head.status == 200);
}

// Guards against an instance that takes every key for unknown before it has a configuration.
TEST_CASE("[not-run] an instance without a configuration answers 503", "[not-run]") {
  CustomerFixture test;
  test.entry.snapshot()->customers = nullptr;
  test.entry.snapshot()->services.clear();
  test.entry.Start();
  const auto reply = test.entry.Send(WithKey("key-a"));
  CHECK(reply.head.status == 503);
  CHECK(reply.outcome() == "not-run");
}

// Guards against keys that upstreams see, and against callers that pass as another customer.
TEST_CASE("an upstream sees the name of the customer and never the key") {
  CustomerFixture test;
  test.entry.Start();
  auto head = WithKey("key-a");
  head.fields.Add("Primroseweir-Customer", "b");
  head.fields.Add("primroseweir-CUSTOMER", "b");
  head.fields.Add("Primroseweir_Customer", "b");
  head.fields.Add("PRIMROSEWEIR_CUSTOMER", "b");
  head.fields.Add("Connection", "Primroseweir-Customer, Authorization");
  CHECK(test.entry.Send(head).head.status == 200);
  REQUIRE(test.recorder.heads().size() == 1);
  const auto& seen = test.recorder.heads()[0].fields;
  CHECK(seen.Get("Primroseweir-Customer") == "a");
  CHECK(seen.Count("Primroseweir-Customer") == 1);
  CHECK(seen.Count("Primroseweir_Customer") == 0);
  CHECK(seen.Count("Authorization") == 0);
  CHECK_FALSE(test.recorder.Contains("key-a"));
}

// Guards against trailers, which the entry instance does not check, on their way to an upstream.
TEST_CASE("trailers with a customer or a key do not reach the upstream") {
  std::string raw_body;
  CustomerFixture test([&](ServerConnection* connection) {
    raw_body = ReadRequestBody(connection);
    connection->Respond(ResponseHead(), "ok").IgnoreError();
  });
  test.entry.Start();
  const auto connection = test.entry.Connect();
  const std::string request =
      "POST /board/x HTTP/1.1\r\nHost: test\r\nAuthorization: Token key-a\r\n"
      "Transfer-Encoding: chunked\r\nTrailer: Primroseweir-Customer\r\n\r\n"
      "4\r\nbody\r\n0\r\nPrimroseweir-Customer: b\r\nAuthorization: Token key-b\r\n\r\n";
  REQUIRE(connection->socket()->Write(request, TestDeadline(), std::chrono::seconds(5)).ok());
  REQUIRE(connection->ReadHead(TestDeadline()).ok());
  REQUIRE(test.recorder.heads().size() == 1);
  CHECK(raw_body == "body");
  CHECK(test.recorder.heads()[0].fields.Get("Primroseweir-Customer") == "a");
  CHECK(test.recorder.heads()[0].fields.Count("Primroseweir-Customer") == 1);
  CHECK_FALSE(test.recorder.Contains("key-"));
}

// Guards against public services that need a key, that pass keys on, or that take a name from the
// caller.
TEST_CASE("a public service needs no key") {
  CustomerFixture test;
  test.entry.snapshot()->services[0].is_public = true;
  test.entry.Start();
  auto named = CallFixture::Request("GET", "/board/x");
  named.fields.Add("Primroseweir-Customer", "a");
  CHECK(test.entry.Send(named).head.status == 200);
  CHECK(test.entry.Send(WithKey("key-unknown")).head.status == 200);
  CHECK(test.entry.Send(WithKey("key-b")).head.status == 200);
  CHECK(test.entry.Send(CallFixture::Request("GET", "/ledger/x")).head.status == 401);
  const auto heads = test.recorder.heads();
  REQUIRE(heads.size() == 3);
  CHECK(heads[0].fields.Count("Primroseweir-Customer") == 0);
  CHECK(heads[1].fields.Count("Primroseweir-Customer") == 0);
  CHECK(heads[2].fields.Get("Primroseweir-Customer") == "b");
  CHECK_FALSE(test.recorder.Contains("key-"));
}

// Guards against keys in further attempts; hedges are sent by the same function as retries.
TEST_CASE("a retry carries the customer and not the key") {
  Recorder recorder;
  std::atomic<int> count{0};
  const auto serve = recorder.Wrap([&](ServerConnection* connection) {
    if (count.fetch_add(1) % 2 == 0) {
      Refuse(connection);
    } else {
      RespondWithText("ok")(connection);
    }
  });
  FakeUpstream first(serve);
  FakeUpstream second(serve);
  CallFixture entry;
  entry.AddUpstream("board", first.address());
  entry.AddUpstream("board", second.address());
  entry.snapshot()->customers = MakeTable({{"a", "key-a"}});
  entry.Start();
  CHECK(entry.Send(WithKey("key-a")).head.status == 200);
  REQUIRE(recorder.heads().size() == 2);
  for (const auto& head : recorder.heads()) {
    CHECK(head.fields.Get("Primroseweir-Customer") == "a");
  }
  CHECK_FALSE(recorder.Contains("key-a"));
}

// Guards against withdrawn keys that stay valid on connections that are open.
TEST_CASE("a withdrawn key is refused from then on, also on an open connection") {
  CustomerFixture test;
  test.entry.Start();
  const auto connection = test.entry.Connect();
  CHECK(CallFixture::Send(connection.get(), WithKey("key-a")).head.status == 200);
  test.SetCustomers({{"b", "key-b"}});
  CHECK(CallFixture::Send(connection.get(), WithKey("key-a")).head.status == 401);
  CHECK(CallFixture::Send(connection.get(), WithKey("key-b")).head.status == 200);
  CHECK(test.upstream.requests == 2);
}

// Guards against a key that is withdrawn before a retry, which would send the call once more.
TEST_CASE("[not-run] a call is not retried after its key was withdrawn", "[not-run]") {
  CustomerFixture* fixture = nullptr;
  bool resets = false;
  CustomerFixture test([&](ServerConnection* connection) {
    fixture->SetCustomers({{"b", "key-b"}});
    resets ? ReadAndReset(connection) : Refuse(connection);
  });
  fixture = &test;
  FakeUpstream other(test.recorder.Wrap([&](ServerConnection* connection) {
    fixture->SetCustomers({{"b", "key-b"}});
    resets ? ReadAndReset(connection) : Refuse(connection);
  }));
  test.entry.AddUpstream("board", other.address());
  test.entry.Start();
  const auto refused = test.entry.Send(WithKey("key-a"));
  CHECK(refused.head.status == 401);
  CHECK(refused.outcome() == "not-run");
  CHECK(test.recorder.heads().size() == 1);
  // An upstream may have executed the call, so its outcome is not certain.
  test.SetCustomers({{"a", "key-a"}});
  resets = true;
  const auto lost = test.entry.Send(WithKey("key-a"));
  CHECK(lost.head.status == 502);
  CHECK(lost.outcome() == "unknown");
  CHECK(test.recorder.heads().size() == 2);
}

// Guards against calls that are sent with a key that was withdrawn while they waited.
TEST_CASE("[not-run] a call whose key is withdrawn while it waits reaches no upstream",
          "[not-run]") {
  std::promise<void> release;
  const auto released = release.get_future().share();
  CustomerFixture test([released](ServerConnection* connection) {
    released.wait();
    RespondWithText("ok")(connection);
  });
  test.entry.snapshot()->upstreams[1].slots = 1;
  test.entry.Start();
  const auto send = [&](const std::string& key) {
    return std::async(std::launch::async, [&test, key] {
      return test.entry.Send(WithKey(key, "POST", "/ledger/x", "b"), "b");
    });
  };
  auto running = send("key-a");
  while (test.upstream.requests == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  auto waiting = send("key-a");
  auto staying = send("key-b");
  const auto is_waiting = [&] {
    return test.entry.router()->Explain(ServiceName("ledger"), MonotonicNow())->waiting == 2;
  };
  while (!is_waiting()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  test.SetCustomers({{"b", "key-b"}});
  release.set_value();
  // The upstream already executes the first call.
  CHECK(running.get().head.status == 200);
  const auto refused = waiting.get();
  CHECK(refused.head.status == 401);
  CHECK(refused.outcome() == "not-run");
  CHECK(staying.get().head.status == 200);
  CHECK(test.upstream.requests == 2);
}

// Guards against keys that pass because customers were added while a call waited.
TEST_CASE("a key does not reach the upstream when customers come or go while a call waits") {
  Call call;
  RequestHead head = WithKey("key-a");
  call.request = &head;
  call.service = ServiceName("board");
  Service service;
  service.name = call.service;
  const ServiceTable without({service});
  const ServiceTable with({service}, MakeTable({{"a", "key-a"}}));
  CHECK(CustomerFilter::Identify(without, &call));
  CHECK_FALSE(call.must_hide_key);
  CHECK(CustomerFilter::Identify(with, &call));
  CHECK(call.must_hide_key);
  CHECK(call.customer->name.value() == "a");
  CHECK(CustomerFilter::Identify(without, &call));
  CHECK(call.must_hide_key);
  CHECK_FALSE(call.customer);
}

// Guards against calls that operators don't find by customer.
TEST_CASE("calls are counted by customer, result and reason") {
  RcuCell<ServiceTable> services(std::make_shared<const ServiceTable>(
      std::vector<Service>(), MakeTable({{"a", "key-a"}, {"b", "key-b"}})));
  CustomerCalls calls;
  CustomerFilter filter(&services, &calls);
  const auto run = [&](const std::string& key, const CallOutcome& call_outcome,
                       bool was_forwarded = false) {
    RequestHead head = WithKey(key);
    Call call;
    call.request = &head;
    filter.Handle(&call, [&](Call* next_call) {
      next_call->was_forwarded = was_forwarded;
      return call_outcome;
    });
  };
  run("key-a", CallOutcome());
  run("key-a", CallOutcome());
  run("key-a", CallOutcome(), true);
  run("key-a", CallOutcome::NotExecuted("quota", "above", 429));
  run("key-b", CallOutcome::Unknown("answer", "lost"));
  run("key-c", CallOutcome());
  auto counts = calls.Snapshot();
  CHECK(counts.size() == 3);
  CHECK(counts["a"].asked == 3);
  CHECK(counts["a"].served == 2);
  CHECK(counts["a"].refused == std::map<std::string, std::uint64_t>{{"quota", 1}});
  CHECK(counts["b"].unknown == 1);
  CHECK(counts[CustomerCalls::kAnonymous].refused ==
        std::map<std::string, std::uint64_t>{{"customer", 1}});
  calls.Apply(MakeTable({{"b", "key-b"}}).get());
  CHECK(calls.Snapshot().count("a") == 0);
  CHECK(calls.Snapshot().count("b") == 1);
  calls.Apply(nullptr);
  CHECK(calls.Snapshot().empty());
}

// Guards against the priority of a customer that callers can change, or that delays bookings.
TEST_CASE("the priority of a customer replaces that of its calls") {
  RcuCell<ServiceTable> services(std::make_shared<const ServiceTable>());
  const auto priority_of = [&](std::uint32_t of_customer, Priority of_call) {
    CustomerTable::Entry entry;
    entry.customer.name = CustomerName("a");
    entry.customer.priority = of_customer;
    entry.keys = {"key-a"};
    services.Store(std::make_shared<const ServiceTable>(std::vector<Service>(),
                                                        *CustomerTable::Create({entry})));
    RequestHead head = WithKey("key-a");
    Call call;
    call.request = &head;
    call.priority = of_call;
    CustomerFilter(&services).Handle(&call, [](Call*) { return CallOutcome(); });
    return call.priority;
  };
  CHECK(priority_of(kNormalCustomerPriority, Priority::kRefreshable) == Priority::kNormal);
  CHECK(priority_of(kRefreshableCustomerPriority, Priority::kNormal) == Priority::kRefreshable);
  CHECK(priority_of(kRefreshableCustomerPriority, Priority::kNonIdempotent) ==
        Priority::kNonIdempotent);
}

}  // namespace
}  // namespace primroseweir
