#include "primroseweir/loop/pipelined_exchange.h"

#include <utility>

#include "primroseweir/base/compact_append.h"

namespace primroseweir {
namespace {

constexpr int kBadGateway = 502;

}  // namespace

PipelinedExchange::PipelinedExchange(HttpServerExchange* connection, RequestHead head,
                                     std::function<void(std::int64_t change)> on_buffered)
    : connection_(connection), head_(std::move(head)), on_buffered_(std::move(on_buffered)) {}

PipelinedExchange::~PipelinedExchange() { SetBuffered(std::string()); }

void PipelinedExchange::SetBuffered(std::string bytes) {
  const auto change =
      static_cast<std::int64_t>(bytes.size()) - static_cast<std::int64_t>(body_.size());
  body_ = std::move(bytes);
  // Reads held_bytes().
  on_buffered_(change);
}

void PipelinedExchange::StartTurn() {
  has_turn_ = true;
  if (stage_ == Stage::kNone) {
    return;
  }
  const auto body = body_;
  SetBuffered(std::string());
  if (stage_ == Stage::kWhole) {
    connection_->Respond(std::move(response_), body);
    return;
  }
  connection_->BeginResponse(std::move(response_));
  connection_->WritePiece(body);
  if (stage_ == Stage::kStreamed) {
    connection_->EndResponse();
  }
}

void PipelinedExchange::Respond(ResponseHead head, const std::string& body) {
  if (has_turn_) {
    connection_->Respond(std::move(head), body);
    return;
  }
  stage_ = Stage::kWhole;
  response_ = std::move(head);
  SetBuffered(body);
}

void PipelinedExchange::BeginResponse(ResponseHead head) {
  if (has_turn_) {
    connection_->BeginResponse(std::move(head));
    return;
  }
  stage_ = Stage::kBegun;
  response_ = std::move(head);
}

void PipelinedExchange::WritePiece(const std::string& piece) {
  if (has_turn_) {
    connection_->WritePiece(piece);
    return;
  }
  AppendCompactly(&body_, piece);
  on_buffered_(static_cast<std::int64_t>(piece.size()));
}

void PipelinedExchange::EndResponse() {
  if (has_turn_) {
    connection_->EndResponse();
    return;
  }
  stage_ = Stage::kStreamed;
}

void PipelinedExchange::Abort() {
  if (has_turn_) {
    connection_->Abort();
    return;
  }
  stage_ = Stage::kWhole;
  response_ = ResponseHead();
  response_.status = kBadGateway;
  SetBuffered(std::string());
}

std::size_t PipelinedExchange::pending_bytes() const {
  return has_turn_ ? connection_->pending_bytes() : body_.size();
}

std::size_t PipelinedExchange::unacked_bytes() const {
  return has_turn_ ? connection_->unacked_bytes() : body_.size();
}

}  // namespace primroseweir
