#include "platform_store.h"

#include <openssl/evp.h>

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "primroseweir/gateway/page_server.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_server_exchange.h"

namespace primroseweir::standin {
namespace {

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kDecimalBase = 10;

using Json = nlohmann::json;

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

void RespondWithStatus(HttpServerExchange* stream, int status) {
  ResponseHead head;
  head.status = status;
  stream->Respond(std::move(head), "");
}

void RespondWithJson(HttpServerExchange* stream, const Json& json) {
  ResponseHead head;
  head.fields.Add("Content-Type", "application/json");
  stream->Respond(std::move(head), json.dump());
}

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

PlatformStore::PlatformStore(EventLoop* loop)
    : loop_(loop), port_(loop, this, [] { return CallerLimits(); }) {}

// ---- changes ----

void PlatformStore::Put(const std::string& key, const std::string& value) {
  items_[key] = {value, ++revision_};
  history_.push_back({key, revision_, false, value});
  RespondToWatches();
}

void PlatformStore::Erase(const std::string& key) {
  if (items_.erase(key) != 0) {
    history_.push_back({key, ++revision_, true, ""});
    RespondToWatches();
  }
}

void PlatformStore::Compact() {
  history_.clear();
  oldest_watch_revision_ = revision_;
  RespondToWatches();
}

void PlatformStore::SetStale(bool stale) {
  stale_snapshot_.reset();
  if (stale) {
    stale_snapshot_ = Snapshot{items_, revision_};
  }
}

void PlatformStore::SetDown(bool down) {
  is_down_ = down;
  RespondToWatches();
}

// ---- requests ----

void PlatformStore::OnRequest(HttpServerExchange* stream, RequestHead* head, std::string /*body*/) {
  ++calls_;
  const auto query_start = head->target.find('?');
  const auto path = head->target.substr(0, query_start);
  auto query = PageServer::ParseQuery(
      query_start == std::string::npos ? std::string() : head->target.substr(query_start + 1));
  if (is_down_) {
    RespondWithStatus(stream, kUnavailable);
  } else if (path == "/primroseweir/kv-range") {
    const bool use_stale = query["isStale"] == "1" && stale_snapshot_.has_value();
    RespondToRange(stream, use_stale ? *stale_snapshot_ : Snapshot{items_, revision_},
                   query["prefix"], query["after"]);
  } else if (path == "/primroseweir/kv-watch") {
    StartWatch(stream, query["prefix"],
               std::strtoull(query["after"].c_str(), nullptr, kDecimalBase),
               std::chrono::milliseconds(std::atoll(query["waitMs"].c_str())));
  } else {
    RespondWithStatus(stream, kNotFound);
  }
}

void PlatformStore::OnCallerDisconnected(HttpServerExchange* stream) {
  watches_.remove_if([stream](const Watch& watch) { return watch.stream == stream; });
}

void PlatformStore::RespondToRange(HttpServerExchange* stream, const Snapshot& snapshot,
                                   const std::string& prefix, const std::string& after) {
  auto rows = Json::array();
  bool has_more = false;
  for (auto it = snapshot.items.upper_bound(after); it != snapshot.items.end(); ++it) {
    if (!HasPrefix(it->first, prefix)) {
      continue;
    }
    has_more = rows.size() == kPageItems;
    if (has_more) {
      break;
    }
    rows.push_back({it->first, EncodeBase64(it->second.value), it->second.revision, 0});
  }
  RespondWithJson(
      stream,
      {{"items", {{"columns", {"key", "value", "revision", "lease"}}, {"rows", std::move(rows)}}},
       {"hasMore", has_more},
       {"at", snapshot.revision}});
}

void PlatformStore::StartWatch(HttpServerExchange* stream, const std::string& prefix,
                               std::uint64_t after, Duration wait) {
  Watch watch{stream, prefix, after, nullptr};
  if (RespondToWatch(watch, false)) {
    return;
  }
  watch.timer = std::make_unique<Timer>(loop_, [this, stream] {
    for (auto it = watches_.begin(); it != watches_.end(); ++it) {
      if (it->stream == stream) {
        const Watch expired_watch{stream, it->prefix, it->after, nullptr};
        watches_.erase(it);
        RespondToWatch(expired_watch, true);
        return;
      }
    }
  });
  watch.timer->Start(wait);
  watches_.push_back(std::move(watch));
}

bool PlatformStore::RespondToWatch(const Watch& watch, bool has_timed_out) {
  if (is_down_ || watch.after < oldest_watch_revision_) {
    RespondWithStatus(watch.stream, is_down_ ? kUnavailable : kGone);
    return true;
  }
  auto events = Json::array();
  for (const auto& event : history_) {
    if (event.revision <= watch.after || !HasPrefix(event.key, watch.prefix)) {
      continue;
    }
    if (event.deleted) {
      events.push_back({{"key", event.key}, {"revision", event.revision}, {"deleted", true}});
    } else {
      events.push_back(
          {{"key", event.key}, {"value", EncodeBase64(event.value)}, {"revision", event.revision}});
    }
  }
  if (events.empty() && !has_timed_out) {
    return false;
  }
  RespondWithJson(watch.stream, {{"events", std::move(events)}, {"at", revision_}});
  return true;
}

void PlatformStore::RespondToWatches() {
  auto pending_watches = std::exchange(watches_, {});
  for (auto& watch : pending_watches) {
    if (!RespondToWatch(watch, false)) {
      watches_.push_back(std::move(watch));
    }
  }
}

}  // namespace primroseweir::standin
