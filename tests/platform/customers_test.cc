// Customers and their keys on a site of real processes.
#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <sstream>
#include <string>

#include "platform_site.h"
#include "wire/http_reader.h"
#include "wire/socket.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time in which a configuration must be in force at all instances.
constexpr Duration kTimeInForce = seconds(3);

// A site with three instances and two customers.
class CustomerSite : public PlatformSite {
 public:
  CustomerSite() : PlatformSite(3) {
    AddUpstream("r1", "reads", 1);
    AddUpstream("r2", "reads", 2);
    AddUpstream("b1", "bookings", 3);
    key = "key-of-b";
    ConfigureCustomers(1, {"key-of-a"});
    for (int i = 0; i < 3; ++i) {
      REQUIRE(WaitUntilReady(i));
    }
  }

  void ConfigureCustomers(int version, const std::vector<std::string>& keys_of_a) {
    Configure(version, "reads",
              Json::array({CustomerRecord("a", keys_of_a), CustomerRecord("b", {"key-of-b"})}));
  }

  int StatusWithKey(const std::string& caller_key, int instance, const std::string& id) {
    const auto response = CallWithKey(caller_key, instance, "GET", "/read/1", id);
    return response.ok() ? response->head.status : 0;
  }

  bool WaitForStatus(const std::string& caller_key, int instance, int status) {
    return WaitUntil([&] { return StatusWithKey(caller_key, instance, "wait") == status; },
                     kTimeInForce);
  }
};

// A connection that stays open between calls.
class OpenConnection {
 public:
  explicit OpenConnection(const SocketAddress& address)
      : socket_(*standins::Socket::Connect(address, MonotonicNow() + seconds(2))),
        reader_(&socket_, standins::HttpReader::Kind::kResponses) {}

  // Returns 0 if the connection failed.
  int Call(const std::string& key) {
    const auto deadline = MonotonicNow() + seconds(3);
    const auto request =
        "GET /read/1 HTTP/1.1\r\nHost: desk\r\nX-Request-Id: open\r\nAuthorization: Token " + key +
        "\r\n\r\n";
    if (!socket_.WriteAll(request, deadline).ok()) {
      return 0;
    }
    const auto head = reader_.ReadHead(deadline, true);
    return head.ok() && reader_.ReadBody(deadline).ok() ? head->status : 0;
  }

 private:
  standins::Socket socket_;
  standins::HttpReader reader_;
};

// Guards against instances that don't recognise keys, show them to upstreams, or log them.
TEST_CASE("instances name the customer of a key to upstreams and keep the key to themselves",
          "[platform]") {
  CustomerSite site;
  for (int i = 0; i < 3; ++i) {
    CHECK(site.StatusWithKey("key-of-a", i, "qa" + std::to_string(i)) == 200);
    CHECK(site.StatusWithKey("key-of-x", i, "qx" + std::to_string(i)) == 401);
    CHECK(site.StatusWithKey("", i, "qn" + std::to_string(i)) == 401);
  }
  const auto callers = site.SendCommand("/callers");
  for (int i = 0; i < 3; ++i) {
    CHECK(callers.find("qa" + std::to_string(i) + " a -\n") != std::string::npos);
  }
  CHECK(callers.find("Token") == std::string::npos);
  CHECK(callers.find("qx") == std::string::npos);
  CHECK(callers.find("qn") == std::string::npos);
  CHECK_FALSE(site.WaitForLogLine(0, {"event=call_ended", "customer=a"}).empty());
  // Configurations that are cut off or that give one key to two customers.
  site.SendCommand("/put", {{"key", "op/config"}, {"value", R"({"tenants":["key-of-a)"}});
  CHECK_FALSE(site.WaitForLogLine(0, {"event=item_rejected"}).empty());
  site.Configure(2, "reads",
                 PlatformSite::Json::array({PlatformSite::CustomerRecord("a", {"key-of-a"}),
                                            PlatformSite::CustomerRecord("c", {"key-of-a"})}));
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(site.WaitForLogLine(i, {"event=item_rejected", "shares a key"}).empty());
    CHECK(site.StatusWithKey("key-of-a", i, "r") == 200);
    CHECK(site.Instance(i).Log().find("key-of-") == std::string::npos);
    const auto metrics = standins::Get(site.MetricsAddress(i), "/metrics", seconds(2));
    REQUIRE(metrics.ok());
    CHECK(metrics->body.find("primroseweir_customer_calls_total{customer=\"a\"") !=
          std::string::npos);
    CHECK(metrics->body.find("key-of-") == std::string::npos);
  }
}

// Guards against a withdrawn key that is used on an open connection or at an instance that does not
// read the store itself, or that comes back with a restart and a stale read.
TEST_CASE("a withdrawn key is refused at all instances and stays refused",
          "[platform][config-in-force]") {
  CustomerSite site;
  site.SendCommand("/stale", {{"reads", "yes"}});
  std::vector<std::unique_ptr<OpenConnection>> connections;
  for (int i = 0; i < 3; ++i) {
    connections.push_back(std::make_unique<OpenConnection>(site.CallerAddress(i)));
    CHECK(connections.back()->Call("key-of-a") == 200);
  }
  site.ConfigureCustomers(2, {"new-key-of-a"});
  for (int i = 0; i < 3; ++i) {
    CHECK(site.WaitForStatus("key-of-a", i, 401));
    CHECK(connections[static_cast<std::size_t>(i)]->Call("key-of-a") == 401);
    CHECK(connections[static_cast<std::size_t>(i)]->Call("new-key-of-a") == 200);
  }
  // Instance 0 is the seed that the others query. Until an instance knows a configuration, it
  // answers 503.
  for (const int instance : {1, 2, 0}) {
    site.Instance(instance).Kill();
    site.StartInstance(instance);
    int refused_calls = 0;
    const auto end = MonotonicNow() + seconds(2);
    while (MonotonicNow() < end && refused_calls < 50) {
      const auto status = site.StatusWithKey("key-of-a", instance, "restarted");
      REQUIRE((status == 401 || status == 503 || status == 0));
      refused_calls += status == 401 ? 1 : 0;
    }
    CHECK(refused_calls > 0);
    CHECK(site.StatusWithKey("new-key-of-a", instance, "served") == 200);
  }
  CHECK(site.SendCommand("/callers").find("restarted") == std::string::npos);
}

// Guards against keys that are withdrawn only where the store is read: this instance can't reach
// the store and has all from its peers.
TEST_CASE("an instance without the store learns from its peers that a key was withdrawn",
          "[platform][config-in-force]") {
  CustomerSite site;
  site.Instance(2).Kill();
  site.instance_without_store = 2;
  site.StartInstance(2);
  REQUIRE(WaitUntil([&] { return site.StatusWithKey("key-of-a", 2, "w") == 200; },
                    PlatformSite::kCallTimeout));
  OpenConnection connection(site.CallerAddress(2));
  CHECK(connection.Call("key-of-a") == 200);
  site.ConfigureCustomers(2, {"new-key-of-a"});
  CHECK(site.WaitForStatus("new-key-of-a", 2, 200));
  CHECK(connection.Call("key-of-a") == 401);
  CHECK(site.StatusWithKey("key-of-a", 2, "x") == 401);
}

}  // namespace
}  // namespace primroseweir::testing
