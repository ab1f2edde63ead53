#include "caller/caller.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "primroseweir/base/error.h"
#include "wire/generated_content.h"

namespace primroseweir::standins {
namespace {

constexpr auto kConnectTimeout = std::chrono::seconds(1);
constexpr auto kDownloadIdleTimeout = std::chrono::seconds(30);
constexpr auto kRetryBackoff = std::chrono::milliseconds(50);
constexpr int kMaxAttempts = 6;

// Returns whether another attempt may give a better outcome. Used for idempotent calls only, which
// can be sent again after any failure.
bool ShouldRetry(Outcome outcome) {
  return outcome != Outcome::kCorrect && outcome != Outcome::kWrong;
}

}  // namespace

std::string NameOf(Outcome outcome) {
  static const std::map<Outcome, std::string> kNames{
      {Outcome::kCorrect, "right"},   {Outcome::kNotRun, "not_run"},
      {Outcome::kUnknown, "unknown"}, {Outcome::kTruncated, "cut"},
      {Outcome::kWrong, "wrong"},     {Outcome::kUnreachable, "unreachable"}};
  return kNames.at(outcome);
}

// An open connection to one address, with its reader.
struct Caller::Connection {
  explicit Connection(Socket connected)
      : socket(std::move(connected)), reader(&socket, HttpReader::Kind::kResponses) {}

  Socket socket;
  HttpReader reader;
};

struct Caller::Request {
  HttpHead head;
  std::string body;
  // Text that a correct response contains.
  std::string expected;
  // Name and size of a download.
  std::string file;
  std::uint64_t size = 0;
  Instant deadline;
};

Caller::Caller(std::string name, AddressCache* address_cache)
    : name_(std::move(name)), address_cache_(address_cache) {}

Caller::~Caller() = default;

std::unique_ptr<Caller::Connection> Caller::AcquireConnection(const SocketAddress& address,
                                                              Instant deadline,
                                                              CallReport* report) {
  auto connection = std::move(connections_[address]);
  const bool is_usable =
      connection != nullptr && !connection->socket.WaitForPeerClose(MonotonicNow());
  if (is_usable) return connection;
  const Instant connect_deadline = std::min<Instant>(deadline, MonotonicNow() + kConnectTimeout);
  auto socket = Socket::Connect(address, connect_deadline);
  if (!socket.ok()) {
    report->detail = address.ToString() + " connect: " + MessageOf(socket.status());
    return nullptr;
  }
  return std::make_unique<Connection>(*std::move(socket));
}

Outcome Caller::Try(const SocketAddress& address, const Request& request, ResponseCheck check,
                    CallReport* report) {
  report->status = 0;
  auto connection = AcquireConnection(address, request.deadline, report);
  if (connection == nullptr) return Outcome::kUnreachable;
  HttpHead head = request.head;
  head.fields.push_back({"Host", address.ToString()});
  if (!request.body.empty()) {
    head.fields.push_back({"Content-Length", std::to_string(request.body.size())});
  }
  const auto sent =
      connection->socket.WriteAll(FormatRequest(head) + request.body, request.deadline);
  const auto response =
      sent.ok() ? connection->reader.ReadHead(request.deadline) : absl::StatusOr<HttpHead>(sent);
  if (!response.ok()) {
    report->detail = address.ToString() + " no response: " + MessageOf(response.status());
    return Outcome::kUnknown;
  }
  report->status = response->status;
  const Outcome outcome = (this->*check)(request, *response, connection.get(), report);
  const bool is_complete = outcome != Outcome::kTruncated;
  if (is_complete && connection->reader.keep_alive()) connections_[address] = std::move(connection);
  return outcome;
}

Outcome Caller::ReadErrorResponse(const Request& request, const HttpHead& head,
                                  Connection* connection, CallReport* report) {
  const auto body = connection->reader.ReadBody(request.deadline);
  report->detail = std::to_string(head.status) + " " + (body.ok() ? *body : "truncated response");
  if (!body.ok()) return Outcome::kTruncated;
  return head.Value("Primroseweir-Outcome") == "not-run" ? Outcome::kNotRun : Outcome::kUnknown;
}

Outcome Caller::CheckText(const Request& request, const HttpHead& head, Connection* connection,
                          CallReport* report) {
  if (head.status != 200) return ReadErrorResponse(request, head, connection, report);
  const auto body = connection->reader.ReadBody(request.deadline);
  if (!body.ok()) return Outcome::kTruncated;
  report->body_bytes += body->size();
  report->detail = *body;
  return body->find(request.expected) != std::string::npos ? Outcome::kCorrect : Outcome::kWrong;
}

Outcome Caller::CheckDownload(const Request& request, const HttpHead& head, Connection* connection,
                              CallReport* report) {
  if (head.status != 200) return ReadErrorResponse(request, head, connection, report);
  const std::string etag = head.Value("ETag");
  const std::uint64_t version = etag.size() > 2 ? std::stoull(etag.substr(1)) : 0;
  std::uint64_t offset = 0;
  while (true) {
    const auto part = connection->reader.ReadBodyPart(MonotonicNow() + kDownloadIdleTimeout);
    if (!part.ok()) {
      report->detail =
          "truncated at byte " + std::to_string(offset) + ": " + MessageOf(part.status());
      return Outcome::kTruncated;
    }
    if (part->empty()) return offset == request.size ? Outcome::kCorrect : Outcome::kWrong;
    if (!IsGeneratedContent(request.file, version, offset, *part)) {
      report->detail = "wrong byte at or after byte " + std::to_string(offset);
      return Outcome::kWrong;
    }
    offset += part->size();
    report->body_bytes = offset;
  }
}

CallReport Caller::TryAddresses(const Request& request, ResponseCheck check) {
  CallReport report;
  const Instant started = MonotonicNow();
  for (int attempt = 0; attempt < kMaxAttempts && MonotonicNow() < request.deadline; ++attempt) {
    const auto response = attempt == 0 ? address_cache_->Current() : address_cache_->Refresh();
    if (!response.ok()) {
      report.detail = "no address: " + MessageOf(response.status());
      std::this_thread::sleep_for(kRetryBackoff);
      continue;
    }
    const auto& addresses = response->addresses;
    ++report.attempts;
    report.outcome = Try(addresses[static_cast<std::size_t>(attempt) % addresses.size()], request,
                         check, &report);
    // Part of a download has arrived; the caller decides whether to request the rest.
    const bool is_partial = report.outcome == Outcome::kTruncated && report.body_bytes > 0;
    if (!ShouldRetry(report.outcome) || is_partial) break;
    std::this_thread::sleep_for(kRetryBackoff);
  }
  report.latency = MonotonicNow() - started;
  return report;
}

CallReport Caller::Read(const std::string& service) {
  Request request;
  const std::string nonce = name_ + "-" + std::to_string(next_call_id_++);
  request.head.method = "GET";
  request.head.target = "/" + service + "/read/" + nonce;
  request.head.fields = {{"X-Nonce", nonce}};
  if (read_deadline_ms_ > 0) {
    request.head.fields.push_back({"Primroseweir-Deadline-Ms", std::to_string(read_deadline_ms_)});
  }
  request.expected = "target=/read/" + nonce + " nonce=" + nonce + "\n";
  request.deadline = MonotonicNow() + call_timeout_;
  return TryAddresses(request, &Caller::CheckText);
}

CallReport Caller::Download(const std::string& service, const std::string& file, std::uint64_t size,
                            std::uint64_t rate) {
  Request request;
  request.file = file;
  request.size = size;
  request.head.method = "GET";
  request.head.target = "/" + service + "/download/" + file + "?size=" + std::to_string(size);
  if (rate > 0) request.head.target += "&rate=" + std::to_string(rate);
  request.deadline = MonotonicNow() + call_timeout_;
  return TryAddresses(request, &Caller::CheckDownload);
}

// Sends one booking under one call key until its outcome is known, the attempts are used up or the
// deadline passes.
Outcome Caller::TryBooking(const std::string& target, const std::string& booking,
                           CallReport* report, Instant deadline) {
  auto response = address_cache_->Current();
  if (response.ok() && response->key_valid_until < deadline) response = address_cache_->Refresh();
  if (!response.ok()) return Outcome::kUnreachable;
  const std::string key =
      response->call_key_prefix + "." + name_ + "-" + std::to_string(next_call_id_++);
  Outcome got = Outcome::kUnreachable;
  bool sent = false;
  for (int attempt = 0; attempt < kMaxAttempts && MonotonicNow() < deadline; ++attempt) {
    Request request;
    request.head.method = "POST";
    request.head.target = target;
    request.head.fields = {{"Primroseweir-Call-Key", key},
                           {"Primroseweir-Attempt", sent ? "2" : "1"}};
    request.body = "booking " + booking;
    request.expected = "booking=" + booking + " execution=1 ";
    request.deadline = deadline;
    const auto& addresses = response->addresses;
    ++report->attempts;
    got = Try(addresses[static_cast<std::size_t>(attempt) % addresses.size()], request,
              &Caller::CheckText, report);
    if (got != Outcome::kUnreachable) sent = true;
    if (report->status == 409) return Outcome::kCorrect;
    if (got == Outcome::kCorrect || got == Outcome::kWrong || got == Outcome::kNotRun) return got;
    std::this_thread::sleep_for(kRetryBackoff);
  }
  return sent ? Outcome::kUnknown : Outcome::kUnreachable;
}

CallReport Caller::Book(const std::string& service, const std::string& booking) {
  CallReport report;
  const Instant started = MonotonicNow();
  const Instant deadline = started + call_timeout_;
  const std::string target = "/" + service + "/book/" + booking;
  for (int key_count = 0; key_count < kMaxAttempts && MonotonicNow() < deadline; ++key_count) {
    report.outcome = TryBooking(target, booking, &report, deadline);
    // A booking may be sent under a new key only if it was not executed.
    if (report.outcome != Outcome::kNotRun && report.outcome != Outcome::kUnreachable) break;
    std::this_thread::sleep_for(kRetryBackoff);
    (void)address_cache_->Refresh();
  }
  report.latency = MonotonicNow() - started;
  return report;
}

}  // namespace primroseweir::standins
