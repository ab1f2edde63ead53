#ifndef TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "wire/http_reader.h"
#include "wire/listener.h"

namespace primroseweir::testing {

// A blocking server on a thread of its own that responds to each request with the bytes that a
// script returns. Serves one connection at a time and closes it after one response.
class ScriptedServer {
 public:
  using Script =
      std::function<std::string(const standins::HttpHead& request, const std::string& body)>;

  ScriptedServer(const SocketAddress& address, Script script)
      : listener_(*standins::Listener::Open(address)),
        script_(std::move(script)),
        thread_([this] { Serve(); }) {}

  ~ScriptedServer() {
    listener_.Shutdown();
    thread_.join();
  }

  const SocketAddress& address() const { return listener_.address(); }

 private:
  void Serve() {
    while (true) {
      auto socket = listener_.Accept();
      if (!socket.ok()) return;
      const Instant deadline = MonotonicNow() + std::chrono::seconds(5);
      standins::HttpReader reader(&*socket, standins::HttpReader::Kind::kRequests);
      const auto request = reader.ReadHead(deadline);
      if (!request.ok()) continue;
      const auto body = reader.ReadBody(deadline);
      if (!body.ok()) continue;
      (void)socket->WriteAll(script_(*request, *body), deadline);
    }
  }

  standins::Listener listener_;
  const Script script_;
  std::thread thread_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_SCRIPTED_SERVER_H_
