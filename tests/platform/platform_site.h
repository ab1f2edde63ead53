#ifndef PRIMROSEWEIR_TESTS_PLATFORM_PLATFORM_SITE_H_
#define PRIMROSEWEIR_TESTS_PLATFORM_PLATFORM_SITE_H_

#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "support/child_process.h"
#include "support/network.h"
#include "wire/fetch.h"

namespace primroseweir::testing {

// A site on the stand-in platform: one process for the store and the upstreams, and one for each
// instance, on addresses that no other test uses.
class PlatformSite {
 public:
  using Json = nlohmann::json;
  static constexpr Duration kCallTimeout = std::chrono::seconds(15);
  static constexpr int kStorePort = 7000;
  static constexpr int kClosedPort = 7999;

  // Instances connect to the store at `store_port`, where a test may listen with a relay. `limits`
  // are those of each instance's machine in its settings; without members, none are stated.
  explicit PlatformSite(int instances, int store_port = kStorePort, Json limits = Json::object())
      : store_port_(store_port), limits_(std::move(limits)) {
    const char* temporary = std::getenv("TMPDIR");
    folder_ = std::string(temporary == nullptr ? "/tmp" : temporary) + "/primroseweir-site-XXXXXX";
    if (mkdtemp(folder_.data()) == nullptr) {
      throw std::runtime_error("could not create a temporary folder for the site");
    }
    platform_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{BinaryPath("standins/platform/standin-platform"), "--store",
                                 StoreAddress().ToString(), "--control",
                                 ControlAddress().ToString()},
        folder_ + "/platform.log");
    if (!platform_->WaitForLog("ready", kCallTimeout)) {
      throw std::runtime_error("the stand-in platform did not start: " + platform_->Log());
    }
    for (int i = 0; i < instances; ++i) {
      instances_.emplace_back();
      StartInstance(i);
    }
  }

  ~PlatformSite() {
    instances_.clear();
    platform_.reset();
    std::system(("rm -rf " + folder_).c_str());
  }

  // ---- addresses ----

  SocketAddress StoreAddress() const { return network_.Host(1, kStorePort); }
  SocketAddress Address(int host, int port) const { return network_.Host(host, port); }
  SocketAddress ControlAddress() const { return network_.Host(1, 7001); }
  SocketAddress CallerAddress(int instance) const { return network_.Host(10 + instance, 8000); }
  SocketAddress ReadinessAddress(int instance) const { return network_.Host(10 + instance, 8001); }
  SocketAddress DirectoryAddress(int instance) const { return network_.Host(10 + instance, 8003); }
  SocketAddress MetricsAddress(int instance) const { return network_.Host(10 + instance, 7541); }
  SocketAddress SnapshotAddress(int instance) const { return network_.Host(10 + instance, 8002); }
  SocketAddress DatagramAddress(int instance) const { return network_.Host(10 + instance, 7540); }

  // ---- commands ----

  void StartInstance(int instance) {
    const auto path = folder_ + "/node" + std::to_string(instance) + ".json";
    std::ofstream(path) << SettingsJson(instance).dump();
    instances_[static_cast<std::size_t>(instance)] = std::make_unique<ChildProcess>(
        std::vector<std::string>{BinaryPath("platform/primroseweir-platform"), "--settings", path},
        folder_ + "/node" + std::to_string(instance) + ".log");
  }

  // Requests a page of the control port, with percent-encoded values, and returns its body. Throws
  // std::runtime_error unless the status is 200.
  std::string SendCommand(const std::string& page,
                          const std::map<std::string, std::string>& query = {}) {
    std::string target = page;
    for (const auto& [name, value] : query) {
      target += (target == page ? "?" : "&") + name + "=" + PercentEncode(value);
    }
    const auto response = standins::Get(ControlAddress(), target, kCallTimeout);
    if (!response.ok() || response->head.status != 200) {
      throw std::runtime_error("control port did not respond with status 200 to " + target);
    }
    return response->body;
  }

  void AddUpstream(const std::string& id, const std::string& service, int host, int work_ms = 5,
                   const std::string& zone = "dc0", const std::string& listed = "") {
    SendCommand("/upstream", {{"id", id},
                              {"service", service},
                              {"zone", zone},
                              {"address", network_.Host(100 + host, 9000).ToString()},
                              {"listed", listed},
                              {"work_ms", std::to_string(work_ms)}});
  }

  // Returns the record of a customer for Configure.
  static Json CustomerRecord(const std::string& name, const std::vector<std::string>& keys) {
    return {{"name", name}, {"apiKeys", keys}};
  }

  // Publishes a configuration with an idempotent route /read/ and a non-idempotent route /book/.
  // `customers` is null for a configuration without customers.
  void Configure(int version, const std::string& read_service = "reads",
                 const Json& customers = Json()) {
    char digits[16];
    std::snprintf(digits, sizeof digits, "%08x", version);
    const auto route = [](const std::string& prefix, const std::string& service,
                          const std::string& kind) {
      return Json{{"name", prefix},     {"host", "desk"},   {"prefix", prefix},
                  {"service", service}, {"kind", kind},     {"timeoutMs", 1000},
                  {"sloMs", 300},       {"maxAttempts", 2}, {"priority", 1}};
    };
    const auto service = [](const std::string& name) {
      return Json{{"name", name},
                  {"healthPath", "/health"},
                  {"maxConnections", 50},
                  {"warmupS", 1},
                  {"coldPerS", 5}};
    };
    Json configuration = {{"version", digits},
                          {"routes",
                           {route("/read/", read_service, "idempotent"),
                            route("/book/", "bookings", "non_idempotent")}},
                          {"services", {service("reads"), service("bookings"), service("others")}},
                          {"limits",
                           {{"maxHeaderBytes", 4096},
                            {"maxBodyBytes", 10000},
                            {"headerTimeoutMs", 2000},
                            {"idleTimeoutMs", 5000}}}};
    if (!customers.is_null()) {
      configuration["tenants"] = customers;
    }
    SendCommand("/put", {{"key", "op/config"}, {"value", configuration.dump()}});
  }

  bool WaitUntilReady(int instance) {
    return WaitUntil(
        [&] {
          const auto response =
              standins::Get(ReadinessAddress(instance), "/primroseweir/readiness", kCallTimeout);
          return response.ok() && response->head.status == 200;
        },
        kCallTimeout);
  }

  // ---- calls ----

  absl::StatusOr<standins::HttpResponse> Call(int instance, const std::string& method,
                                              const std::string& target, const std::string& id,
                                              const std::string& body = "") {
    return CallWithKey(key, instance, method, target, id, body);
  }

  // As Call, with another key; "" for none.
  absl::StatusOr<standins::HttpResponse> CallWithKey(const std::string& caller_key, int instance,
                                                     const std::string& method,
                                                     const std::string& target,
                                                     const std::string& id,
                                                     const std::string& body = "") {
    standins::HttpHead head;
    head.method = method;
    head.target = target;
    head.fields = {{"Host", "desk"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}};
    if (!caller_key.empty()) {
      head.fields.push_back({"Authorization", "Token " + caller_key});
    }
    return standins::Fetch(CallerAddress(instance), head, body, kCallTimeout);
  }

  int CallStatus(int instance, const std::string& method, const std::string& target,
                 const std::string& id) {
    const auto response = Call(instance, method, target, id, method == "POST" ? "b" : "");
    return response.ok() ? response->head.status : 0;
  }

  // Returns the first log line of an instance that contains all of `parts`, or "" if there is none
  // within 3 s.
  std::string WaitForLogLine(int instance, const std::vector<std::string>& parts) {
    std::string found;
    WaitUntil(
        [&] {
          std::istringstream log(Instance(instance).Log());
          for (std::string line; std::getline(log, line);) {
            bool contains_all = true;
            for (const auto& part : parts) {
              contains_all = contains_all && line.find(part) != std::string::npos;
            }
            if (contains_all) {
              found = line;
              return true;
            }
          }
          return false;
        },
        std::chrono::seconds(3));
    return found;
  }

  // Instance that is started with a store address at which nobody listens; -1 for none.
  int instance_without_store = -1;

  // Key of the customer that makes the calls; "" for none.
  std::string key;

  ChildProcess& Instance(int instance) { return *instances_[static_cast<std::size_t>(instance)]; }

 private:
  static std::string BinaryPath(const std::string& path) {
    return std::string(PRIMROSEWEIR_BUILD_FOLDER) + "/" + path;
  }

  static std::string PercentEncode(const std::string& text) {
    std::string result;
    for (const char c : text) {
      char buffer[8];
      std::snprintf(buffer, sizeof buffer, "%%%02X", static_cast<unsigned char>(c));
      result += buffer;
    }
    return result;
  }

  Json SettingsJson(int instance) const {
    const auto ip = network_.Host(10 + instance, 0).ip;
    const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
    return {{"nodeName", "node" + std::to_string(instance)},
            {"ip", ip},
            {"zone", "dc" + std::to_string(instance % 2)},
            {"listenAddrs",
             {{"front", at(8000)},
              {"ready", at(8001)},
              {"control", at(8002)},
              {"directory", at(8003)}}},
            {"portRange", {7540, 7555}},
            {"seeds", {network_.Host(10, 8002).ToString()}},
            {"limits", limits_},
            {"contractBounds", {{"graceS", 3}, {"ttl_max_s", 5}, {"drainMs", 2000}}},
            {"platform",
             {{"address",
               network_.Host(1, instance == instance_without_store ? kClosedPort : store_port_)
                   .ToString()}}}};
  }

  const int store_port_;
  const Json limits_;
  Network network_;
  std::string folder_;
  std::unique_ptr<ChildProcess> platform_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_PLATFORM_PLATFORM_SITE_H_
