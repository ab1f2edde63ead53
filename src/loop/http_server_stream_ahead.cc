// Requests that are served while an earlier one of their connection is in progress.
#include <string_view>
#include <utility>

#include "primroseweir/http/message_parser.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/loop/pipelined_exchange.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {

bool HttpServerStream::IsPlainGet(const RequestHead& head) const {
  return head.method == "GET" && head.minor_version >= 1 && head.keep_alive &&
         head.body.kind == BodyKind::kNone && port_->sink()->MayServeAhead(head);
}

bool HttpServerStream::MayReadAhead() const {
  return state_ == State::kServing && !is_next_blocked_ && !is_receiving_body_ &&
         !close_after_response_ && ahead_.size() < kMaxRequestsAhead && !port_->is_draining() &&
         port_->HasRoomAhead() && stream_->pending_bytes() <= kMaxPendingResponseBytes;
}

bool HttpServerStream::DeliverAllAhead() {
  bool has_delivered = false;
  is_parsing_ = true;
  while (has_input() && !ShouldRead() && DeliverAhead()) {
    has_delivered = true;
  }
  is_parsing_ = false;
  return has_delivered;
}

bool HttpServerStream::DeliverAhead() {
  constexpr std::string_view kEndOfHead = "\r\n\r\n";
  if (!MayReadAhead()) {
    return false;
  }
  const auto input = std::string_view(input_).substr(input_begin_);
  const auto end = input.substr(0, kMaxHeadBytesAhead).find(kEndOfHead);
  if (end == std::string_view::npos) {
    is_next_blocked_ = input.size() > kMaxHeadBytesAhead;
    return false;
  }
  if (current_ahead_ == nullptr && !IsPlainGet(*parser_.request())) {
    is_next_blocked_ = true;
    return false;
  }
  // The head is parsed from a copy: one that may not be served ahead stays in the input until its
  // turn.
  MessageParser parser(MessageParser::Kind::kRequest, ParserLimits(port_->limits()));
  std::string body;
  const auto used = parser.Feed(input.data(), end + kEndOfHead.size(), &body);
  if (!used.ok() || !parser.is_message_complete() || !IsPlainGet(*parser.request())) {
    is_next_blocked_ = true;
    return false;
  }
  ConsumeInput(*used);
  ahead_.push_back(std::make_unique<PipelinedExchange>(this, std::move(*parser.request()),
                                                       [this](std::int64_t change) {
                                                         port_->UpdateBytesAhead(change);
                                                         UpdateBufferedBytes();
                                                       }));
  auto* exchange = ahead_.back().get();
  port_->sink()->OnRequest(exchange, exchange->head(), std::string());
  return true;
}

void HttpServerStream::StartNextTurn() {
  current_ahead_ = std::move(ahead_.front());
  ahead_.pop_front();
  state_ = State::kServing;
  // The response may be complete already, which ends the turn at once.
  current_ahead_->StartTurn();
  if (current_ahead_ != nullptr && stream_->pending_bytes() == 0) {
    // The sink may wait for room, which no event announces if all bytes have left at once.
    port_->sink()->OnCallerWritable(current());
  }
}

void HttpServerStream::DropRequestsAhead() {
  // The end of each exchange updates the account, which looks at all that are in `ahead_`.
  const auto dropped = std::exchange(ahead_, {});
  // The last one first, so that none of them is sent when an earlier one makes room.
  for (auto exchange = dropped.rbegin(); exchange != dropped.rend(); ++exchange) {
    port_->sink()->OnCallerDisconnected(exchange->get());
  }
}

std::size_t HttpServerStream::HeldAheadBytes() const {
  std::size_t bytes = 0;
  for (const auto& exchange : ahead_) {
    bytes += exchange->held_bytes();
  }
  return bytes;
}

HttpServerExchange* HttpServerStream::current() {
  return current_ahead_ != nullptr ? static_cast<HttpServerExchange*>(current_ahead_.get()) : this;
}

}  // namespace primroseweir
