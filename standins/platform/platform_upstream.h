#ifndef PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_UPSTREAM_H_
#define PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_UPSTREAM_H_

#include <absl/status/status.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/timer.h"

namespace primroseweir {
struct ResponseHead;
}  // namespace primroseweir

namespace primroseweir::standin {

// Stand-in for an upstream with the platform's protocol: checks the expected instance of a call,
// echoes the request id, signs its responses, reports its load, and injects faults on request of a
// test.
class PlatformUpstream : public RequestSink {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string data_centre;
    SocketAddress address;
    // Address in the store, such as that of a relay in front of the upstream.
    SocketAddress listed_address;
    Duration execution_time{};
  };
  // Number of executions of each request id at all upstreams.
  using ExecutionCounts = std::map<std::string, int>;

  // Milliseconds of the monotonic clock at the first execution of each request id at any upstream.
  using FirstExecutions = std::map<std::string, std::int64_t>;

  // One line "REQUEST CUSTOMER AUTHORIZATION" for each request with one of these two fields, also
  // for those that were refused and those for health; "-" for an absent field.
  using CallerLines = std::vector<std::string>;

  // `execution_counts`, `first_executions` and `caller_lines` outlive the upstream.
  PlatformUpstream(EventLoop* loop, Options options, ExecutionCounts* execution_counts,
                   FirstExecutions* first_executions, CallerLines* caller_lines);

  absl::Status Start() { return port_.Listen(options_.address); }
  // Returns the entry of this upstream in the store, with the given state.
  std::string StoreEntry(const std::string& state) const;
  // Sets how later calls are treated: ok, refuse (503, not executed), fail (500), reset (closes the
  // connection), silent (sends no response), leave (states in all responses that it leaves) or
  // pause (refuses all requests, and asks for a pause of kPauseSeconds).
  void SetMode(const std::string& mode) { mode_ = mode; }
  // Continues as a new process with the same id and address, in mode ok.
  void Restart() {
    ++started_ms_;
    mode_ = "ok";
  }
  // Number of calls executed so far.
  std::uint64_t executions() const { return executions_; }
  // Number of requests received so far, also those that were refused and those for health.
  std::uint64_t requests() const { return requests_; }
  const std::string& id() const { return options_.id; }

  static constexpr int kPauseSeconds = 2;

  void OnRequest(HttpServerExchange* stream, RequestHead* head, std::string body) override;
  void OnCallerDisconnected(HttpServerExchange* stream) override;

 private:
  struct Execution {
    HttpServerExchange* stream = nullptr;
    std::string request;
    std::string body;
    std::unique_ptr<Timer> timer;
  };

  void RecordCaller(const std::string& request, const RequestHead& head);
  void Execute(HttpServerExchange* stream, const std::string& request, const std::string& body);
  void Finish(HttpServerExchange* stream);
  std::string LoadReport() const;
  ResponseHead MakeHead(int status, const std::string& request) const;

  EventLoop* const loop_;
  const Options options_;
  ExecutionCounts* const execution_counts_;
  FirstExecutions* const first_executions_;
  CallerLines* const caller_lines_;
  HttpPort port_;
  std::string mode_ = "ok";
  std::list<Execution> in_flight_;
  std::uint64_t executions_ = 0;
  std::uint64_t requests_ = 0;
  std::int64_t started_ms_ = 1000;
};

}  // namespace primroseweir::standin

#endif  // PRIMROSEWEIR_STANDINS_PLATFORM_PLATFORM_UPSTREAM_H_
