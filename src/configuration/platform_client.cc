#include "primroseweir/configuration/platform_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <atomic>
#include <charconv>
#include <cstring>
#include <exception>
#include <string>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/configuration/value_limits.h"

namespace primroseweir {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotModified = 304;
constexpr unsigned kNotFound = 404;

bool ParseRevision(const char* text, Revision* revision) {
  if (text == nullptr) return false;
  std::uint64_t number = 0;
  const char* end = text + std::strlen(text);
  const auto [parsed_end, error] = std::from_chars(text, end, number);
  if (error != std::errc() || parsed_end != end || number == 0) return false;
  *revision = Revision(number);
  return true;
}

// One connection to the service and the request in progress on it. cxxtools reports events through
// signals.
class Exchange : public cxxtools::Connectable {
 public:
  Exchange(cxxtools::Selector* selector, const SocketAddress& address)
      : client_(*selector, address.ip, address.port) {
    cxxtools::connect(client_.bodyAvailable, *this, &Exchange::OnBody);
    cxxtools::connect(client_.replyFinished, *this, &Exchange::OnFinished);
  }

  void Begin(const std::string& url) {
    is_finished_ = false;
    body_.clear();
    request_.clear();
    const std::size_t query_start = url.find('?');
    request_.url(url.substr(0, query_start));
    request_.qparams(url.substr(query_start + 1));
    client_.beginExecute(request_);
  }

  // Ends the request. Throws if it failed.
  void End() { client_.endExecute(); }

  bool is_finished() const { return is_finished_; }
  bool is_too_long() const { return body_.size() > kMaxValueBytes; }
  std::string TakeBody() {
    if (is_too_long()) body_.resize(kMaxValueBytes + 1);
    return std::move(body_);
  }
  const cxxtools::http::ReplyHeader& header() const { return client_.header(); }

 private:
  std::size_t OnBody(cxxtools::http::Client& client) {
    char buffer[16 * 1024];
    const std::streamsize read = client.in().readsome(buffer, sizeof(buffer));
    // One byte above the limit is enough for the value to be rejected; the rest is discarded.
    if (!is_too_long()) body_.append(buffer, static_cast<std::size_t>(read));
    return static_cast<std::size_t>(read);
  }

  void OnFinished(cxxtools::http::Client&) { is_finished_ = true; }

  cxxtools::http::Client client_;
  cxxtools::http::Request request_;
  std::string body_;
  bool is_finished_ = false;
};

}  // namespace

class PlatformClient::Implementation {
 public:
  explicit Implementation(const Options& options)
      : options_(options), address_index_(options.first % options.addresses.size()) {}

  absl::StatusOr<std::optional<ConfigurationValue>> Read(const std::string& key, Revision after,
                                                         Duration wait, Duration timeout) {
    const std::string url = "/v1/values/" + key + "?after=" + std::to_string(after.value()) +
                            "&wait_ms=" + std::to_string(ToMilliseconds(wait));
    const Instant deadline = MonotonicNow() + timeout;
    // The service may have closed an idle connection, so retry once on a new one.
    const bool has_kept_connection = exchange_ != nullptr;
    auto result = ReadOnce(url, deadline);
    if (has_kept_connection && result.status().code() == absl::StatusCode::kUnavailable) {
      result = ReadOnce(url, deadline);
    }
    return result;
  }

  void UseNextAddress() {
    exchange_.reset();
    address_index_ = (address_index_ + 1) % options_.addresses.size();
  }

  void Cancel() {
    cancelled_.store(true);
    selector_.wake();
  }

 private:
  using Result = absl::StatusOr<std::optional<ConfigurationValue>>;

  Result ReadOnce(const std::string& url, Instant deadline) {
    try {
      if (exchange_ == nullptr) exchange_ = std::make_unique<Exchange>(&selector_, Address());
      exchange_->Begin(url);
      while (!exchange_->is_finished()) {
        if (cancelled_.load()) return CloseAndFail(absl::StatusCode::kCancelled, "cancelled");
        const std::int64_t left_ms = ToMilliseconds(deadline - MonotonicNow());
        if (left_ms <= 0) return CloseAndFail(absl::StatusCode::kDeadlineExceeded, "read timeout");
        selector_.wait(cxxtools::Milliseconds(static_cast<double>(left_ms)));
      }
      exchange_->End();
      return ParseResponse();
    } catch (const std::exception& error) {
      return CloseAndFail(absl::StatusCode::kUnavailable, error.what());
    }
  }

  Result ParseResponse() {
    const unsigned status = exchange_->header().httpReturnCode();
    if (status == kNotModified) return std::optional<ConfigurationValue>();
    if (status == kNotFound) return MakeReadError(absl::StatusCode::kNotFound, "no such key");
    if (status != kOk) {
      return CloseAndFail(absl::StatusCode::kDataLoss,
                          "unexpected status " + std::to_string(status));
    }
    ConfigurationValue value;
    if (!ParseRevision(exchange_->header().getHeader("X-Revision"), &value.revision)) {
      return CloseAndFail(absl::StatusCode::kDataLoss, "response has no valid X-Revision");
    }
    value.text = exchange_->TakeBody();
    return std::optional<ConfigurationValue>(std::move(value));
  }

  absl::Status MakeReadError(absl::StatusCode code, const std::string& message) const {
    return MakeError(code, {"read configuration", Address().ToString()}, message);
  }

  // Returns an error and closes the connection, whose state is unknown.
  absl::Status CloseAndFail(absl::StatusCode code, const std::string& message) {
    exchange_.reset();
    return MakeReadError(code, message);
  }

  const SocketAddress& Address() const { return options_.addresses[address_index_]; }

  const Options options_;
  std::size_t address_index_;
  std::atomic<bool> cancelled_{false};
  cxxtools::Selector selector_;
  std::unique_ptr<Exchange> exchange_;
};

PlatformClient::PlatformClient(const Options& options)
    : implementation_(std::make_unique<Implementation>(options)) {}

PlatformClient::~PlatformClient() = default;

absl::StatusOr<std::optional<ConfigurationValue>> PlatformClient::Read(const std::string& key,
                                                                       Revision after,
                                                                       Duration wait,
                                                                       Duration timeout) {
  return implementation_->Read(key, after, wait, timeout);
}

void PlatformClient::UseNextAddress() { implementation_->UseNextAddress(); }

void PlatformClient::Cancel() { implementation_->Cancel(); }

}  // namespace primroseweir
