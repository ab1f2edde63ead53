#ifndef PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_UPSTREAM_H_
#define PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_UPSTREAM_H_

#include <absl/status/status.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "primroseweir/base/time.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/timer.h"

namespace primroseweir::standin {

// An upstream that speaks the platform's protocol: it checks whom a call expects, echoes the
// request's id, signs its answers, states its load and misbehaves on demand.
class PlatformUpstream : public RequestSink {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string data_centre;
    SocketAddress address;
    // Where callers find it, such as a relay's address.
    SocketAddress listed;
    Duration work{};
  };
  // Runs per request id, over all upstreams.
  using Ledger = std::map<std::string, int>;

  // `ledger` outlives the upstream.
  PlatformUpstream(EventLoop* loop, Options options, Ledger* ledger);

  absl::Status Start() { return port_.Listen(options_.address); }
  // What it writes into the store.
  std::string Entry(const std::string& state) const;
  // ok, refuse, fail, reset or silent; calls from now on.
  void SetMode(const std::string& mode) { mode_ = mode; }
  // Calls that it ran.
  std::uint64_t runs() const { return runs_; }
  const std::string& id() const { return options_.id; }

  void OnRequest(HttpServerStream* stream, RequestHead* head, std::string body) override;
  void OnCallerDisconnected(HttpServerStream* stream) override;

 private:
  struct Work {
    HttpServerStream* stream = nullptr;
    std::string request;
    std::string body;
    std::unique_ptr<Timer> timer;
  };

  void Run(HttpServerStream* stream, const std::string& request, const std::string& body);
  void Finish(HttpServerStream* stream);
  std::string Load() const;

  EventLoop* const loop_;
  const Options options_;
  Ledger* const ledger_;
  HttpPort port_;
  std::string mode_ = "ok";
  std::list<Work> running_;
  std::uint64_t runs_ = 0;
};

}  // namespace primroseweir::standin

#endif  // PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_UPSTREAM_H_
