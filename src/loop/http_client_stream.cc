#include "primroseweir/loop/http_client_stream.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "primroseweir/base/compact_append.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kFirstRedirection = 300;
constexpr int kFirstErrorStatus = 400;
constexpr int kMisdirectedStatus = 421;

// Returns the `timeout` parameter of the Keep-Alive field; zero if there is none.
Duration KeepAliveTimeoutOf(const HeaderFields& fields) {
  const auto text = fields.Get("Keep-Alive");
  constexpr char kParameter[] = "timeout=";
  const auto position = text.find(kParameter);
  if (position == std::string::npos) {
    return Duration::zero();
  }
  return std::chrono::seconds(std::atoi(text.c_str() + position + sizeof kParameter - 1));
}

}  // namespace

HttpClientStream::HttpClientStream(EventLoop* loop, const SocketAddress& address)
    : loop_(loop), address_(address), parser_(MessageParser::Kind::kResponse) {
  stream_ = TcpStream::Connect(loop, address, this);
}

HttpClientStream::~HttpClientStream() {
  loop_->connections().memory().Charge(-charged_bytes_);
  if (awaits_response_ && is_connected_) {
    // After a regular close the kernel would still deliver a request that a cut link has held up.
    stream_->Reset();
  }
}

void HttpClientStream::UpdateCharge() {
  const auto bytes = static_cast<std::int64_t>(AllocatedBytes(input_) + AllocatedBytes(body_));
  loop_->connections().memory().Charge(bytes - std::exchange(charged_bytes_, bytes));
}

void HttpClientStream::Send(const RequestHead& head, const std::string& body, Echo echo,
                            HttpClientCallbacks* callbacks) {
  callbacks_ = callbacks;
  awaits_response_ = true;
  echo_ = std::move(echo);
  is_reusable_ = false;
  is_head_request_ = head.method == "HEAD";
  parser_.Reset(is_head_request_);
  body_.clear();
  interim_responses_ = 0;
  stray_bytes_ = 0;
  is_request_chunked_ = head.body.kind == BodyKind::kChunked;
  is_sending_body_ = is_request_chunked_ ||
                     (head.body.kind == BodyKind::kLength && body.size() < head.body.length);
  auto bytes = SerializeHead(head);
  bytes += is_request_chunked_ && !body.empty() ? SerializeChunk(body) : body;
  Write(std::move(bytes));
  if (is_connected_) {
    callbacks_->OnSent();
  }
}

void HttpClientStream::SendPiece(const std::string& piece, bool last) {
  if (callbacks_ == nullptr || !is_sending_body_) {
    return;
  }
  auto bytes = is_request_chunked_ && !piece.empty() ? SerializeChunk(piece) : piece;
  if (last) {
    is_sending_body_ = false;
    bytes += is_request_chunked_ ? kLastChunk : "";
  }
  Write(std::move(bytes));
}

void HttpClientStream::Write(std::string bytes) {
  if (is_connected_) {
    stream_->Write(std::move(bytes));
  } else {
    unsent_ = unsent_.empty() ? std::move(bytes) : unsent_ + bytes;
  }
}

std::size_t HttpClientStream::pending_bytes() const {
  return unsent_.size() + stream_->pending_bytes();
}

void HttpClientStream::Abandon() {
  callbacks_ = nullptr;
  is_reusable_ = false;
  is_broken_ = true;
}

void HttpClientStream::PauseReading() { stream_->PauseReading(); }
void HttpClientStream::ResumeReading() { stream_->ResumeReading(); }

void HttpClientStream::OnConnected() {
  is_connected_ = true;
  if (callbacks_ != nullptr && !unsent_.empty()) {
    stream_->Write(std::exchange(unsent_, std::string()));
    callbacks_->OnSent();
  }
}

void HttpClientStream::OnWriteDrained() {
  if (callbacks_ != nullptr) {
    callbacks_->OnWriteDrained();
  }
}

void HttpClientStream::OnData(const char* data, std::size_t size) {
  if (callbacks_ == nullptr) {
    // No request waits for this input, and it may never end.
    is_broken_ = true;
    stream_->PauseReading();
    return;
  }
  last_received_at_ = EventLoop::Now();
  AppendCompactly(&input_, {data, size});
  while (!input_.empty() && ParseInput()) {
  }
}

// Parses more of the input. Returns false after a call of the listener, which may have destroyed
// this stream.
bool HttpClientStream::ParseInput() {
  using Failure = HttpClientCallbacks::Failure;
  const auto used = parser_.Feed(input_.data(), input_.size(), &body_);
  if (!used.ok()) {
    Fail(absl::IsOutOfRange(used.status()) ? Failure::kOversized : Failure::kMalformed);
    return false;
  }
  input_.erase(0, *used);
  if (input_.empty() && input_.capacity() > kMaxKeptInputBytes) {
    input_ = std::string();
  }
  UpdateCharge();
  if (!parser_.is_head_complete()) {
    return true;
  }
  if (parser_.response()->status < kFirstFinalStatus) {
    if (++interim_responses_ > kMaxInterimResponses) {
      Fail(Failure::kOversized);
      return false;
    }
    parser_.Reset(is_head_request_);
    return true;
  }
  if (!IsExpectedResponse()) {
    return DiscardStrayResponse(*used);
  }
  if (parser_.is_message_complete()) {
    Complete();
    return false;
  }
  if (body_.size() > MaxBufferedBytes()) {
    auto piece = std::exchange(body_, std::string());
    UpdateCharge();
    callbacks_->OnResponse(parser_.response(), std::move(piece), false);
    return false;
  }
  return true;
}

std::size_t HttpClientStream::MaxBufferedBytes() {
  // An error may be followed by a retry, so it is held until it is complete.
  const bool is_success = parser_.response()->status < kFirstRedirection;
  return is_success && loop_->connections().memory().is_short() ? kMaxBufferedBytesIfShort
                                                                : kMaxBufferedBytes;
}

bool HttpClientStream::DiscardStrayResponse(std::size_t used) {
  may_be_desynchronized_ = may_receive_copies_ = true;
  if (IsUnidentifiedError()) {
    callbacks_->OnUnidentifiedError();
  }
  stray_bytes_ += used;
  body_.clear();
  if (stray_bytes_ > kMaxStrayBytes) {
    Fail(HttpClientCallbacks::Failure::kOversized);
    return false;
  }
  if (parser_.is_message_complete()) {
    parser_.Reset(is_head_request_);
  }
  return true;
}

bool HttpClientStream::IsExpectedResponse() {
  if (echo_.field.empty()) {
    return true;
  }
  const auto value = parser_.response()->fields.Find(echo_.field);
  if (echo_.value.empty()) {
    return !value || value->empty();
  }
  if (!value) {
    // Another server at the address may not read the request, so it cannot echo the field. Only the
    // first response on a connection is no copy of an earlier one.
    return parser_.response()->status == kMisdirectedStatus && !may_receive_copies_;
  }
  return *value == echo_.value;
}

bool HttpClientStream::IsUnidentifiedError() {
  return !echo_.value.empty() && parser_.response()->status >= kFirstErrorStatus &&
         !parser_.response()->fields.Find(echo_.field).has_value();
}

void HttpClientStream::Complete() {
  auto* head = parser_.response();
  awaits_response_ = false;
  may_receive_copies_ = true;
  keep_alive_timeout_ = KeepAliveTimeoutOf(head->fields);
  idle_since_ = EventLoop::Now();
  // After a response that arrives before the whole request was written, the next response on the
  // connection may not belong to the next request.
  is_reusable_ = head->keep_alive && input_.empty() && !may_be_desynchronized_ && !is_broken_ &&
                 !is_sending_body_ && stream_->pending_bytes() == 0;
  auto* callbacks = std::exchange(callbacks_, nullptr);
  auto body = std::exchange(body_, std::string());
  if (input_.empty()) {
    // An idle connection needs no buffer.
    input_ = std::string();
  }
  UpdateCharge();
  callbacks->OnResponse(head, std::move(body), true);
}

void HttpClientStream::Fail(HttpClientCallbacks::Failure failure) {
  is_broken_ = true;
  is_reusable_ = false;
  if (auto* callbacks = std::exchange(callbacks_, nullptr)) {
    callbacks->OnFailure(failure);
  }
}

void HttpClientStream::OnEnd(bool clean) {
  const bool was_connected = is_connected_;
  is_broken_ = true;
  if (callbacks_ == nullptr) {
    return;
  }
  if (clean && parser_.is_head_complete() && parser_.FeedEnd().ok() && IsExpectedResponse()) {
    Complete();
    return;
  }
  using Failure = HttpClientCallbacks::Failure;
  const auto failure = clean ? Failure::kClosed : Failure::kReset;
  Fail(was_connected ? failure : Failure::kConnect);
}

}  // namespace primroseweir
