#include "primroseweir/loop/http_server_stream.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "primroseweir/http/message_writer.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/pipelined_exchange.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {
namespace {

constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusBodyTooLarge = 413;
constexpr int kStatusUnavailable = 503;
constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

MessageLimits ParserLimits(const CallerLimits& limits) {
  MessageLimits result;
  result.max_head_bytes = limits.max_head_bytes;
  return result;
}

}  // namespace

HttpServerStream::HttpServerStream(HttpPort* port, std::unique_ptr<TcpStream> stream, Instant now)
    : port_(port),
      stream_(std::move(stream)),
      parser_(MessageParser::Kind::kRequest, ParserLimits(port->limits())),
      state_since_(now) {}

HttpServerStream::~HttpServerStream() {
  port_->UpdateBufferedBytes(-static_cast<std::int64_t>(reported_bytes_));
}

Instant HttpServerStream::Now() const { return EventLoop::Now(); }

// ---- request ----

void HttpServerStream::OnData(const char* data, std::size_t size) {
  if (state_ == State::kLingering) {
    state_since_ = Now();
    return;
  }
  input_.append(data, size);
  UpdateBufferedBytes();
  if (ShouldRead() || MayReadAhead()) {
    ParseInput();
  } else if (input_.size() > kMaxPipelinedBytes && !is_reading_paused_) {
    // Reading continues up to this size, since a disconnect of the caller is noticed only while
    // reading.
    stream_->PauseReading();
    is_reading_paused_ = true;
  }
}

bool HttpServerStream::ShouldRead() const {
  if (is_receiving_body_) {
    return !is_body_paused_;
  }
  return state_ == State::kReading ||
         (state_ == State::kIdle && stream_->pending_bytes() <= kMaxPendingResponseBytes);
}

void HttpServerStream::UpdateBufferedBytes() {
  const auto bytes = input_.size() + body_.size() + sink_buffered_bytes_;
  port_->UpdateBufferedBytes(static_cast<std::int64_t>(bytes) -
                             static_cast<std::int64_t>(reported_bytes_));
  reported_bytes_ = bytes;
}

void HttpServerStream::SetSinkBufferedBytes(std::size_t bytes) {
  sink_buffered_bytes_ = bytes;
  UpdateBufferedBytes();
}

void HttpServerStream::ParseInput() {
  is_parsing_ = true;
  while (!input_.empty()) {
    if (!ShouldRead()) {
      if (!DeliverAhead()) {
        break;
      }
      continue;
    }
    if (state_ == State::kIdle) {
      state_ = State::kReading;
      request_started_ = state_since_ = Now();
    }
    const auto used = parser_.Feed(input_.data(), input_.size(), &body_);
    if (!used.ok()) {
      RejectRequest(HttpStatusOfFault(used.status()));
      break;
    }
    input_.erase(0, *used);
    if (parser_.is_head_complete() && !CheckRequestLimits()) {
      break;
    }
    if (is_receiving_body_) {
      ForwardBodyPiece();
    } else if (parser_.is_message_complete() ||
               (body_.size() > kMinStreamedBodyBytes &&
                port_->sink()->ShouldStreamBody(*parser_.request()))) {
      DeliverRequest();
    }
  }
  is_parsing_ = false;
  if (is_removal_pending_) {
    RemoveFromPort();
    return;
  }
  UpdateBufferedBytes();
}

// Returns false if the request exceeds a limit, or if the sink rejects it by its head; it then has
// been responded to. Otherwise sends 100 Continue to a
// caller that expects it.
bool HttpServerStream::CheckRequestLimits() {
  const auto limits = port_->limits();
  const auto& body = parser_.request()->body;
  if (forwarded_bytes_ + body_.size() > limits.max_body_bytes ||
      (body.kind == BodyKind::kLength && body.length > limits.max_body_bytes)) {
    RejectRequest(kStatusBodyTooLarge);
    return false;
  }
  if (!parser_.is_message_complete()) {
    state_since_ = Now();
    if (!is_receiving_body_ && port_->IsOverMemoryLimit()) {
      RejectRequest(kStatusUnavailable);
      return false;
    }
  }
  const bool is_first_check = !std::exchange(is_head_checked_, true);
  if (is_first_check && !parser_.is_message_complete() &&
      port_->sink()->WillReject(*parser_.request())) {
    DeliverRequest();
    return false;
  }
  if (is_first_check && !parser_.is_message_complete() &&
      EqualsIgnoreCase(parser_.request()->fields.Get("Expect"), "100-continue")) {
    stream_->Write(kContinueResponse);
  }
  return true;
}

void HttpServerStream::DeliverRequest() {
  state_ = State::kServing;
  has_served_request_ = true;
  state_since_ = Now();
  is_receiving_body_ = !parser_.is_message_complete();
  auto* head = parser_.request();
  close_after_response_ = !head->keep_alive || port_->is_draining();
  sink_buffered_bytes_ = forwarded_bytes_ = body_.size();
  port_->sink()->OnRequest(this, head, std::exchange(body_, std::string()));
}

void HttpServerStream::ForwardBodyPiece() {
  is_receiving_body_ = !parser_.is_message_complete();
  forwarded_bytes_ += body_.size();
  port_->sink()->OnBodyPiece(this, std::exchange(body_, std::string()), !is_receiving_body_);
}

void HttpServerStream::PauseBody() { is_body_paused_ = true; }

void HttpServerStream::ResumeBody() {
  if (!std::exchange(is_body_paused_, false)) {
    return;
  }
  state_since_ = Now();
  if (std::exchange(is_reading_paused_, false)) {
    stream_->ResumeReading();
  }
  if (!is_parsing_ && ShouldRead()) {
    ParseInput();
  }
}

void HttpServerStream::RejectRequest(int status) {
  if (is_receiving_body_) {
    port_->sink()->OnBodyError(this, status);
    return;
  }
  state_ = State::kServing;
  close_after_response_ = true;
  ResponseHead head;
  head.status = status;
  Respond(std::move(head), std::string());
}

// ---- requests ahead of their turn ----

bool HttpServerStream::IsPlainGet(const RequestHead& head) const {
  return head.method == "GET" && head.minor_version >= 1 && head.keep_alive &&
         head.body.kind == BodyKind::kNone && port_->sink()->MayServeAhead(head);
}

bool HttpServerStream::MayReadAhead() const {
  return state_ == State::kServing && !is_next_blocked_ && !is_receiving_body_ &&
         !close_after_response_ && ahead_.size() < kMaxRequestsAhead && !port_->is_draining() &&
         port_->HasRoomAhead() && stream_->pending_bytes() <= kMaxPendingResponseBytes;
}

bool HttpServerStream::DeliverAhead() {
  constexpr std::string_view kEndOfHead = "\r\n\r\n";
  if (!MayReadAhead()) {
    return false;
  }
  const auto end = input_.find(kEndOfHead);
  if (end == std::string::npos) {
    is_next_blocked_ = input_.size() > kMaxHeadBytesAhead;
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
  const auto used = parser.Feed(input_.data(), end + kEndOfHead.size(), &body);
  if (!used.ok() || !parser.is_message_complete() || !IsPlainGet(*parser.request())) {
    is_next_blocked_ = true;
    return false;
  }
  input_.erase(0, *used);
  ahead_.push_back(std::make_unique<PipelinedExchange>(
      this, std::move(*parser.request()),
      [port = port_](std::int64_t change) { port->UpdateBytesAhead(change); }));
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
}

void HttpServerStream::DropRequestsAhead() {
  for (const auto& exchange : ahead_) {
    port_->sink()->OnCallerDisconnected(exchange.get());
  }
  ahead_.clear();
}

HttpServerExchange* HttpServerStream::current() {
  return current_ahead_ != nullptr ? static_cast<HttpServerExchange*>(current_ahead_.get()) : this;
}

// ---- response ----

// A response that ends the connection must be the last one: requests that are served ahead keep it
// open.
void HttpServerStream::DecideClose() {
  close_after_response_ =
      close_after_response_ || is_receiving_body_ || (port_->is_draining() && ahead_.empty());
}

void HttpServerStream::Respond(ResponseHead head, const std::string& body) {
  head.body = {body.empty() ? BodyKind::kNone : BodyKind::kLength, body.size()};
  DecideClose();
  head.keep_alive = !close_after_response_;
  const bool is_response_to_head =
      parser_.is_head_complete() && parser_.request()->method == "HEAD";
  auto bytes = SerializeHead(head, is_response_to_head);
  if (!is_response_to_head) {
    bytes += body;
  }
  stream_->Write(std::move(bytes));
  FinishResponse();
}

void HttpServerStream::BeginResponse(ResponseHead head) {
  DecideClose();
  is_response_chunked_ =
      head.body.kind == BodyKind::kChunked || head.body.kind == BodyKind::kUntilClose;
  if (is_response_chunked_ && parser_.request()->minor_version == 0) {
    is_response_chunked_ = false;
    close_after_response_ = true;
    head.body.kind = BodyKind::kUntilClose;
  } else if (is_response_chunked_) {
    head.body.kind = BodyKind::kChunked;
  }
  head.keep_alive = !close_after_response_;
  stream_->Write(SerializeHead(head, false));
}

void HttpServerStream::WritePiece(const std::string& piece) {
  if (piece.empty()) {
    return;
  }
  stream_->Write(is_response_chunked_ ? SerializeChunk(piece) : piece);
}

void HttpServerStream::EndResponse() {
  if (is_response_chunked_) {
    stream_->Write(kLastChunk);
    is_response_chunked_ = false;
  }
  FinishResponse();
}

void HttpServerStream::Abort() {
  stream_->Reset();
  state_ = State::kLingering;
  is_receiving_body_ = false;
  DropRequestsAhead();
  RemoveFromPort();
}

std::size_t HttpServerStream::pending_bytes() const { return stream_->pending_bytes(); }

std::size_t HttpServerStream::unacked_bytes() const { return stream_->unacked_bytes(); }

void HttpServerStream::FinishResponse() {
  request_started_ = state_since_ = lingering_since_ = Now();
  last_unacked_bytes_ = 0;
  current_ahead_.reset();
  is_receiving_body_ = is_body_paused_ = is_next_blocked_ = false;
  sink_buffered_bytes_ = forwarded_bytes_ = 0;
  if (close_after_response_) {
    state_ = State::kLingering;
    DropRequestsAhead();
    input_.clear();
    body_.clear();
    UpdateBufferedBytes();
    stream_->ShutdownWrite();
    if (std::exchange(is_reading_paused_, false)) {
      stream_->ResumeReading();
    }
    return;
  }
  if (!ahead_.empty()) {
    StartNextTurn();
  } else {
    state_ = State::kIdle;
    parser_.Reset();
    body_.clear();
    UpdateBufferedBytes();
    is_head_checked_ = false;
  }
  if (std::exchange(is_reading_paused_, false)) {
    stream_->ResumeReading();
  }
  if (!is_parsing_ && !input_.empty()) {
    ParseInput();
  }
}

// ---- connection ----

void HttpServerStream::OnEnd(bool /*clean*/) {
  if (state_ == State::kServing) {
    state_ = State::kLingering;
    port_->sink()->OnCallerDisconnected(current());
    DropRequestsAhead();
  }
  RemoveFromPort();
}

void HttpServerStream::OnWriteDrained() {
  if (state_ == State::kServing) {
    port_->sink()->OnCallerWritable(current());
    return;
  }
  // Requests may have waited in the input for the caller to read the responses before them.
  if (std::exchange(is_reading_paused_, false)) {
    stream_->ResumeReading();
  }
  if (state_ == State::kIdle && !is_parsing_ && !input_.empty()) {
    ParseInput();
  }
}

void HttpServerStream::CheckTimeouts(Instant now) {
  const auto limits = port_->limits();
  switch (state_) {
    case State::kIdle:
      if (port_->is_draining()) {
        CloseIfIdle(now);
      } else if (now - state_since_ > limits.idle_timeout) {
        if (IsWriting(now)) {
          state_since_ = now;
        } else {
          RemoveFromPort();
        }
      }
      break;
    case State::kReading:
      if (now - state_since_ >
              (is_head_checked_ ? Duration(kBodyIdleTimeout) : limits.head_timeout) ||
          now - request_started_ > std::max(Duration(kMaxBodyTime), limits.head_timeout)) {
        RejectRequest(kStatusRequestTimeout);
      }
      break;
    case State::kLingering:
      if (IsWriting(now)) {
        state_since_ = lingering_since_ = now;
      } else if (now - state_since_ > kLingerIdleTimeout ||
                 now - lingering_since_ > kMaxLingerTime) {
        RemoveFromPort();
      }
      break;
    case State::kServing:
      if (is_receiving_body_ && !is_body_paused_ && now - state_since_ > kStreamedBodyIdleTimeout) {
        RejectRequest(kStatusRequestTimeout);
      }
      break;
  }
}

bool HttpServerStream::IsWriting(Instant now) {
  const auto unacked_bytes = stream_->unacked_bytes();
  if (unacked_bytes == 0) {
    return false;
  }
  if (std::exchange(last_unacked_bytes_, unacked_bytes) != unacked_bytes) {
    write_progress_at_ = now;
  }
  return now - write_progress_at_ <= kStalledWriteTimeout &&
         now - request_started_ <= kMaxResponseWriteTime;
}

void HttpServerStream::CloseIfIdle(Instant now) {
  if (!IsBusy(now)) {
    RemoveFromPort();
  }
}

bool HttpServerStream::IsBusy(Instant now) const {
  if (state_ == State::kIdle) {
    const bool awaits_first_request =
        !has_served_request_ && now - state_since_ < kFirstRequestTimeout;
    return awaits_first_request || stream_->pending_bytes() > 0 || stream_->has_input();
  }
  return state_ != State::kLingering || stream_->pending_bytes() > 0;
}

void HttpServerStream::RemoveFromPort() {
  if (is_parsing_) {
    is_removal_pending_ = true;
    return;
  }
  // Destroys this stream.
  port_->Remove(this);
}

}  // namespace primroseweir
