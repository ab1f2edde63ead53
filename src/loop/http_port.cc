#include "primroseweir/loop/http_port.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/tcp_listener.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {

HttpPort::HttpPort(EventLoop* loop, RequestSink* sink, std::function<CallerLimits()> limits)
    : loop_(loop),
      sink_(sink),
      limits_(std::move(limits)),
      timeout_check_timer_(loop, [this] { CheckAllTimeouts(); }),
      continue_turn_(loop, [this] { ContinueStreams(); }) {}

HttpPort::~HttpPort() = default;

absl::Status HttpPort::Listen(const SocketAddress& address) {
  listener_ = std::make_unique<TcpListener>(loop_);
  return listener_->Listen(
      address, [this](std::unique_ptr<TcpStream> stream) { AddConnection(std::move(stream)); });
}

SocketAddress HttpPort::address() const { return listener_->address(); }

void HttpPort::Drain(Instant now) {
  is_draining_ = true;
  std::vector<HttpServerStream*> streams;
  for (const auto& [stream, owned] : streams_) {
    streams.push_back(stream);
  }
  for (auto* stream : streams) {
    stream->CloseIfIdle(now);
  }
}

void HttpPort::StopAccepting() {
  if (listener_ != nullptr) {
    listener_->AcceptPending();
    listener_.reset();
  }
}

bool HttpPort::IsBusy(Instant now) const {
  return std::any_of(streams_.begin(), streams_.end(),
                     [now](const auto& entry) { return entry.second->IsBusy(now); });
}

bool HttpPort::IsOverMemoryLimit() const { return loop_->connections().memory().is_over(); }

void HttpPort::Remove(HttpServerStream* stream) {
  waiting_streams_.erase(std::remove(waiting_streams_.begin(), waiting_streams_.end(), stream),
                         waiting_streams_.end());
  streams_.erase(stream);
}

void HttpPort::ContinueNextTurn(HttpServerStream* stream) {
  if (waiting_streams_.empty()) {
    continue_turn_.Start();
  }
  waiting_streams_.push_back(stream);
}

void HttpPort::ContinueStreams() {
  // Streams that are not finished in this turn wait behind the others.
  for (auto count = waiting_streams_.size(); count > 0 && !waiting_streams_.empty(); --count) {
    auto* stream = waiting_streams_.front();
    waiting_streams_.pop_front();
    stream->ContinueParsing();
  }
  if (!waiting_streams_.empty()) {
    continue_turn_.Start();
  }
}

void HttpPort::AddConnection(std::unique_ptr<TcpStream> stream) {
  if (!loop_->connections().MakeRoom(EventLoop::Now())) {
    ++rejected_connections_;
    return;
  }
  if (streams_.empty()) {
    timeout_check_timer_.Start(kTimeoutCheckInterval);
  }
  auto* accepted = stream.get();
  auto server_stream =
      std::make_unique<HttpServerStream>(this, std::move(stream), EventLoop::Now());
  auto* handler = server_stream.get();
  streams_.emplace(handler, std::move(server_stream));
  accepted->Accept(handler);
}

void HttpPort::CheckAllTimeouts() {
  const auto now = EventLoop::Now();
  std::vector<HttpServerStream*> streams;
  streams.reserve(streams_.size());
  for (const auto& [stream, owned] : streams_) {
    streams.push_back(stream);
  }
  for (auto* stream : streams) {
    stream->CheckTimeouts(now);
  }
  if (!streams_.empty()) {
    timeout_check_timer_.Start(kTimeoutCheckInterval);
  }
}

}  // namespace primroseweir
