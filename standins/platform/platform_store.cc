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
#include "primroseweir/loop/http_server_stream.h"

namespace primroseweir::standin {
namespace {

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kDecimal = 10;

using Json = nlohmann::json;

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

void AnswerStatus(HttpServerStream* stream, int status) {
  ResponseHead head;
  head.status = status;
  stream->Respond(std::move(head), "");
}

void RespondWithJson(HttpServerStream* stream, const Json& json) {
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
  WakeWatches();
}

void PlatformStore::Erase(const std::string& key) {
  if (items_.erase(key) != 0) {
    history_.push_back({key, ++revision_, true, ""});
    WakeWatches();
  }
}

void PlatformStore::Compact() {
  history_.clear();
  oldest_ = revision_;
  WakeWatches();
}

void PlatformStore::SetStale(bool stale) {
  stale_.reset();
  if (stale) {
    stale_ = Items{items_, revision_};
  }
}

void PlatformStore::SetDown(bool down) {
  down_ = down;
  WakeWatches();
}

// ---- calls ----

void PlatformStore::OnRequest(HttpServerStream* stream, RequestHead* head, std::string /*body*/) {
  ++calls_;
  const auto split = head->target.find('?');
  const auto path = head->target.substr(0, split);
  auto query = PageServer::ParseQuery(split == std::string::npos ? std::string()
                                                                 : head->target.substr(split + 1));
  if (down_) {
    AnswerStatus(stream, kUnavailable);
  } else if (path == "/primroseweir/kv-range") {
    const bool stale = query["isStale"] == "1" && stale_.has_value();
    Range(stream, stale ? *stale_ : Items{items_, revision_}, query["prefix"], query["after"]);
  } else if (path == "/primroseweir/kv-watch") {
    StartWatch(stream, query["prefix"], std::strtoull(query["after"].c_str(), nullptr, kDecimal),
               std::chrono::milliseconds(std::atoll(query["waitMs"].c_str())));
  } else {
    AnswerStatus(stream, kNotFound);
  }
}

void PlatformStore::OnCallerDisconnected(HttpServerStream* stream) {
  watches_.remove_if([stream](const Watch& watch) { return watch.stream == stream; });
}

void PlatformStore::Range(HttpServerStream* stream, const Items& stored, const std::string& prefix,
                          const std::string& after) {
  auto rows = Json::array();
  bool more = false;
  for (auto it = stored.items.upper_bound(after); it != stored.items.end(); ++it) {
    if (!HasPrefix(it->first, prefix)) {
      continue;
    }
    more = rows.size() == kPageItems;
    if (more) {
      break;
    }
    rows.push_back({it->first, EncodeBase64(it->second.value), it->second.revision, 0});
  }
  RespondWithJson(
      stream,
      {{"items", {{"columns", {"key", "value", "revision", "lease"}}, {"rows", std::move(rows)}}},
       {"hasMore", more},
       {"at", stored.revision}});
}

void PlatformStore::StartWatch(HttpServerStream* stream, const std::string& prefix,
                               std::uint64_t after, Duration wait) {
  Watch watch{stream, prefix, after, nullptr};
  if (RespondToWatch(watch, false)) {
    return;
  }
  watch.timer = std::make_unique<Timer>(loop_, [this, stream] {
    for (auto it = watches_.begin(); it != watches_.end(); ++it) {
      if (it->stream == stream) {
        const Watch due{stream, it->prefix, it->after, nullptr};
        watches_.erase(it);
        RespondToWatch(due, true);
        return;
      }
    }
  });
  watch.timer->Start(wait);
  watches_.push_back(std::move(watch));
}

bool PlatformStore::RespondToWatch(const Watch& watch, bool over) {
  if (down_ || watch.after < oldest_) {
    AnswerStatus(watch.stream, down_ ? kUnavailable : kGone);
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
  if (events.empty() && !over) {
    return false;
  }
  RespondWithJson(watch.stream, {{"events", std::move(events)}, {"at", revision_}});
  return true;
}

void PlatformStore::WakeWatches() {
  auto waiting = std::exchange(watches_, {});
  for (auto& watch : waiting) {
    if (!RespondToWatch(watch, false)) {
      watches_.push_back(std::move(watch));
    }
  }
}

}  // namespace primroseweir::standin
