// Instructions of ordinary calls, for comparisons of two builds by hand: run under callgrind with
// two values of PRIMROSEWEIR_CALLS and divide the difference of the instructions by that of the
// calls.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "port_fixture.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/http_client_stream.h"

namespace primroseweir::testing {
namespace {

// Sends one call after the other on one connection.
class Calls : public HttpClientCallbacks {
 public:
  Calls(EventLoop* loop, const SocketAddress& address) : stream_(loop, address) {}

  void Send(const std::string& body) {
    RequestHead head;
    head.method = "POST";
    head.target = "/read/x";
    head.fields.Add("Host", "desk");
    head.fields.Add("X-Request-Id", "ordinary");
    head.body = {BodyKind::kLength, body.size()};
    stream_.Send(head, body, {}, this);
  }
  void OnResponse(ResponseHead* /*head*/, std::string /*piece*/, bool is_complete) override {
    responses += is_complete ? 1 : 0;
  }
  void OnFailure(Failure /*reason*/) override { ++failures; }

  int responses = 0;
  int failures = 0;

 private:
  HttpClientStream stream_;
};

TEST_CASE("ordinary calls, to be measured by hand", "[.call-cost]") {
  const char* count = std::getenv("PRIMROSEWEIR_CALLS");
  const int calls = count == nullptr ? 1000 : std::atoi(count);
  PortFixture fixture;
  fixture.response_body = std::string(2000, 'y');
  Calls caller(&fixture.loop(), fixture.port().address());
  const std::string body(500, 'x');
  for (int i = 0; i < calls; ++i) {
    caller.Send(body);
    while (caller.responses <= i && caller.failures == 0) {
      uv_run(fixture.loop().uv(), UV_RUN_ONCE);
    }
  }
  CHECK(caller.responses == calls);
}

}  // namespace
}  // namespace primroseweir::testing
