#include "primroseweir/gateway/upstream_connection_pool.h"

#include <algorithm>
#include <utility>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"

namespace primroseweir {
namespace {

bool IsUsable(const HttpClientStream& stream, Instant now) {
  if (stream.is_broken()) {
    return false;
  }
  const auto max_idle_time =
      stream.keep_alive_timeout() > Duration::zero()
          ? stream.keep_alive_timeout() - UpstreamConnectionPool::kCloseMargin
          : UpstreamConnectionPool::kMaxIdleTime;
  return now - stream.idle_since() < max_idle_time;
}

}  // namespace

UpstreamConnectionPool::UpstreamConnectionPool(EventLoop* loop) : loop_(loop) {}
UpstreamConnectionPool::~UpstreamConnectionPool() = default;

std::unique_ptr<HttpClientStream> UpstreamConnectionPool::Acquire(
    const std::shared_ptr<BalancedUpstream>& upstream, ConnectionReuse reuse, Instant now) {
  const auto& record = upstream->record();
  auto& streams = idle_[record.id].streams;
  std::unique_ptr<HttpClientStream> acquired;
  while (reuse != ConnectionReuse::kNone && !streams.empty() && acquired == nullptr) {
    auto stream = std::move(streams.back());
    streams.pop_back();
    if (!IsUsable(*stream, now) || stream->address() != record.address) {
      continue;
    }
    if (reuse == ConnectionReuse::kRecentlyUsed &&
        now - stream->idle_since() >= kMaxRecentIdleTime) {
      // The remaining connections have been idle for longer.
      streams.push_back(std::move(stream));
      break;
    }
    acquired = std::move(stream);
  }
  upstream->SetConnected(!streams.empty());
  if (acquired == nullptr) {
    acquired = std::make_unique<HttpClientStream>(loop_, record.address);
  }
  return acquired;
}

void UpstreamConnectionPool::Return(const std::shared_ptr<BalancedUpstream>& upstream,
                                    std::unique_ptr<HttpClientStream> stream) {
  auto& entry = idle_[upstream->record().id];
  entry.upstream = upstream;
  if (stream->is_reusable() && !upstream->is_leaving() &&
      entry.streams.size() < kMaxIdlePerUpstream) {
    entry.streams.push_back(std::move(stream));
  }
  upstream->SetConnected(!entry.streams.empty());
}

void UpstreamConnectionPool::CloseIdle(const UpstreamId& upstream) { idle_.erase(upstream); }

void UpstreamConnectionPool::CloseExpired(Instant now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& entry = it->second;
    auto& streams = entry.streams;
    streams.erase(std::remove_if(streams.begin(), streams.end(),
                                 [now](const auto& stream) { return !IsUsable(*stream, now); }),
                  streams.end());
    if (entry.upstream != nullptr) {
      entry.upstream->SetConnected(!streams.empty());
    }
    it = streams.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace primroseweir
