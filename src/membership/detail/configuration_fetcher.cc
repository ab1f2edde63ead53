#include "primroseweir/membership/detail/configuration_fetcher.h"

#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"

namespace primroseweir {
namespace detail {

ConfigurationFetcher::ConfigurationFetcher(const GossipHooks* hooks, const SnapshotClient* client,
                                           EventLog* events, std::function<void()> fetched)
    : hooks_(hooks), client_(client), events_(events), fetched_(std::move(fetched)) {}

ConfigurationFetcher::~ConfigurationFetcher() { Stop(); }

void ConfigurationFetcher::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ConfigurationFetcher::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void ConfigurationFetcher::ReceiveState(const SocketAddress& peer, const ConfigurationState& theirs,
                                        const ConfigurationState& own, Instant now) {
  const bool newer = theirs.revision > own.revision;
  const bool different = theirs.revision == own.revision && theirs.digest != own.digest;
  if (!newer && !different) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (busy_ || request_) return;
  if (different && now < next_difference_) return;
  if (different) next_difference_ = now + kDifferencePeriod;
  request_ = Request{peer, newer ? own.revision : Revision(0)};
  changed_.notify_all();
}

bool ConfigurationFetcher::Fetch(const SocketAddress& peer, Revision after) {
  const auto values = client_->Configuration(peer, after);
  if (!values.ok()) {
    events_->Emit("snapshot_failed", {{"step", OriginOf(values.status()).step},
                                      {"peer", peer.ToString()},
                                      {"reason", MessageOf(values.status())}});
    return false;
  }
  if (hooks_->offer_configuration) hooks_->offer_configuration(*values, MonotonicNow());
  return true;
}

void ConfigurationFetcher::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    changed_.wait(lock, [this] { return stopping_ || request_; });
    if (stopping_) return;
    const Request request = *request_;
    request_.reset();
    busy_ = true;
    lock.unlock();
    Fetch(request.peer, request.after);
    fetched_();
    lock.lock();
    busy_ = false;
  }
}

}  // namespace detail
}  // namespace primroseweir
