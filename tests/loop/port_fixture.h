#ifndef PRIMROSEWEIR_TESTS_LOOP_PORT_FIXTURE_H_
#define PRIMROSEWEIR_TESTS_LOOP_PORT_FIXTURE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "primroseweir/http/request_head.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/loop/request_sink.h"
#include "support/loop_server.h"

namespace primroseweir::testing {

// Answers each request with its method, target and body.
class PortFixture : public RequestSink {
 public:
  PortFixture() : port_(&loop_, this, [this] { return limits; }) {
    REQUIRE(port_.Listen(RandomLoopback()).ok());
  }

  void OnRequest(HttpServerStream* stream, RequestHead* head, std::string body) override {
    ++requests;
    if (hold) {
      held = stream;
      return;
    }
    stream->Respond(ResponseHead(), head->method + " " + head->target + " " + body);
  }
  void OnCallerDisconnected(HttpServerStream*) override { ++gone; }

  // Sends bytes and waits for `expected` in what comes back, or for the end of the connection.
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
  int requests = 0;
  int gone = 0;
  bool hold = false;
  HttpServerStream* held = nullptr;

 private:
  EventLoop loop_;
  HttpPort port_;
};

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_LOOP_PORT_FIXTURE_H_
