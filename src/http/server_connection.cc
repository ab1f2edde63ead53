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

constexpr auto kLingerTime = std::chrono::seconds(1);

Instant NoDeadline() { return MonotonicNow() + std::chrono::hours(24); }

}  // namespace

ServerConnection::ServerConnection(std::unique_ptr<SocketStream> socket,
                                   const MessageLimits& limits, const std::atomic<bool>* closing)
    : stream_(std::make_unique<detail::MessageStream>(std::move(socket),
                                                      MessageParser::Kind::kRequest, limits)),
      closing_(closing) {}

ServerConnection::~ServerConnection() = default;

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
  return stream_->ReadHead(MonotonicNow() + stream_->limits().head_timeout);
}

RequestHead* ServerConnection::request() { return stream_->parser()->request(); }

void ServerConnection::SendContinue() {
  if (continue_sent_ || response_begun_ || request_complete() ||
      !EqualsIgnoreCase(request()->fields.Get("Expect"), "100-continue")) {
    return;
  }
  continue_sent_ = true;
  stream_->Begin("HTTP/1.1 100 Continue\r\n\r\n", BodyFraming());
  // A failure shows again at the next read.
  stream_->Flush(NoDeadline()).IgnoreError();
}

absl::StatusOr<std::string_view> ServerConnection::ReadBody(Instant deadline) {
  SendContinue();
  return stream_->ReadBody(deadline);
}

absl::StatusOr<std::optional<std::string_view>> ServerConnection::TryReadBody() {
  SendContinue();
  return stream_->TryReadBody();
}

bool ServerConnection::request_complete() const { return stream_->parser()->message_complete(); }

// ---- answer ----

absl::Status ServerConnection::Respond(ResponseHead head, std::string_view body) {
  head.body = {body.empty() ? BodyKind::kNone : BodyKind::kLength, body.size()};
  const bool bodiless = request()->method == "HEAD";
  if (bodiless) {
    head.fields.Set("Content-Length", std::to_string(body.size()));
    head.body = BodyFraming();
  }
  Begin(std::move(head));
  return End(bodiless ? std::string_view() : body, NoDeadline());
}

void ServerConnection::Begin(ResponseHead head) {
  const bool knows_chunks = request()->minor_version >= 1;
  if (head.body.kind == BodyKind::kUntilClose || head.body.kind == BodyKind::kChunked) {
    head.body.kind = knows_chunks ? BodyKind::kChunked : BodyKind::kUntilClose;
  }
  close_ = close_ || (closing_ != nullptr && closing_->load()) || !request()->keep_alive ||
           !request_complete() || head.body.kind == BodyKind::kUntilClose ||
           !stream_->parser()->head_complete();
  head.keep_alive = !close_;
  response_begun_ = true;
  stream_->Begin(SerializeHead(head, request()->method == "HEAD"), head.body);
}

absl::Status ServerConnection::WriteBody(std::string_view piece, Instant deadline) {
  return stream_->Write(piece, deadline);
}

absl::Status ServerConnection::Flush(Instant deadline) { return stream_->Flush(deadline); }

absl::Status ServerConnection::End(std::string_view last_piece, Instant deadline) {
  auto status = stream_->End(last_piece, deadline);
  response_ended_ = status.ok();
  return status;
}

void ServerConnection::Abort() {
  aborted_ = true;
  close_ = true;
  stream_->socket()->Reset();
}

// ---- connection ----

bool ServerConnection::NextRequest() {
  if (!response_ended_ && !aborted_) {
    Abort();
  }
  if (close_ || !request_complete()) {
    return false;
  }
  response_begun_ = response_ended_ = continue_sent_ = false;
  stream_->NextMessage(false);
  return true;
}

// A close with unread input would reset the connection and could destroy the answer on its way.
void ServerConnection::Linger() {
  if (aborted_) {
    return;
  }
  socket()->ShutdownWrite();
  const auto end = MonotonicNow() + kLingerTime;
  std::array<char, 4096> scratch{};
  while (socket()->WaitReadable(end).ok()) {
    auto count = socket()->Read(scratch.data(), scratch.size());
    if (!count.ok() || (count->has_value() && **count == 0)) {
      return;
    }
  }
}

bool ServerConnection::PeerClosed() const { return stream_->socket()->PeerClosed(); }
SocketStream* ServerConnection::socket() const { return stream_->socket(); }

}  // namespace primroseweir
