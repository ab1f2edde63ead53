#include "primroseweir/membership/detail/configuration_fetcher.h"

#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"

namespace primroseweir {
namespace detail {

ConfigurationFetcher::ConfigurationFetcher(const GossipHooks* hooks, const SnapshotClient* client,
                                           EventLog* events, std::function<void()> on_fetched)
    : hooks_(hooks), client_(client), events_(events), on_fetched_(std::move(on_fetched)) {}

ConfigurationFetcher::~ConfigurationFetcher() { Stop(); }

void ConfigurationFetcher::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ConfigurationFetcher::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  state_changed_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void ConfigurationFetcher::ReceiveState(const SocketAddress& peer, const ConfigurationState& remote,
                                        const ConfigurationState& local, Instant now) {
  const bool is_newer = remote.revision > local.revision;
  const bool is_different = remote.revision == local.revision && remote.digest != local.digest;
  if (!is_newer && !is_different) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_fetching_ || pending_request_) return;
  if (is_different && now < next_difference_fetch_) return;
  if (is_different) next_difference_fetch_ = now + kDifferenceFetchInterval;
  pending_request_ = Request{peer, is_newer ? local.revision : Revision(0)};
  state_changed_.notify_all();
}

bool ConfigurationFetcher::Fetch(const SocketAddress& peer, Revision after) {
  const auto values = client_->FetchConfiguration(peer, after);
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
    state_changed_.wait(lock, [this] { return stopping_ || pending_request_; });
    if (stopping_) return;
    const Request request = *pending_request_;
    pending_request_.reset();
    is_fetching_ = true;
    lock.unlock();
    Fetch(request.peer, request.after);
    on_fetched_();
    lock.lock();
    is_fetching_ = false;
  }
}

}  // namespace detail
}  // namespace primroseweir
