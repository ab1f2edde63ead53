#include "caller/caller.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "primroseweir/base/error.h"
#include "wire/generated_content.h"

namespace primroseweir::standins {
namespace {

constexpr auto kConnectTimeout = std::chrono::seconds(1);
constexpr auto kDownloadStall = std::chrono::seconds(30);
constexpr auto kRetryPause = std::chrono::milliseconds(50);
constexpr int kMaxAttempts = 6;

// Whether another attempt may give a better end. A repeatable call may always be sent again.
bool WorthRetry(CallOutcome end) {
  return end != CallOutcome::kCorrect && end != CallOutcome::kIncorrect;
}

}  // namespace

std::string NameOf(CallOutcome end) {
  static const std::map<CallOutcome, std::string> kNames{
      {CallOutcome::kCorrect, "right"},   {CallOutcome::kNotExecuted, "not_run"},
      {CallOutcome::kUnknown, "unknown"}, {CallOutcome::kTruncated, "cut"},
      {CallOutcome::kIncorrect, "wrong"}, {CallOutcome::kUnreachable, "unreachable"}};
  return kNames.at(end);
}

// An open connection to one address.
struct Caller::Kept {
  explicit Kept(Socket connected)
      : socket(std::move(connected)), reader(&socket, HttpReader::Kind::kResponses) {}

  Socket socket;
  HttpReader reader;
};

struct Caller::Request {
  HttpHead head;
  std::string body;
  // Text that a right answer contains.
  std::string expected;
  // Of a download.
  std::string file;
  std::uint64_t size = 0;
  Instant deadline;
};

Caller::Caller(std::string name, AddressCache* book) : name_(std::move(name)), book_(book) {}

Caller::~Caller() = default;

std::unique_ptr<Caller::Kept> Caller::TakeConnection(const SocketAddress& address, Instant deadline,
                                                     CallReport* report) {
  auto kept = std::move(connections_[address]);
  const bool usable = kept != nullptr && !kept->socket.WaitForPeerClose(MonotonicNow());
  if (usable) return kept;
  const Instant limit = std::min<Instant>(deadline, MonotonicNow() + kConnectTimeout);
  auto socket = Socket::Connect(address, limit);
  if (!socket.ok()) {
    report->detail = address.ToString() + " connect: " + MessageOf(socket.status());
    return nullptr;
  }
  return std::make_unique<Kept>(*std::move(socket));
}

CallOutcome Caller::Try(const SocketAddress& address, const Request& request, Check check,
                        CallReport* report) {
  report->status = 0;
  auto kept = TakeConnection(address, request.deadline, report);
  if (kept == nullptr) return CallOutcome::kUnreachable;
  HttpHead head = request.head;
  head.fields.push_back({"Host", address.ToString()});
  if (!request.body.empty()) {
    head.fields.push_back({"Content-Length", std::to_string(request.body.size())});
  }
  const auto sent = kept->socket.WriteAll(FormatRequest(head) + request.body, request.deadline);
  const auto response =
      sent.ok() ? kept->reader.ReadHead(request.deadline) : absl::StatusOr<HttpHead>(sent);
  if (!response.ok()) {
    report->detail = address.ToString() + " no answer: " + MessageOf(response.status());
    return CallOutcome::kUnknown;
  }
  report->status = response->status;
  const CallOutcome end = (this->*check)(request, *response, kept.get(), report);
  const bool whole = end != CallOutcome::kTruncated;
  if (whole && kept->reader.keep_alive()) connections_[address] = std::move(kept);
  return end;
}

CallOutcome Caller::ReadSystemResponse(const Request& request, const HttpHead& head, Kept* kept,
                                       CallReport* report) {
  const auto body = kept->reader.ReadBody(request.deadline);
  report->detail = std::to_string(head.status) + " " + (body.ok() ? *body : "cut answer");
  if (!body.ok()) return CallOutcome::kTruncated;
  return head.Value("Primroseweir-Outcome") == "not-run" ? CallOutcome::kNotExecuted
                                                         : CallOutcome::kUnknown;
}

CallOutcome Caller::CheckText(const Request& request, const HttpHead& head, Kept* kept,
                              CallReport* report) {
  if (head.status != 200) return ReadSystemResponse(request, head, kept, report);
  const auto body = kept->reader.ReadBody(request.deadline);
  if (!body.ok()) return CallOutcome::kTruncated;
  report->body_bytes += body->size();
  report->detail = *body;
  return body->find(request.expected) != std::string::npos ? CallOutcome::kCorrect
                                                           : CallOutcome::kIncorrect;
}

CallOutcome Caller::CheckDownload(const Request& request, const HttpHead& head, Kept* kept,
                                  CallReport* report) {
  if (head.status != 200) return ReadSystemResponse(request, head, kept, report);
  const std::string etag = head.Value("ETag");
  const std::uint64_t version = etag.size() > 2 ? std::stoull(etag.substr(1)) : 0;
  std::uint64_t at = 0;
  while (true) {
    const auto part = kept->reader.ReadBodyPart(MonotonicNow() + kDownloadStall);
    if (!part.ok()) {
      report->detail = "cut at byte " + std::to_string(at) + ": " + MessageOf(part.status());
      return CallOutcome::kTruncated;
    }
    if (part->empty()) return at == request.size ? CallOutcome::kCorrect : CallOutcome::kIncorrect;
    if (!IsGeneratedContent(request.file, version, at, *part)) {
      report->detail = "wrong byte after " + std::to_string(at);
      return CallOutcome::kIncorrect;
    }
    at += part->size();
    report->body_bytes = at;
  }
}

CallReport Caller::TryAddresses(const Request& request, Check check) {
  CallReport report;
  const Instant started = MonotonicNow();
  for (int attempt = 0; attempt < kMaxAttempts && MonotonicNow() < request.deadline; ++attempt) {
    const auto response = attempt == 0 ? book_->Current() : book_->Renew();
    if (!response.ok()) {
      report.detail = "no address: " + MessageOf(response.status());
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    const auto& addresses = response->addresses;
    ++report.attempts;
    report.end = Try(addresses[static_cast<std::size_t>(attempt) % addresses.size()], request,
                     check, &report);
    // Part of a download arrived already; the caller decides whether to ask for the rest.
    const bool partial = report.end == CallOutcome::kTruncated && report.body_bytes > 0;
    if (!WorthRetry(report.end) || partial) break;
    std::this_thread::sleep_for(kRetryPause);
  }
  report.latency = MonotonicNow() - started;
  return report;
}

CallReport Caller::Read(const std::string& service) {
  Request request;
  const std::string nonce = name_ + "-" + std::to_string(next_++);
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

// Sends one booking under one key until its outcome is known or the deadline passes.
CallOutcome Caller::TryBooking(const std::string& target, const std::string& booking,
                               CallReport* report, Instant deadline) {
  auto response = book_->Current();
  if (response.ok() && response->call_key_valid_until < deadline) response = book_->Renew();
  if (!response.ok()) return CallOutcome::kUnreachable;
  const std::string key = response->call_key_prefix + "." + name_ + "-" + std::to_string(next_++);
  CallOutcome end = CallOutcome::kUnreachable;
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
    end = Try(addresses[static_cast<std::size_t>(attempt) % addresses.size()], request,
              &Caller::CheckText, report);
    if (end != CallOutcome::kUnreachable) sent = true;
    if (report->status == 409) return CallOutcome::kCorrect;
    if (end == CallOutcome::kCorrect || end == CallOutcome::kIncorrect ||
        end == CallOutcome::kNotExecuted)
      return end;
    std::this_thread::sleep_for(kRetryPause);
  }
  return sent ? CallOutcome::kUnknown : CallOutcome::kUnreachable;
}

CallReport Caller::Book(const std::string& service, const std::string& booking) {
  CallReport report;
  const Instant started = MonotonicNow();
  const Instant deadline = started + call_timeout_;
  const std::string target = "/" + service + "/book/" + booking;
  for (int key = 0; key < kMaxAttempts && MonotonicNow() < deadline; ++key) {
    report.end = TryBooking(target, booking, &report, deadline);
    // Only a booking that did not run may be sent under a new key.
    if (report.end != CallOutcome::kNotExecuted && report.end != CallOutcome::kUnreachable) break;
    std::this_thread::sleep_for(kRetryPause);
    (void)book_->Renew();
  }
  report.latency = MonotonicNow() - started;
  return report;
}

}  // namespace primroseweir::standins
