#ifndef PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_STORE_H_
#define PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_STORE_H_

#include <absl/status/status.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/timer.h"

namespace primroseweir::standin {

// Stand-in for the platform's store: serves ranges in pages and watches, and injects faults on
// request of a test.
class PlatformStore : public RequestSink {
 public:
  explicit PlatformStore(EventLoop* loop);

  absl::Status Listen(const SocketAddress& address) { return port_.Listen(address); }

  void Put(const std::string& key, const std::string& value);
  void Erase(const std::string& key);
  // Discards the history. Watches from an earlier revision get status 410.
  void Compact();
  // Makes stale reads return the current state until this is called with false.
  void SetStale(bool stale);
  // While down, all requests and pending watches get status 503.
  void SetDown(bool down);
  std::uint64_t calls() const { return calls_; }

  void OnRequest(HttpServerExchange* stream, RequestHead* head, std::string body) override;
  void OnCallerDisconnected(HttpServerExchange* stream) override;

  // Small, so that tests read in several pages.
  static constexpr std::size_t kPageItems = 3;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool deleted = false;
    std::string value;
  };
  struct Watch {
    HttpServerExchange* stream = nullptr;
    std::string prefix;
    std::uint64_t after = 0;
    std::unique_ptr<Timer> timer;
  };

  struct Snapshot {
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
  };
  void RespondToRange(HttpServerExchange* stream, const Snapshot& snapshot,
                      const std::string& prefix, const std::string& after);
  void StartWatch(HttpServerExchange* stream, const std::string& prefix, std::uint64_t after,
                  Duration wait);
  // Responds to the watch if there are events or an error to report, or if it has timed out.
  // Returns whether it responded.
  bool RespondToWatch(const Watch& watch, bool has_timed_out);
  void RespondToWatches();

  EventLoop* const loop_;
  HttpPort port_;
  std::map<std::string, Item> items_;
  // State that stale reads return; without a value they return the current state.
  std::optional<Snapshot> stale_snapshot_;
  std::vector<Event> history_;
  std::list<Watch> watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_watch_revision_ = 1;
  std::uint64_t calls_ = 0;
  bool is_down_ = false;
};

}  // namespace primroseweir::standin

#endif  // PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_STORE_H_
