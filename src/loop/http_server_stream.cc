#include "primroseweir/loop/http_server_stream.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "primroseweir/http/message_writer.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

MessageLimits ParserLimits(const CallerLimits& limits) {
  MessageLimits result;
  result.head_bytes = limits.head_bytes;
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
  if (ShouldRead()) {
    Feed();
  } else if (input_.size() > kMaxPipelinedBytes && !paused_) {
    // Below that the connection stays readable, or a caller that leaves would go unnoticed.
    stream_->PauseReading();
    paused_ = true;
  }
}

bool HttpServerStream::ShouldRead() const {
  return receiving_ ? !body_paused_ : state_ == State::kIdle || state_ == State::kReading;
}

void HttpServerStream::UpdateBufferedBytes() {
  const auto bytes = input_.size() + body_.size() + sink_buffered_;
  port_->UpdateBufferedBytes(static_cast<std::int64_t>(bytes) -
                             static_cast<std::int64_t>(reported_bytes_));
  reported_bytes_ = bytes;
}

void HttpServerStream::SetSinkBufferedBytes(std::size_t bytes) {
  sink_buffered_ = bytes;
  UpdateBufferedBytes();
}

void HttpServerStream::Feed() {
  feeding_ = true;
  while (ShouldRead() && !input_.empty()) {
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
    if (parser_.head_complete() && !CheckHead()) {
      break;
    }
    if (receiving_) {
      ForwardPiece();
    } else if (parser_.message_complete() ||
               (body_.size() > kMinStreamedBodyBytes &&
                port_->sink()->ShouldStreamBody(*parser_.request()))) {
      Deliver();
    }
  }
  feeding_ = false;
  if (ended_) {
    Remove();
    return;
  }
  UpdateBufferedBytes();
}

// Answers whether the request may go on.
bool HttpServerStream::CheckHead() {
  const auto limits = port_->limits();
  const auto& body = parser_.request()->body;
  if (forwarded_bytes_ + body_.size() > limits.body_bytes ||
      (body.kind == BodyKind::kLength && body.length > limits.body_bytes)) {
    RejectRequest(kBodyTooLarge);
    return false;
  }
  if (!parser_.message_complete()) {
    state_since_ = Now();
    if (!receiving_ && port_->IsOverMemoryLimit()) {
      RejectRequest(kUnavailable);
      return false;
    }
  }
  if (!std::exchange(head_checked_, true) && !parser_.message_complete() &&
      EqualsIgnoreCase(parser_.request()->fields.Get("Expect"), "100-continue")) {
    stream_->Write(kContinue);
  }
  return true;
}

void HttpServerStream::Deliver() {
  state_ = State::kServing;
  served_ = true;
  state_since_ = Now();
  receiving_ = !parser_.message_complete();
  auto* head = parser_.request();
  close_after_ = !head->keep_alive || port_->closing();
  sink_buffered_ = forwarded_bytes_ = body_.size();
  port_->sink()->OnRequest(this, head, std::exchange(body_, std::string()));
}

void HttpServerStream::ForwardPiece() {
  receiving_ = !parser_.message_complete();
  forwarded_bytes_ += body_.size();
  port_->sink()->OnBodyPiece(this, std::exchange(body_, std::string()), !receiving_);
}

void HttpServerStream::PauseBody() { body_paused_ = true; }

void HttpServerStream::ResumeBody() {
  if (!std::exchange(body_paused_, false)) {
    return;
  }
  state_since_ = Now();
  if (std::exchange(paused_, false)) {
    stream_->ResumeReading();
  }
  if (!feeding_ && ShouldRead()) {
    Feed();
  }
}

void HttpServerStream::RejectRequest(int status) {
  if (receiving_) {
    port_->sink()->OnBodyError(this, status);
    return;
  }
  state_ = State::kServing;
  close_after_ = true;
  ResponseHead head;
  head.status = status;
  Respond(std::move(head), std::string());
}

// ---- answer ----

void HttpServerStream::Respond(ResponseHead head, const std::string& body) {
  head.body = {body.empty() ? BodyKind::kNone : BodyKind::kLength, body.size()};
  close_after_ = close_after_ || receiving_ || port_->closing();
  head.keep_alive = !close_after_;
  const bool bodiless = parser_.head_complete() && parser_.request()->method == "HEAD";
  auto bytes = SerializeHead(head, bodiless);
  if (!bodiless) {
    bytes += body;
  }
  stream_->Write(std::move(bytes));
  Finish();
}

void HttpServerStream::BeginResponse(ResponseHead head) {
  close_after_ = close_after_ || receiving_ || port_->closing();
  chunked_ = head.body.kind == BodyKind::kChunked || head.body.kind == BodyKind::kUntilClose;
  if (chunked_ && parser_.request()->minor_version == 0) {
    chunked_ = false;
    close_after_ = true;
    head.body.kind = BodyKind::kUntilClose;
  } else if (chunked_) {
    head.body.kind = BodyKind::kChunked;
  }
  head.keep_alive = !close_after_;
  stream_->Write(SerializeHead(head, false));
}

void HttpServerStream::WritePiece(const std::string& piece) {
  if (piece.empty()) {
    return;
  }
  stream_->Write(chunked_ ? SerializeChunk(piece) : piece);
}

void HttpServerStream::EndResponse() {
  if (chunked_) {
    stream_->Write(kLastChunk);
    chunked_ = false;
  }
  Finish();
}

void HttpServerStream::Abort() {
  stream_->Reset();
  state_ = State::kLingering;
  receiving_ = false;
  Remove();
}

std::size_t HttpServerStream::pending_bytes() const { return stream_->pending_bytes(); }

void HttpServerStream::Finish() {
  request_started_ = state_since_ = Now();
  receiving_ = body_paused_ = false;
  sink_buffered_ = forwarded_bytes_ = 0;
  if (close_after_) {
    state_ = State::kLingering;
    input_.clear();
    body_.clear();
    UpdateBufferedBytes();
    stream_->ShutdownWrite();
    if (std::exchange(paused_, false)) {
      stream_->ResumeReading();
    }
    return;
  }
  state_ = State::kIdle;
  parser_.Reset();
  body_.clear();
  UpdateBufferedBytes();
  head_checked_ = false;
  if (std::exchange(paused_, false)) {
    stream_->ResumeReading();
  }
  if (!feeding_ && !input_.empty()) {
    Feed();
  }
}

// ---- connection ----

void HttpServerStream::OnEnd(bool /*clean*/) {
  if (state_ == State::kServing) {
    state_ = State::kLingering;
    port_->sink()->OnCallerDisconnected(this);
  }
  Remove();
}

void HttpServerStream::OnDrained() {
  if (state_ == State::kServing) {
    port_->sink()->OnCallerWritable(this);
  }
}

void HttpServerStream::CheckTimeouts(Instant now) {
  const auto limits = port_->limits();
  switch (state_) {
    case State::kIdle:
      if (port_->closing()) {
        CloseIfIdle(now);
      } else if (now - state_since_ > (stream_->pending_bytes() > 0
                                           ? std::max(kMaxResponseWriteTime, limits.idle_timeout)
                                           : limits.idle_timeout)) {
        Remove();
      }
      break;
    case State::kReading:
      if (now - state_since_ > (head_checked_ ? Duration(kBodyIdleTimeout) : limits.head_timeout) ||
          now - request_started_ > std::max(Duration(kMaxBodyTime), limits.head_timeout)) {
        RejectRequest(kRequestTimeout);
      }
      break;
    case State::kLingering:
      if (now - state_since_ > kLinger || now - request_started_ > kMaxLinger) {
        Remove();
      }
      break;
    case State::kServing:
      if (receiving_ && !body_paused_ && now - state_since_ > kStreamedBodyIdleTimeout) {
        RejectRequest(kRequestTimeout);
      }
      break;
  }
}

void HttpServerStream::CloseIfIdle(Instant now) {
  if (!busy(now)) {
    Remove();
  }
}

bool HttpServerStream::busy(Instant now) const {
  if (state_ == State::kIdle) {
    const bool expects = !served_ && now - state_since_ < kFirstRequestTimeout;
    return expects || stream_->pending_bytes() > 0 || stream_->has_input();
  }
  return state_ != State::kLingering || stream_->pending_bytes() > 0;
}

void HttpServerStream::Remove() {
  if (feeding_) {
    ended_ = true;
    return;
  }
  // Destroys this stream.
  port_->Remove(this);
}

}  // namespace primroseweir
