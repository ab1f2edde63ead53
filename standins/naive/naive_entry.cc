#include "naive/naive_entry.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "wire/fetch.h"

namespace primroseweir::standins {
namespace {

using Json = nlohmann::json;

constexpr auto kListPollInterval = std::chrono::milliseconds(500);
constexpr auto kIoTimeout = std::chrono::seconds(10);
constexpr auto kStreamTimeout = std::chrono::minutes(10);
constexpr int kMaxAttempts = 3;

bool SendResponse(int status, const std::string& body, Socket* caller) {
  HttpHead head;
  head.status = status;
  head.fields.push_back({"Content-Length", std::to_string(body.size())});
  return caller->WriteAll(FormatResponse(head) + body, MonotonicNow() + kIoTimeout).ok();
}

// Formats the request for the upstream. `rest` is the target without the service name.
std::string FormatUpstreamRequest(const HttpHead& request, const std::string& rest,
                                  const std::string& body) {
  HttpHead head;
  head.method = request.method;
  head.target = rest;
  for (const HeaderField& field : request.fields) {
    const bool is_framing = field.name == "Transfer-Encoding" || field.name == "Content-Length" ||
                            field.name == "Connection";
    if (!is_framing) head.fields.push_back(field);
  }
  head.fields.push_back({"Content-Length", std::to_string(body.size())});
  head.fields.push_back({"Connection", "close"});
  return FormatRequest(head) + body;
}

// Formats the response head for the caller. Omits the field Connection, which concerns only the
// connection to the upstream.
std::string FormatCallerHead(HttpHead head) {
  std::vector<HeaderField> fields;
  for (HeaderField& field : head.fields) {
    if (field.name != "Connection") fields.push_back(std::move(field));
  }
  head.fields = std::move(fields);
  head.fields.push_back({"Primroseweir-Outcome", "ran"});
  return FormatResponse(head);
}

}  // namespace

absl::Status NaiveEntry::Run() {
  auto listener = Listener::Open(settings_.caller_address);
  if (!listener.ok()) return listener.status();
  ReadInstances();
  std::thread([this] { PollInstances(); }).detach();
  while (true) {
    auto socket = listener->Accept();
    if (!socket.ok()) return socket.status();
    std::thread(&NaiveEntry::ServeConnection, this, *std::move(socket)).detach();
  }
}

void NaiveEntry::PollInstances() {
  while (true) {
    std::this_thread::sleep_for(kListPollInterval);
    ReadInstances();
  }
}

void NaiveEntry::ReadInstances() {
  const auto response = Get(settings_.configuration_service, "/v1/values/instances", kIoTimeout);
  if (!response.ok()) return;
  const Json list = Json::parse(response->body, nullptr, false);
  if (!list.is_object() || !list.contains("upstreams")) return;
  std::map<std::string, std::vector<SocketAddress>> upstreams;
  for (const Json& record : list["upstreams"]) {
    const auto address = ParseSocketAddress(record["address"].get<std::string>());
    if (address.ok()) upstreams[record["service"].get<std::string>()].push_back(*address);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  upstreams_ = std::move(upstreams);
}

std::vector<SocketAddress> NaiveEntry::UpstreamsOf(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return upstreams_[service];
}

void NaiveEntry::ServeConnection(Socket socket) {
  HttpReader reader(&socket, HttpReader::Kind::kRequests);
  while (true) {
    const auto request = reader.ReadHead(MonotonicNow() + kStreamTimeout);
    if (!request.ok()) return;
    const auto body = reader.ReadBody(MonotonicNow() + kStreamTimeout);
    if (!body.ok() || !ServeRequest(*request, *body, &socket) || !reader.keep_alive()) return;
  }
}

bool NaiveEntry::ServeAddresses(Socket* caller) {
  Json addresses{settings_.caller_address.ToString()};
  for (const SocketAddress& peer : settings_.peers) {
    addresses.push_back(SocketAddress{peer.ip, settings_.caller_address.port}.ToString());
  }
  const Json response{{"addresses", addresses},
                      {"valid_ms", 30000},
                      {"revision", 1},
                      {"call_key_prefix", "naive"},
                      {"call_key_valid_ms", 600000}};
  return SendResponse(200, response.dump(), caller);
}

bool NaiveEntry::ServeRequest(const HttpHead& request, const std::string& body, Socket* caller) {
  if (request.target.rfind("/primroseweir/addresses", 0) == 0) return ServeAddresses(caller);
  const std::size_t slash = request.target.find('/', 1);
  const std::string service = request.target.substr(1, slash - 1);
  const std::string rest = slash == std::string::npos ? "/" : request.target.substr(slash);
  const auto upstreams = UpstreamsOf(service);
  for (int attempt = 0; attempt < kMaxAttempts && !upstreams.empty(); ++attempt) {
    const auto forwarded =
        TryUpstream(upstreams[next_upstream_++ % upstreams.size()],
                    FormatUpstreamRequest(request, rest, body), request.method != "HEAD", caller);
    if (forwarded.has_value()) return *forwarded;
  }
  return SendResponse(503, R"({"outcome":"not-run"})", caller);
}

std::optional<bool> NaiveEntry::TryUpstream(const SocketAddress& upstream,
                                            const std::string& request, bool body_allowed,
                                            Socket* caller) {
  auto socket = Socket::Connect(upstream, MonotonicNow() + kIoTimeout);
  if (!socket.ok()) return std::nullopt;
  if (!socket->WriteAll(request, MonotonicNow() + kIoTimeout).ok()) return std::nullopt;
  HttpReader reader(&*socket, HttpReader::Kind::kResponses);
  const auto head = reader.ReadHead(MonotonicNow() + kIoTimeout, body_allowed);
  if (!head.ok()) return std::nullopt;
  if (!caller->WriteAll(FormatCallerHead(*head), MonotonicNow() + kIoTimeout).ok()) return false;
  while (true) {
    const auto part = reader.ReadBodyPart(MonotonicNow() + kIoTimeout);
    if (!part.ok()) return false;
    if (part->empty()) return true;
    if (!caller->WriteAll(*part, MonotonicNow() + kStreamTimeout).ok()) return false;
  }
}

}  // namespace primroseweir::standins
