#include "configuration_service.h"

#include <algorithm>
#include <charconv>

#include "primroseweir/admin/http_service.h"
#include "primroseweir/base/error.h"

namespace primroseweir::standin {
namespace {

// Each waiting read occupies a thread, and tests run several hundred watches at a time.
constexpr std::size_t kMaxReadConnections = 1024;
constexpr std::size_t kMaxControlConnections = 64;
constexpr std::uint64_t kMaxWaitMilliseconds = 60'000;
constexpr char kValuePrefix[] = "/v1/values/";

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

HttpServiceResponse Respond(unsigned status, const std::string& body) {
  HttpServiceResponse response;
  response.status = status;
  response.body = body;
  return response;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string FormatCounts(const ValueStore::Counts& counts) {
  return "{\"reads\":" + std::to_string(counts.reads) +
         ",\"waiting\":" + std::to_string(counts.waiting) +
         ",\"load\":" + std::to_string(counts.load) +
         ",\"highest_load\":" + std::to_string(counts.highest_load) + "}\n";
}

}  // namespace

ConfigurationService::ConfigurationService() = default;

ConfigurationService::~ConfigurationService() {
  control_port_.reset();
  CloseReadPorts();
}

SocketAddress ConfigurationService::control_address() const { return control_port_->address(); }

absl::Status ConfigurationService::Start(const std::vector<SocketAddress>& read_addresses,
                                         const SocketAddress& control_address) {
  read_addresses_ = read_addresses;
  absl::Status status = OpenReadPorts();
  if (!status.ok()) return status;
  auto control =
      HttpService::Start({control_address, kMaxControlConnections},
                         [this](const HttpServiceRequest& request) { return Control(request); });
  if (!control.ok()) return control.status();
  control_port_ = std::move(*control);
  return absl::OkStatus();
}

absl::Status ConfigurationService::OpenReadPorts() {
  const std::lock_guard<std::mutex> lock(read_ports_mutex_);
  if (!read_ports_.empty()) return absl::OkStatus();
  values_.SetDown(false);
  for (SocketAddress& address : read_addresses_) {
    auto service_address = std::make_shared<std::string>(address.ToString());
    auto port = HttpService::Start({address, kMaxReadConnections},
                                   [this, service_address](const HttpServiceRequest& request) {
                                     return Read(request, *service_address);
                                   });
    if (!port.ok()) return port.status();
    // No client knows a port that the system has just selected, so no handler reads the text yet.
    if (address.port == 0) *service_address = (*port)->address().ToString();
    address = (*port)->address();
    read_ports_.push_back(std::move(*port));
  }
  return absl::OkStatus();
}

void ConfigurationService::CloseReadPorts() {
  const std::lock_guard<std::mutex> lock(read_ports_mutex_);
  values_.SetDown(true);
  read_ports_.clear();
}

HttpServiceResponse ConfigurationService::Read(const HttpServiceRequest& request,
                                               const std::string& service_address) {
  if (request.method != "GET" || !StartsWith(request.path, kValuePrefix)) {
    return Respond(404, "no such path\n");
  }
  const std::string key = request.path.substr(sizeof(kValuePrefix) - 1);
  const std::uint64_t wait = std::min(ParseNumber(request.Query("wait_ms")), kMaxWaitMilliseconds);
  bool key_exists = false;
  const auto value =
      values_.Read({request.peer_ip, service_address}, key, ParseNumber(request.Query("after")),
                   std::chrono::milliseconds(wait), &key_exists);
  if (values_.IsDown()) {
    HttpServiceResponse response = Respond(503, "down\n");
    response.fields.emplace_back("Connection", "close");
    return response;
  }
  if (!value.has_value()) return key_exists ? Respond(304, "") : Respond(404, "no such key\n");
  HttpServiceResponse response;
  response.fields.emplace_back("X-Revision", std::to_string(value->revision));
  response.body = value->text;
  return response;
}

HttpServiceResponse ConfigurationService::Control(const HttpServiceRequest& request) {
  if (StartsWith(request.path, kValuePrefix)) {
    const std::string key = request.path.substr(sizeof(kValuePrefix) - 1);
    return Respond(200, std::to_string(values_.Set(key, request.body)) + "\n");
  }
  if (request.path == "/counts") return Respond(200, FormatCounts(values_.Count()));
  if (request.path == "/freeze") {
    values_.Freeze(request.Query("who"));
  } else if (request.path == "/thaw") {
    values_.Thaw(request.Query("who"));
  } else if (request.path == "/down") {
    CloseReadPorts();
  } else if (request.path == "/up") {
    const absl::Status status = OpenReadPorts();
    if (!status.ok()) return Respond(500, MessageOf(status) + "\n");
  } else {
    return Respond(404, "no such path\n");
  }
  return Respond(200, "done\n");
}

}  // namespace primroseweir::standin
