#include "primroseweir/loop/http_server_stream.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "primroseweir/base/compact_append.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/pipelined_exchange.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {
namespace {

constexpr int kStatusBodyTooLarge = 413;
constexpr int kStatusUnavailable = 503;
constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

MessageLimits HttpServerStream::ParserLimits(const CallerLimits& limits) {
  MessageLimits result;
  result.max_head_bytes = limits.max_head_bytes;
  // The operators limit the size of a head only; a field has four bytes at least ("a:" and the end
  // of the line).
  result.max_fields = limits.max_head_bytes / 4;
  return result;
}

HttpServerStream::HttpServerStream(HttpPort* port, std::unique_ptr<TcpStream> stream, Instant now)
    : port_(port),
      stream_(std::move(stream)),
      parser_(MessageParser::Kind::kRequest, ParserLimits(port->limits())),
      state_since_(now),
      last_progress_at_(now),
      last_check_at_(now) {
  port_->loop()->connections().Add(this);
  UpdateBufferedBytes();
}

HttpServerStream::~HttpServerStream() {
  // These update the account.
  current_ahead_.reset();
  std::exchange(ahead_, {}).clear();
  port_->UpdateBufferedBytes(-static_cast<std::int64_t>(reported_bytes_));
  auto& connections = port_->loop()->connections();
  connections.memory().Charge(-charged_bytes_);
  connections.Remove(this);
}

Instant HttpServerStream::Now() const { return EventLoop::Now(); }

// ---- request ----

void HttpServerStream::OnData(const char* data, std::size_t size) {
  received_bytes_ += size;
  if (state_ == State::kLingering) {
    state_since_ = Now();
    return;
  }
  const auto used = !has_input() && ShouldRead() ? Parse(data, size) : 0;
  if (is_removal_pending_) {
    RemoveFromPort();
    return;
  }
  if (state_ != State::kLingering) {
    KeepInput(data + used, size - used);
  }
  UpdateBufferedBytes();
  YieldAfterMuchInput(size);
  if (has_input() && MayReadAhead()) {
    ParseInput();
    return;
  }
  HoldBackIfOverMemoryLimit();
}

void HttpServerStream::YieldAfterMuchInput(std::size_t size) {
  const auto turn = port_->loop()->turn();
  if (std::exchange(input_turn_, turn) != turn) {
    turn_bytes_ = 0;
  }
  turn_bytes_ += size;
  if (turn_bytes_ > kMaxBytesPerTurn && !is_yielding_ && !is_reading_paused_ &&
      state_ != State::kLingering) {
    stream_->PauseReading();
    is_reading_paused_ = is_yielding_ = true;
    port_->ContinueNextTurn(this);
  }
}

void HttpServerStream::HoldBackIfOverMemoryLimit() {
  auto& connections = port_->loop()->connections();
  if (connections.memory().is_over() && !is_held_back_) {
    // One turn of the loop may read megabytes on each connection.
    is_held_back_ = true;
    stream_->PauseReading();
    connections.HoldBack(this);
  }
}

void HttpServerStream::KeepInput(const char* data, std::size_t size) {
  if (size == 0) {
    return;
  }
  AppendCompactly(&input_, {data, size});
  const auto max_bytes = is_receiving_body_ ? kMaxBodyInputBytes : kMaxPipelinedBytes;
  if ((is_yielding_ || input_.size() - input_begin_ > max_bytes) && !is_reading_paused_) {
    // While a request is served, reading continues up to this size, since a disconnect of the
    // caller is noticed only while reading.
    stream_->PauseReading();
    is_reading_paused_ = true;
  }
}

void HttpServerStream::DiscardInput() {
  input_ = std::string();
  input_begin_ = 0;
}

void HttpServerStream::ResumeReading() {
  if (std::exchange(is_reading_paused_, false) && !is_held_back_) {
    stream_->ResumeReading();
  }
}

void HttpServerStream::ContinueParsing() {
  is_yielding_ = false;
  ResumeReading();
  ParseInput();
}

bool HttpServerStream::ShouldRead() const {
  if (is_receiving_body_) {
    return !is_body_paused_;
  }
  return !is_yielding_ &&
         (state_ == State::kReading ||
          (state_ == State::kIdle && stream_->pending_bytes() <= kMaxPendingResponseBytes));
}

void HttpServerStream::UpdateBufferedBytes() {
  const auto bytes = input_.size() - input_begin_ + body_.size() + sink_buffered_bytes_;
  port_->UpdateBufferedBytes(static_cast<std::int64_t>(bytes) -
                             static_cast<std::int64_t>(reported_bytes_));
  reported_bytes_ = bytes;
  // The sink has a copy of the head.
  const auto head_bytes = parser_.request()->fields.allocated_bytes();
  auto call_bytes = state_ == State::kServing ? kCallBytes + head_bytes : 0;
  call_bytes += ahead_.size() * kCallBytes + HeldAheadBytes();
  const auto cost = static_cast<std::int64_t>(kConnectionBytes + AllocatedBytes(input_) +
                                              AllocatedBytes(body_) + head_bytes + call_bytes +
                                              sink_buffered_bytes_ + stream_->allocated_bytes());
  port_->loop()->connections().memory().Charge(cost - std::exchange(charged_bytes_, cost));
}

void HttpServerStream::SetSinkBufferedBytes(std::size_t bytes) {
  sink_buffered_bytes_ = bytes;
  UpdateBufferedBytes();
}

void HttpServerStream::ParseInput() {
  do {
    const auto used = Parse(input_.data() + input_begin_, input_.size() - input_begin_);
    if (is_removal_pending_) {
      RemoveFromPort();
      return;
    }
    ConsumeInput(used);
  } while (DeliverAllAhead() && ShouldRead() && has_input());
  if (is_removal_pending_) {
    RemoveFromPort();
    return;
  }
  UpdateBufferedBytes();
  HoldBackIfOverMemoryLimit();
}

void HttpServerStream::ConsumeInput(std::size_t size) {
  input_begin_ = std::min(input_begin_ + size, input_.size());
  if (!has_input()) {
    DiscardInput();
  } else if (input_begin_ > input_.size() / 2) {
    // Removed bytes are at most as many as those that remain, which keeps the cost linear.
    input_.erase(0, std::exchange(input_begin_, 0));
  }
}

std::size_t HttpServerStream::Parse(const char* data, std::size_t size) {
  is_parsing_ = true;
  std::size_t position = 0;
  int requests = 0;
  while (ShouldRead() && position < size) {
    if (state_ == State::kIdle) {
      state_ = State::kReading;
      request_started_ = state_since_ = Now();
    }
    const auto used = parser_.Feed(data + position, size - position, &body_);
    if (!used.ok()) {
      RejectRequest(HttpStatusOfFault(used.status()));
      break;
    }
    position += *used;
    if (parser_.is_head_complete() && !CheckRequestLimits()) {
      break;
    }
    if (is_receiving_body_) {
      ForwardBodyPiece();
    } else if (parser_.is_message_complete() ||
               (parser_.is_head_complete() &&
                body_.size() > port_->sink()->MaxHeldBodyBytes(*parser_.request()) &&
                port_->sink()->ShouldStreamBody(*parser_.request()))) {
      DeliverRequest();
      if (++requests >= kMaxRequestsPerTurn && state_ == State::kIdle && position < size) {
        is_yielding_ = true;
        port_->ContinueNextTurn(this);
      }
    }
  }
  is_parsing_ = false;
  return position;
}

// Returns false if the request exceeds a limit, or if the sink rejects it by its head; it then has
// been responded to. Otherwise sends 100 Continue to a caller that expects it.
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
    const auto& memory = port_->loop()->connections().memory();
    const bool is_small = body.kind == BodyKind::kLength && body.length <= kMaxSmallBodyBytes;
    if (!is_receiving_body_ && (is_small ? memory.is_exhausted() : memory.is_over())) {
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
  ResumeReading();
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
  written_bytes_ += bytes.size();
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
  auto bytes = SerializeHead(head, false);
  written_bytes_ += bytes.size();
  stream_->Write(std::move(bytes));
}

void HttpServerStream::WritePiece(const std::string& piece) {
  if (piece.empty()) {
    return;
  }
  written_bytes_ += piece.size();
  stream_->Write(is_response_chunked_ ? SerializeChunk(piece) : piece);
  UpdateBufferedBytes();
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
    DiscardInput();
    body_ = std::string();
    // Neither the request nor the rest of its body is needed any more.
    parser_.Reset();
    UpdateBufferedBytes();
    stream_->ShutdownWrite();
    ResumeReading();
    return;
  }
  if (!ahead_.empty()) {
    // Responses that are complete end their turns within this call.
    const bool was_parsing = std::exchange(is_parsing_, true);
    StartNextTurn();
    is_parsing_ = was_parsing;
    if (is_removal_pending_) {
      RemoveFromPort();
      return;
    }
  } else {
    state_ = State::kIdle;
    parser_.Reset();
    body_ = std::string();
    is_head_checked_ = false;
  }
  UpdateBufferedBytes();
  ResumeReading();
  if (!is_parsing_ && has_input()) {
    ParseInput();
  }
}

}  // namespace primroseweir
