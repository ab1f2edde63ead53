#include "primroseweir/loop/http_server_stream.h"

#include <algorithm>
#include <cstdio>
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

std::string ChunkHead(std::size_t size) {
  char buffer[24];
  const int length = std::snprintf(buffer, sizeof buffer, "%zx\r\n", size);
  return {buffer, static_cast<std::size_t>(length)};
}

}  // namespace

HttpServerStream::HttpServerStream(HttpPort* port, std::unique_ptr<TcpStream> stream, Instant now)
    : port_(port),
      stream_(std::move(stream)),
      parser_(MessageParser::Kind::kRequest, ParserLimits(port->limits())),
      since_(now) {}

HttpServerStream::~HttpServerStream() { Account(0); }

Instant HttpServerStream::Now() const { return EventLoop::Now(); }

// ---- request ----

void HttpServerStream::OnData(const char* data, std::size_t size) {
  if (state_ == State::kLingering) {
    return;
  }
  input_.append(data, size);
  Account(input_.size() + body_.size());
  if (state_ == State::kServing) {
    // The connection must stay readable, or a caller that leaves would go unnoticed.
    if (input_.size() > kReadAhead) {
      stream_->PauseReading();
      paused_ = true;
    }
    return;
  }
  Feed();
}

void HttpServerStream::Account(std::size_t bytes) {
  port_->Account(static_cast<std::int64_t>(bytes) - static_cast<std::int64_t>(accounted_));
  accounted_ = bytes;
}

void HttpServerStream::Feed() {
  feeding_ = true;
  while (state_ != State::kServing && state_ != State::kLingering && !input_.empty()) {
    if (state_ == State::kIdle) {
      state_ = State::kReading;
      since_ = Now();
    }
    const auto used = parser_.Feed(input_.data(), input_.size(), &body_);
    if (!used.ok()) {
      Fault(HttpStatusOfFault(used.status()));
      break;
    }
    input_.erase(0, *used);
    if (parser_.head_complete() && !CheckHead()) {
      break;
    }
    if (parser_.message_complete()) {
      Deliver();
    }
  }
  feeding_ = false;
  if (ended_) {
    Remove();
  }
}

// Answers whether the request may go on.
bool HttpServerStream::CheckHead() {
  const auto limits = port_->limits();
  const auto& body = parser_.request()->body;
  if (body_.size() > limits.body_bytes ||
      (body.kind == BodyKind::kLength && body.length > limits.body_bytes)) {
    Fault(kBodyTooLarge);
    return false;
  }
  if (!parser_.message_complete()) {
    since_ = Now();
    if (port_->OverMemory()) {
      Fault(kUnavailable);
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
  since_ = Now();
  auto* head = parser_.request();
  close_after_ = !head->keep_alive || port_->closing();
  port_->sink()->OnRequest(this, head, std::move(body_));
}

void HttpServerStream::Fault(int status) {
  state_ = State::kServing;
  close_after_ = true;
  ResponseHead head;
  head.status = status;
  Answer(std::move(head), std::string());
}

// ---- answer ----

void HttpServerStream::Answer(ResponseHead head, const std::string& body) {
  head.body = {body.empty() ? BodyKind::kNone : BodyKind::kLength, body.size()};
  close_after_ = close_after_ || port_->closing();
  head.keep_alive = !close_after_;
  const bool bodiless = parser_.head_complete() && parser_.request()->method == "HEAD";
  auto bytes = SerializeHead(head, bodiless);
  if (!bodiless) {
    bytes += body;
  }
  stream_->Write(std::move(bytes));
  Finish();
}

void HttpServerStream::BeginAnswer(ResponseHead head) {
  close_after_ = close_after_ || port_->closing();
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
  stream_->Write(chunked_ ? ChunkHead(piece.size()) + piece + "\r\n" : piece);
}

void HttpServerStream::EndAnswer() {
  if (chunked_) {
    stream_->Write("0\r\n\r\n");
    chunked_ = false;
  }
  Finish();
}

void HttpServerStream::Abort() {
  stream_->Reset();
  state_ = State::kLingering;
  Remove();
}

std::size_t HttpServerStream::pending() const { return stream_->pending(); }

void HttpServerStream::Finish() {
  since_ = Now();
  if (close_after_) {
    state_ = State::kLingering;
    input_.clear();
    stream_->ShutdownWrite();
    if (std::exchange(paused_, false)) {
      stream_->ResumeReading();
    }
    return;
  }
  state_ = State::kIdle;
  parser_.Reset();
  body_.clear();
  Account(input_.size());
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
    port_->sink()->OnCallerGone(this);
  }
  Remove();
}

void HttpServerStream::OnDrained() {
  if (state_ == State::kServing) {
    port_->sink()->OnCallerReady(this);
  }
}

void HttpServerStream::CheckTime(Instant now) {
  const auto limits = port_->limits();
  switch (state_) {
    case State::kIdle:
      if (now - since_ > limits.idle) {
        Remove();
      }
      break;
    case State::kReading:
      if (now - since_ > (head_checked_ ? Duration(kBodyPause) : limits.head_time)) {
        Fault(kRequestTimeout);
      }
      break;
    case State::kLingering:
      if (now - since_ > kLinger) {
        Remove();
      }
      break;
    case State::kServing:
      break;
  }
}

void HttpServerStream::CloseIfIdle() {
  if (state_ == State::kIdle) {
    Remove();
  }
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
