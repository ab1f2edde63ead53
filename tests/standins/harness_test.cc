#include <signal.h>

#include <catch2/catch.hpp>
#include <cstdio>

#include "support/child_process.h"
#include "support/network.h"
#include "support/relay.h"
#include "support/scripted_server.h"
#include "support/site.h"
#include "wire/fetch.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string TemporaryLog(const std::string& name) {
  const std::string path = Site::Binary(name + ".log");
  std::remove(path.c_str());
  return path;
}

bool IsAlive(pid_t pid) { return kill(pid, 0) == 0; }

// The next test runs this one in a separate process and then kills or interrupts that process.
TEST_CASE("starts a child process and waits for it", "[.holds-child]") {
  ChildProcess child({"/bin/sleep", "60"}, "/dev/null");
  std::printf("child=%d.\n", child.pid());
  std::fflush(stdout);
  child.WaitForExit(seconds(60));
}

// Guards against processes left behind when a test crashes or is interrupted.
TEST_CASE("child processes end when their parent is killed or interrupted") {
  const int signal = GENERATE(SIGKILL, SIGTERM, SIGINT);
  const std::string self = Site::Binary("standins_test");
  ChildProcess parent({self, "[.holds-child]"}, TemporaryLog("holds-child"));
  REQUIRE(parent.WaitForLog(".\n", seconds(10)));
  const std::string log = parent.Log();
  const pid_t child = std::stoi(log.substr(log.find("child=") + 6));
  REQUIRE(IsAlive(child));
  parent.Signal(signal);
  CHECK(WaitUntil([child] { return !IsAlive(child); }, seconds(5)));
}

TEST_CASE("a child process is paused, continued and waited for") {
  ChildProcess child({"/bin/sleep", "0.2"}, "/dev/null");
  child.Pause();
  CHECK(!child.WaitForExit(milliseconds(400)).has_value());
  child.Continue();
  CHECK(child.WaitForExit(seconds(5)) == 0);
  ChildProcess killed({"/bin/sleep", "60"}, "/dev/null");
  killed.Kill();
  CHECK(killed.WaitForExit(seconds(1)) == 128 + SIGKILL);
}

// Guards against two test binaries that use the same network and disturb each other's processes.
TEST_CASE("two sites get different networks") {
  const Network first;
  const Network second;
  CHECK(first.prefix() != second.prefix());
  CHECK(!standins::Listener::Open(first.Host(254, 6999)).ok());
}

// Guards against a relay that forwards bytes after a test has stopped it: a test that relies on the
// stop would prove nothing.
TEST_CASE("the relay forwards, stalls and closes connections") {
  const Network network;
  ScriptedServer server(network.Host(2, 80), [](const auto& /*request*/, const auto& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  });
  Relay relay(network.Host(3, 80), server.address());
  standins::HttpHead request;
  request.method = "POST";
  request.target = "/";
  const auto fetch = [&] {
    return standins::Fetch(relay.address(), request, "x", milliseconds(300));
  };
  CHECK(fetch()->body == "x");
  relay.SetSilent(true);
  CHECK(absl::IsDeadlineExceeded(fetch().status()));
  relay.SetSilent(false);
  CHECK(WaitUntil([&] { return fetch().ok(); }, seconds(5)));
  relay.SetCut(true);
  CHECK(!fetch().ok());
  relay.SetCut(false);
  CHECK(WaitUntil([&] { return fetch().ok(); }, seconds(5)));
}

}  // namespace
}  // namespace primroseweir::testing
