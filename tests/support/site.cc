#include "support/site.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/random.h"

namespace primroseweir::testing {
namespace {

using Json = nlohmann::json;

constexpr int kConfigurationHost = 1;
constexpr int kConfigurationPort = 9000;
constexpr int kConfigurationControlPort = 9100;
constexpr int kFirstEntryHost = 10;
constexpr int kCallerPort = 8080;
constexpr int kPeerPort = 8081;
constexpr int kAdminPort = 8082;
constexpr int kFirstUpstreamHost = 100;
constexpr int kUpstreamPort = 7000;
constexpr int kUpstreamControlPort = 7001;
constexpr int kRelayPort = 7002;
constexpr auto kStartTimeout = std::chrono::seconds(15);
constexpr auto kFetchTimeout = std::chrono::seconds(5);
constexpr auto kStopTimeout = std::chrono::seconds(3);

std::string RandomSecret() {
  return std::to_string(EntropySeed()) + "-" + std::to_string(EntropySeed());
}

// Returns the entry binary to run. The environment variable PRIMROSEWEIR_ENTRY replaces it by
// another binary, such as the naive stand-in, to run the same tests against that one.
std::string EntryBinary() {
  const char* binary_override = std::getenv("PRIMROSEWEIR_ENTRY");
  return binary_override != nullptr ? binary_override
                                    : Site::Binary("apps/primroseweir-entry/primroseweir-entry");
}

std::function<std::uint64_t()>& FailureCounter() {
  static std::function<std::uint64_t()> counter;
  return counter;
}

std::uint64_t CountFailures() { return FailureCounter() ? FailureCounter()() : 0; }

std::string CreateFolder(const std::string& name) {
  static int count = 0;
  const std::string folder = Site::Binary("sites/" + name + "-" + std::to_string(getpid()) + "-" +
                                          std::to_string(++count));
  std::filesystem::create_directories(folder);
  return folder;
}

std::string PostOrThrow(const SocketAddress& address, const std::string& target,
                        const std::string& body) {
  standins::HttpHead request;
  request.method = "POST";
  request.target = target;
  const auto response = standins::Fetch(address, request, body, kFetchTimeout);
  if (!response.ok())
    throw std::runtime_error("POST " + target + ": " + MessageOf(response.status()));
  if (response->head.status != 200)
    throw std::runtime_error("POST " + target + ": " + response->body);
  return response->body;
}

Json GetOrThrow(const SocketAddress& address, const std::string& target) {
  const auto response = standins::Get(address, target, kFetchTimeout);
  if (!response.ok())
    throw std::runtime_error("GET " + target + ": " + MessageOf(response.status()));
  return Json::parse(response->body);
}

}  // namespace

void Site::SetFailureCounter(std::function<std::uint64_t()> counter) {
  FailureCounter() = std::move(counter);
}

Site::Site(SitePlan plan)
    : plan_(std::move(plan)),
      folder_(CreateFolder(plan_.name)),
      fleet_key_(RandomSecret()),
      operator_token_(RandomSecret()),
      failures_at_start_(CountFailures()),
      exceptions_at_start_(std::uncaught_exceptions()) {
  StartUpstreams();
  StartConfiguration();
  for (int i = 0; i < plan_.entries_per_data_centre; ++i) {
    for (const std::string& data_centre : plan_.data_centres) {
      Entry entry;
      entry.data_centre = data_centre;
      entry.seat = entry_count();
      entries_.push_back(std::move(entry));
    }
  }
  for (int i = 0; i < entry_count(); ++i) RestartEntry(i, false);
  for (int i = 0; i < entry_count(); ++i) {
    if (WaitForAddresses(i, entry_count(), kStartTimeout)) continue;
    throw std::runtime_error("entry instance " + std::to_string(i) +
                             " does not list all instances within 15 s; " + DescribeEntries() +
                             ": " + entry(i).Log());
  }
}

Site::~Site() {
  for (Entry& entry : entries_) {
    if (entry.process != nullptr) entry.process->Kill();
  }
  if (std::uncaught_exceptions() > exceptions_at_start_ || CountFailures() != failures_at_start_) {
    std::cerr << "logs=" << folder_ << "\n";
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string Site::DescribeEntries() {
  std::string text;
  for (int i = 0; i < entry_count(); ++i) {
    const auto exit_code = entry(i).WaitForExit(Duration::zero());
    text += (i == 0 ? "entry-" : ", entry-") + std::to_string(i + 1) +
            (exit_code ? " ended with " + std::to_string(*exit_code) : " runs");
  }
  return text;
}

std::string Site::PidsText() const {
  std::string text = std::to_string(configuration_->pid());
  for (const Entry& entry : entries_) text += "," + std::to_string(entry.process->pid());
  for (const auto& [id, upstream] : upstreams_) {
    text += "," + std::to_string(upstream.process->pid());
  }
  return text;
}

std::string Site::Binary(const std::string& path) {
  return std::string(PRIMROSEWEIR_BUILD_FOLDER) + "/" + path;
}

std::string Site::WriteFile(const std::string& name, const std::string& text) const {
  const std::string path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

void Site::WaitForLogOrThrow(ChildProcess* process, const std::string& text) const {
  if (process->WaitForLog(text, kStartTimeout)) return;
  throw std::runtime_error("process exited or 15 s passed before it logged " + text + ": " +
                           process->Log());
}

// ---- entry instances ----

SocketAddress Site::CallerAddress(int index) const {
  return network_.Host(kFirstEntryHost + index, kCallerPort);
}

SocketAddress Site::AdminAddress(int index) const {
  return network_.Host(kFirstEntryHost + index, kAdminPort);
}

std::vector<SocketAddress> Site::CallerAddresses() const {
  std::vector<SocketAddress> addresses;
  for (int i = 0; i < entry_count(); ++i) addresses.push_back(CallerAddress(i));
  return addresses;
}

void Site::WriteEntrySettings(int index) {
  Entry& entry = entries_.at(index);
  Json peers = Json::array();
  for (int i = 0; i < entry_count(); ++i) {
    if (i != index) peers.push_back(network_.Host(kFirstEntryHost + i, kPeerPort).ToString());
  }
  const int planned_instances =
      plan_.entries_per_data_centre * static_cast<int>(plan_.data_centres.size());
  const std::string id = "entry-" + std::to_string(index + 1);
  const Json settings{
      {"id", id},
      {"data_centre", entry.data_centre},
      {"caller_address", CallerAddress(index).ToString()},
      {"peer_address", network_.Host(kFirstEntryHost + index, kPeerPort).ToString()},
      {"admin_address", AdminAddress(index).ToString()},
      {"seat", entry.seat},
      {"seats", plan_.seats > 0 ? plan_.seats : 2 * planned_instances},
      {"configuration_service", {ConfigurationAddress(entry.data_centre).ToString()}},
      {"peers", peers},
      {"fleet_key", fleet_key_},
      {"operator_token", operator_token_}};
  entry.settings_path = WriteFile(id + ".json", settings.dump(2));
}

int Site::StartEntry(const std::string& data_centre, int seat) {
  Entry entry;
  entry.data_centre = data_centre;
  entry.seat = seat >= 0 ? seat : entry_count();
  entries_.push_back(std::move(entry));
  RestartEntry(entry_count() - 1);
  return entry_count() - 1;
}

void Site::RestartEntry(int index, bool wait) {
  Entry& entry = entries_.at(index);
  entry.process.reset();
  WriteEntrySettings(index);
  entry.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{EntryBinary(), "--settings", entry.settings_path},
      entry.settings_path + ".log");
  if (!wait || WaitForAddresses(index, 1, kStartTimeout)) return;
  throw std::runtime_error("entry instance did not respond within 15 s: " + entry.process->Log());
}

absl::StatusOr<standins::HttpResponse> Site::Admin(int index, const std::string& target) const {
  standins::HttpHead request;
  request.method = "GET";
  request.target = target;
  request.fields.push_back({"Authorization", "Bearer " + operator_token_});
  return standins::Fetch(AdminAddress(index), request, "", kFetchTimeout);
}

Site::Json Site::FetchStatus(int index) const {
  const auto response = Admin(index, "/status");
  return response.ok() ? Json::parse(response->body, nullptr, false) : Json();
}

bool Site::WaitForAddresses(int index, int count, Duration timeout) const {
  return WaitUntil(
      [this, index, count] {
        const auto response =
            standins::Get(CallerAddress(index), "/primroseweir/addresses", kFetchTimeout);
        if (!response.ok()) return false;
        const Json body = Json::parse(response->body, nullptr, false);
        return body.is_object() && body.contains("addresses") &&
               static_cast<int>(body["addresses"].size()) >= count;
      },
      timeout);
}

// ---- configuration service ----

SocketAddress Site::ConfigurationAddress(const std::string& data_centre) const {
  const auto found = std::find(plan_.data_centres.begin(), plan_.data_centres.end(), data_centre);
  const auto position = static_cast<int>(found - plan_.data_centres.begin());
  return network_.Host(kConfigurationHost, kConfigurationPort + position);
}

std::string Site::ServicesText() const {
  Json services = Json::array();
  for (const ServicePlan& service : plan_.services) {
    services.push_back({{"name", service.name},
                        {"depends_on", service.depends_on},
                        {"calls", service.idempotent ? "repeatable" : "not-repeatable"}});
  }
  return Json{{"services", services}}.dump(2);
}

std::string Site::InstancesText() const {
  Json upstreams = Json::array();
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.state.empty()) continue;
    const int port = upstream.plan->relay ? kRelayPort : kUpstreamPort;
    Json record{{"id", id},
                {"service", upstream.service},
                {"data_centre", upstream.data_centre},
                {"address", network_.Host(upstream.host, port).ToString()},
                {"slots", upstream.plan->slots},
                {"connections", upstream.plan->connections},
                {"state", upstream.state}};
    if (upstream.plan->probe) {
      record["probe"] = "/probe";
      record["probe_cost_ms"] = 6;
    }
    upstreams.push_back(record);
  }
  return Json{{"upstreams", upstreams}}.dump();
}

void Site::StartConfiguration() {
  std::vector<std::string> arguments{
      Binary("standins/configuration/standin-configuration"),
      "--control",
      network_.Host(kConfigurationHost, kConfigurationControlPort).ToString(),
      "--value",
      "text=" + WriteFile("text.json", ServicesText()),
      "--value",
      "declarations=" + WriteFile("declarations.json", "{\"out\":[]}"),
      "--value",
      "instances=" + WriteFile("instances.json", InstancesText())};
  for (const std::string& data_centre : plan_.data_centres) {
    arguments.push_back("--address");
    arguments.push_back(ConfigurationAddress(data_centre).ToString());
  }
  configuration_ = std::make_unique<ChildProcess>(arguments, folder_ + "/configuration.log");
  WaitForLogOrThrow(configuration_.get(), "ready");
}

void Site::ControlConfigurationService(const std::string& target, const std::string& body) {
  PostOrThrow(network_.Host(kConfigurationHost, kConfigurationControlPort), target, body);
}

std::uint64_t Site::SetValue(const std::string& key, const std::string& value) {
  return std::stoull(PostOrThrow(network_.Host(kConfigurationHost, kConfigurationControlPort),
                                 "/v1/values/" + key, value));
}

std::uint64_t Site::DeclareOut(const std::set<std::string>& data_centres) {
  return SetValue("declarations", Json{{"out", data_centres}}.dump());
}

std::uint64_t Site::SetListedState(const std::string& upstream, const std::string& state) {
  upstreams_.at(upstream).state = state;
  return SetValue("instances", InstancesText());
}

// ---- upstreams ----

void Site::StartUpstreams() {
  int host = kFirstUpstreamHost;
  for (const ServicePlan& service : plan_.services) {
    for (int i = 0; i < service.upstreams; ++i) {
      const std::string id = service.prefix + "-" + std::to_string(i + 1);
      Upstream& upstream = upstreams_[id];
      upstream.service = service.name;
      upstream.data_centre =
          plan_.data_centres[static_cast<std::size_t>(i) % plan_.data_centres.size()];
      upstream.host = host++;
      upstream.plan = &service;
      StartUpstreamProcess(id, &upstream);
    }
  }
  for (auto& [id, upstream] : upstreams_) {
    WaitForLogOrThrow(upstream.process.get(), "event=listening");
    if (!upstream.plan->relay) continue;
    upstream.relay = std::make_unique<Relay>(network_.Host(upstream.host, kRelayPort),
                                             network_.Host(upstream.host, kUpstreamPort));
  }
}

void Site::StartUpstreamProcess(const std::string& id, Upstream* upstream) {
  const ServicePlan& plan = *upstream->plan;
  const Json settings{
      {"id", id},
      {"address", network_.Host(upstream->host, kUpstreamPort).ToString()},
      {"control_address", network_.Host(upstream->host, kUpstreamControlPort).ToString()},
      {"slots", plan.slots},
      {"connections", plan.connections},
      {"service_ms", plan.service_ms},
      {"distribution", plan.distribution},
      {"cold", plan.cold},
      {"seed", upstream->host}};
  const std::string path = WriteFile(id + ".json", settings.dump(2));
  upstream->process = std::make_unique<ChildProcess>(
      std::vector<std::string>{Binary("standins/upstream/standin-upstream"), "--settings", path},
      path + ".log");
}

void Site::RestartUpstream(const std::string& id) {
  Upstream& upstream = upstreams_.at(id);
  upstream.process.reset();
  StartUpstreamProcess(id, &upstream);
  const SocketAddress control = network_.Host(upstream.host, kUpstreamControlPort);
  const bool is_running = WaitUntil(
      [&control] { return standins::Get(control, "/state", kFetchTimeout).ok(); }, kStartTimeout);
  if (!is_running) {
    throw std::runtime_error("upstream " + id + " did not respond within 15 s after its restart: " +
                             upstream.process->Log());
  }
}

std::vector<std::string> Site::UpstreamIds(const std::string& service) const {
  std::vector<std::string> ids;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.service == service) ids.push_back(id);
  }
  return ids;
}

const std::string& Site::UpstreamDataCentre(const std::string& id) const {
  return upstreams_.at(id).data_centre;
}

Site::Json Site::UpstreamState(const std::string& id) const {
  return GetOrThrow(network_.Host(upstreams_.at(id).host, kUpstreamControlPort), "/state");
}

void Site::Control(const std::string& id, const std::string& target, const std::string& body) {
  PostOrThrow(network_.Host(upstreams_.at(id).host, kUpstreamControlPort), target, body);
}

std::map<std::string, int> Site::Executions(const std::string& service) const {
  std::map<std::string, int> executions;
  for (const std::string& id : UpstreamIds(service)) {
    const Json ledger =
        GetOrThrow(network_.Host(upstreams_.at(id).host, kUpstreamControlPort), "/ledger");
    for (const auto& [booking, entry] : ledger.items()) {
      executions[booking] += entry["executions"].get<int>();
    }
  }
  return executions;
}

std::uint64_t Site::SumCounter(const std::string& service, const std::string& counter) const {
  std::uint64_t sum = 0;
  for (const std::string& id : UpstreamIds(service)) {
    sum += UpstreamState(id)[counter].get<std::uint64_t>();
  }
  return sum;
}

}  // namespace primroseweir::testing
