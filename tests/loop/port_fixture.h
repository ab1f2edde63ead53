#ifndef PRIMROSEWEIR_TESTS_LOOP_PORT_FIXTURE_H_
#define PRIMROSEWEIR_TESTS_LOOP_PORT_FIXTURE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "primroseweir/http/request_head.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/loop/request_sink.h"
#include "support/loop_server.h"

namespace primroseweir::testing {

// Responds to each request with `response_body`, or with the method, target and body of the request
// if that is empty, unless `hold_requests` is set.
class PortFixture : public RequestSink {
 public:
  PortFixture() : port_(&loop_, this, [this] { return limits; }) {
    REQUIRE(port_.Listen(RandomLoopback()).ok());
  }

  void OnRequest(HttpServerExchange* stream, RequestHead* head, std::string body) override {
    ++request_count;
    if (hold_requests) {
      held_stream = stream;
      return;
    }
    stream->Respond(ResponseHead(), response_body.empty()
                                        ? head->method + " " + head->target + " " + body
                                        : response_body);
  }
  void OnCallerDisconnected(HttpServerExchange*) override { ++disconnect_count; }

  // Sends `bytes` on a new connection and returns what was received when that contains `expected`
  // or the connection has ended.
  std::string Exchange(const std::string& bytes, const std::string& expected) {
    LoopCaller caller(&loop_, port_.address());
    caller.Send(bytes);
    RunUntil(&loop_, [&] {
      return caller.ended() || caller.received().find(expected) != std::string::npos;
    });
    return caller.received();
  }

  EventLoop& loop() { return loop_; }
  HttpPort& port() { return port_; }

  CallerLimits limits;
  int request_count = 0;
  int disconnect_count = 0;
  std::string response_body;
  bool hold_requests = false;
  HttpServerExchange* held_stream = nullptr;

 private:
  EventLoop loop_;
  HttpPort port_;
};

inline bool Contains(const std::string& text, const std::string& substring) {
  return text.find(substring) != std::string::npos;
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_LOOP_PORT_FIXTURE_H_
