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
  const auto [last, error] = std::from_chars(text, end, number);
  if (error != std::errc() || last != end || number == 0) return false;
  *revision = Revision(number);
  return true;
}

// One request on its own connection state. cxxtools reports through signals.
class Exchange : public cxxtools::Connectable {
 public:
  Exchange(cxxtools::Selector* selector, const SocketAddress& address)
      : client_(*selector, address.ip, address.port) {
    cxxtools::connect(client_.bodyAvailable, *this, &Exchange::OnBody);
    cxxtools::connect(client_.replyFinished, *this, &Exchange::OnFinished);
  }

  void Begin(const std::string& url) {
    finished_ = false;
    body_.clear();
    request_.clear();
    const std::size_t query = url.find('?');
    request_.url(url.substr(0, query));
    request_.qparams(url.substr(query + 1));
    client_.beginExecute(request_);
  }

  // Throws when the exchange failed.
  void End() { client_.endExecute(); }

  bool finished() const { return finished_; }
  bool too_long() const { return body_.size() > kMaxValueBytes; }
  std::string TakeBody() {
    if (too_long()) body_.resize(kMaxValueBytes + 1);
    return std::move(body_);
  }
  const cxxtools::http::ReplyHeader& header() const { return client_.header(); }

 private:
  std::size_t OnBody(cxxtools::http::Client& client) {
    char buffer[16 * 1024];
    const std::streamsize read = client.in().readsome(buffer, sizeof(buffer));
    // One byte beyond the limit suffices for the verdict; the rest is not kept.
    if (!too_long()) body_.append(buffer, static_cast<std::size_t>(read));
    return static_cast<std::size_t>(read);
  }

  void OnFinished(cxxtools::http::Client&) { finished_ = true; }

  cxxtools::http::Client client_;
  cxxtools::http::Request request_;
  std::string body_;
  bool finished_ = false;
};

}  // namespace

class PlatformClient::Implementation {
 public:
  explicit Implementation(const Options& options)
      : options_(options), position_(options.first % options.addresses.size()) {}

  absl::StatusOr<std::optional<ConfigurationValue>> Read(const std::string& key, Revision after,
                                                         Duration wait, Duration limit) {
    const std::string url = "/v1/values/" + key + "?after=" + std::to_string(after.value()) +
                            "&wait_ms=" + std::to_string(ToMilliseconds(wait));
    const Instant deadline = MonotonicNow() + limit;
    // A kept connection may have been closed by the service; one new connection is tried.
    const bool kept = exchange_ != nullptr;
    auto result = ReadOnce(url, deadline);
    if (kept && result.status().code() == absl::StatusCode::kUnavailable) {
      result = ReadOnce(url, deadline);
    }
    return result;
  }

  void UseNextAddress() {
    exchange_.reset();
    position_ = (position_ + 1) % options_.addresses.size();
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
      while (!exchange_->finished()) {
        if (cancelled_.load()) return Fail(absl::StatusCode::kCancelled, "cancelled");
        const std::int64_t left = ToMilliseconds(deadline - MonotonicNow());
        if (left <= 0) return Fail(absl::StatusCode::kDeadlineExceeded, "no answer in time");
        selector_.wait(cxxtools::Milliseconds(static_cast<double>(left)));
      }
      exchange_->End();
      return Take();
    } catch (const std::exception& error) {
      return Fail(absl::StatusCode::kUnavailable, error.what());
    }
  }

  Result Take() {
    const unsigned status = exchange_->header().httpReturnCode();
    if (status == kNotModified) return std::optional<ConfigurationValue>();
    if (status == kNotFound) return Error(absl::StatusCode::kNotFound, "no such key");
    if (status != kOk) {
      return Fail(absl::StatusCode::kDataLoss, "status " + std::to_string(status));
    }
    ConfigurationValue value;
    if (!ParseRevision(exchange_->header().getHeader("X-Revision"), &value.revision)) {
      return Fail(absl::StatusCode::kDataLoss, "no valid X-Revision");
    }
    value.text = exchange_->TakeBody();
    return std::optional<ConfigurationValue>(std::move(value));
  }

  absl::Status Error(absl::StatusCode code, const std::string& message) const {
    return MakeError(code, {"read configuration", Address().ToString()}, message);
  }

  // Also gives up the connection, whose state is unknown.
  absl::Status Fail(absl::StatusCode code, const std::string& message) {
    exchange_.reset();
    return Error(code, message);
  }

  const SocketAddress& Address() const { return options_.addresses[position_]; }

  const Options options_;
  std::size_t position_;
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
                                                                       Duration limit) {
  return implementation_->Read(key, after, wait, limit);
}

void PlatformClient::UseNextAddress() { implementation_->UseNextAddress(); }

void PlatformClient::Cancel() { implementation_->Cancel(); }

}  // namespace primroseweir
