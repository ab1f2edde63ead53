#include "primroseweir/gateway/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "primroseweir/configuration/upstream_record.h"
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

std::unique_ptr<HttpClientStream> UpstreamPool::Take(const UpstreamRecord& record,
                                                     bool at_most_once, Instant now) {
  auto& streams = idle_[record.id];
  while (!streams.empty()) {
    auto stream = std::move(streams.back());
    streams.pop_back();
    const bool usable = Alive(*stream, now) && stream->address() == record.address &&
                        (!at_most_once || now - stream->idle_since() < kFresh);
    if (usable) {
      return stream;
    }
    if (at_most_once && Alive(*stream, now)) {
      streams.push_back(std::move(stream));
      break;
    }
  }
  ++opened_;
  return std::make_unique<HttpClientStream>(loop_, record.address);
}

void UpstreamPool::Put(const UpstreamId& upstream, std::unique_ptr<HttpClientStream> stream) {
  auto& streams = idle_[upstream];
  if (stream->reusable() && streams.size() < kMaxPerUpstream) {
    streams.push_back(std::move(stream));
  }
}

void UpstreamPool::Drop(const UpstreamId& upstream) { idle_.erase(upstream); }

void UpstreamPool::Sweep(Instant now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& streams = it->second;
    streams.erase(std::remove_if(streams.begin(), streams.end(),
                                 [now](const auto& stream) { return !Alive(*stream, now); }),
                  streams.end());
    it = streams.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace primroseweir
