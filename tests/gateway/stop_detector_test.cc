#include "primroseweir/gateway/stop_detector.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/loop/event_loop.h"
#include "support/loop_server.h"

namespace primroseweir::testing {

// Guards against instances that have ended but count as cut off, which lowers the usable part of
// the quotas, and against running ones that count as ended, whose calls would then come on top.
TEST_CASE("only an instance whose machine refuses connections has ended", "[gateway]") {
  EventLoop loop;
  LoopServer running(&loop, [](const LoopServer::Request&) { return LoopServer::Reply{}; });
  std::vector<std::string> stopped;
  // Nobody listens on the port at the second address.
  const auto address = running.address();
  const std::string ended = address.ip == "127.0.0.77" ? "127.0.0.78" : "127.0.0.77";
  StopDetector detector(&loop, address.port, [&](const std::string& ip) { stopped.push_back(ip); });
  auto now = EventLoop::Now();
  const std::vector<std::string> silent = {address.ip, ended};
  RunUntil(&loop, [&] {
    detector.Probe(silent, now);
    return !stopped.empty();
  });
  CHECK(stopped == std::vector<std::string>{ended});
  // It is reported once for each probe.
  detector.Probe(silent, now);
  CHECK(stopped.size() == 1);
  // A probe that is under way when the instance is heard again does not count.
  now += StopDetector::kFirstInterval;
  detector.Probe(silent, now);
  RunUntil(
      &loop, [] { return false; }, std::chrono::milliseconds(50));
  detector.Probe({address.ip}, now);
  CHECK(stopped.size() == 1);
}

}  // namespace primroseweir::testing
