#include "primroseweir/http/server_connection.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "primroseweir/http/detail/message_stream.h"
#include "primroseweir/http/message_writer.h"

namespace primroseweir {
namespace {

constexpr auto kMaxLingerTime = std::chrono::seconds(1);

Instant NoDeadline() { return MonotonicNow() + std::chrono::hours(24); }

}  // namespace

ServerConnection::ServerConnection(std::unique_ptr<SocketStream> socket,
                                   const MessageLimits& limits,
                                   const std::atomic<bool>* server_stopping)
    : stream_(std::make_unique<detail::MessageStream>(std::move(socket),
                                                      MessageParser::Kind::kRequest, limits)),
      server_stopping_(server_stopping) {}

ServerConnection::~ServerConnection() = default;

void ServerConnection::SetWaitHooks(const WaitHooks& hooks) {
  wait_hooks_ = hooks;
  socket()->SetWriteWaitHooks(hooks);
}

// ---- request ----

bool ServerConnection::WaitForRequest(int stop_event) {
  if (stream_->has_buffered_input()) {
    return true;
  }
  std::array<pollfd, 2> descriptors{};
  descriptors[0] = {socket()->descriptor(), POLLIN, 0};
  descriptors[1] = {stop_event, POLLIN, 0};
  const auto idle_timeout = static_cast<int>(ToMilliseconds(stream_->limits().idle_timeout));
  const int ready = poll(descriptors.data(), stop_event < 0 ? 1 : 2, idle_timeout);
  return ready > 0 && descriptors[0].revents != 0;
}

absl::Status ServerConnection::ReadHead() {
  auto status = stream_->ReadHead(MonotonicNow() + stream_->limits().head_timeout);
  head_read_at_ = MonotonicNow();
  return status;
}

RequestHead* ServerConnection::request() { return stream_->parser()->request(); }

void ServerConnection::SendContinueIfExpected() {
  if (is_continue_sent_ || has_response_begun_ || is_request_complete() ||
      !EqualsIgnoreCase(request()->fields.Get("Expect"), "100-continue")) {
    return;
  }
  is_continue_sent_ = true;
  stream_->Begin("HTTP/1.1 100 Continue\r\n\r\n", BodyFraming());
  // A failed write can be ignored: the next read fails too.
  stream_->Flush(NoDeadline()).IgnoreError();
}

absl::StatusOr<std::string_view> ServerConnection::ReadBody(Instant deadline) {
  const auto available = TryReadBody();
  if (!available.ok()) {
    return available.status();
  }
  if (available->has_value()) {
    return **available;
  }
  auto piece = stream_->ReadBody(deadline);
  const auto status = EndBodyWait();
  return status.ok() ? piece : status;
}

absl::StatusOr<std::optional<std::string_view>> ServerConnection::TryReadBody() {
  SendContinueIfExpected();
  auto piece = stream_->TryReadBody();
  if (piece.ok() && !piece->has_value()) {
    if (!std::exchange(is_waiting_for_body_, true)) {
      wait_hooks_.on_start(head_read_at_);
    }
    return piece;
  }
  const auto status = EndBodyWait();
  return status.ok() ? piece : status;
}

absl::Status ServerConnection::EndBodyWait() {
  if (std::exchange(is_waiting_for_body_, false) && !wait_hooks_.on_end()) {
    return absl::UnavailableError("the connection was closed to make room for others");
  }
  return absl::OkStatus();
}

bool ServerConnection::is_request_complete() const {
  return stream_->parser()->is_message_complete();
}

// ---- response ----

absl::Status ServerConnection::Respond(ResponseHead head, std::string_view body) {
  head.body = {body.empty() ? BodyKind::kNone : BodyKind::kLength, body.size()};
  const bool is_response_to_head = request()->method == "HEAD";
  if (is_response_to_head) {
    head.fields.Set("Content-Length", std::to_string(body.size()));
    head.body = BodyFraming();
  }
  Begin(std::move(head));
  return End(is_response_to_head ? std::string_view() : body, NoDeadline());
}

void ServerConnection::Begin(ResponseHead head) {
  // Whoever responds reads no more of the body. A failure shows in the writes that follow.
  EndBodyWait().IgnoreError();
  const bool supports_chunks = request()->minor_version >= 1;
  if (head.body.kind == BodyKind::kUntilClose || head.body.kind == BodyKind::kChunked) {
    head.body.kind = supports_chunks ? BodyKind::kChunked : BodyKind::kUntilClose;
  }
  should_close_ = should_close_ || (server_stopping_ != nullptr && server_stopping_->load()) ||
                  !request()->keep_alive || !is_request_complete() ||
                  head.body.kind == BodyKind::kUntilClose || !stream_->parser()->is_head_complete();
  head.keep_alive = !should_close_;
  has_response_begun_ = true;
  stream_->Begin(SerializeHead(head, request()->method == "HEAD"), head.body);
}

absl::Status ServerConnection::WriteBody(std::string_view piece, Instant deadline) {
  return stream_->Write(piece, deadline);
}

absl::Status ServerConnection::Flush(Instant deadline) { return stream_->Flush(deadline); }

absl::Status ServerConnection::End(std::string_view last_piece, Instant deadline) {
  auto status = stream_->End(last_piece, deadline);
  has_response_ended_ = status.ok();
  return status;
}

void ServerConnection::Abort() {
  is_aborted_ = true;
  should_close_ = true;
  wait_hooks_.on_close();
  stream_->socket()->Reset();
}

// ---- connection ----

bool ServerConnection::StartNextRequest() {
  if (!has_response_ended_ && !is_aborted_) {
    Abort();
  }
  if (should_close_ || !is_request_complete()) {
    return false;
  }
  has_response_begun_ = has_response_ended_ = is_continue_sent_ = false;
  stream_->StartNextMessage(false);
  return true;
}

// Closing a socket with unread input resets the connection, which could discard a response that the
// caller has not read yet.
void ServerConnection::Linger() {
  if (is_aborted_) {
    return;
  }
  socket()->ShutdownWrite();
  const auto deadline = MonotonicNow() + kMaxLingerTime;
  std::array<char, 4096> discarded{};
  while (socket()->WaitReadable(deadline).ok()) {
    auto count = socket()->Read(discarded.data(), discarded.size());
    if (!count.ok() || (count->has_value() && **count == 0)) {
      return;
    }
  }
}

bool ServerConnection::HasPeerClosed() const { return stream_->socket()->HasPeerClosed(); }
SocketStream* ServerConnection::socket() const { return stream_->socket(); }

}  // namespace primroseweir
