#include "primroseweir/gateway/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"

namespace primroseweir {
namespace {

bool Alive(const HttpClientStream& stream, Instant now) {
  if (stream.broken()) {
    return false;
  }
  const auto kept = stream.kept_for() > Duration::zero() ? stream.kept_for() - UpstreamPool::kMargin
                                                         : UpstreamPool::kMaxIdle;
  return now - stream.idle_since() < kept;
}

}  // namespace

UpstreamPool::UpstreamPool(EventLoop* loop) : loop_(loop) {}
UpstreamPool::~UpstreamPool() = default;

std::unique_ptr<HttpClientStream> UpstreamPool::Take(
    const std::shared_ptr<BalancedUpstream>& upstream, bool at_most_once, Instant now) {
  const auto& record = upstream->record();
  auto& streams = idle_[record.id].streams;
  std::unique_ptr<HttpClientStream> taken;
  while (!streams.empty() && taken == nullptr) {
    auto stream = std::move(streams.back());
    streams.pop_back();
    if (!Alive(*stream, now) || stream->address() != record.address) {
      continue;
    }
    if (at_most_once && now - stream->idle_since() >= kFresh) {
      // Older ones below it are no fresher.
      streams.push_back(std::move(stream));
      break;
    }
    taken = std::move(stream);
  }
  upstream->SetConnected(!streams.empty());
  if (taken == nullptr) {
    taken = std::make_unique<HttpClientStream>(loop_, record.address);
  }
  return taken;
}

void UpstreamPool::Put(const std::shared_ptr<BalancedUpstream>& upstream,
                       std::unique_ptr<HttpClientStream> stream) {
  auto& entry = idle_[upstream->record().id];
  entry.upstream = upstream;
  if (stream->reusable() && entry.streams.size() < kMaxPerUpstream) {
    entry.streams.push_back(std::move(stream));
  }
  upstream->SetConnected(!entry.streams.empty());
}

void UpstreamPool::Drop(const UpstreamId& upstream) { idle_.erase(upstream); }

void UpstreamPool::Sweep(Instant now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& entry = it->second;
    auto& streams = entry.streams;
    streams.erase(std::remove_if(streams.begin(), streams.end(),
                                 [now](const auto& stream) { return !Alive(*stream, now); }),
                  streams.end());
    if (entry.upstream != nullptr) {
      entry.upstream->SetConnected(!streams.empty());
    }
    it = streams.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace primroseweir
