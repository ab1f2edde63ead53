// Backends are silent in the middle of large answers, for less time than the deadline leaves, after
// the instance got a SIGHUP.
#include "../common-2/site.h"

using namespace review;

namespace {

constexpr int kBackends = 6;
constexpr int kRequests = 12;
constexpr int kDeadlineMs = 60000;
// Time after which the rest of an answer follows.
constexpr double kWork = 2.1;
constexpr double kLongWork = 25.2;
constexpr std::size_t kFirstPart = 900000;
constexpr std::size_t kRest = 100000;

}  // namespace

int main(int argc, char** argv) {
  bool trouble = false;
  const auto network = SetUp(argc, argv, &trouble);
  Store store;
  Require(store.Start(network + ".1", 8541), "store");
  std::atomic<int> completed{0};
  std::atomic<int> broken_off{0};
  std::vector<std::unique_ptr<Backend>> backends;
  const char* zones[] = {"krems", "melk", "spitz"};
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(&store, "i-" + std::to_string(i), "kartenhaus",
                                                 network + "." + std::to_string(100 + i),
                                                 zones[i % 3], 6, 0.01));
    backends.back()->on_request = [&](Backend* backend, Connection* connection,
                                      const Message& request) {
      // The backend sends what it has, and the rest after the end of its work.
      const double began = Now();
      const auto length = std::to_string(kFirstPart + kRest);
      connection->Write(backend->Head("200 OK", request,
                                      "Content-Length: " + length + "\r\nX-Response-Signature: s." +
                                          backend->id() + "\r\n") +
                        std::string(kFirstPart, 'a'));
      const double end = began + (trouble ? kLongWork : kWork);
      char byte = 0;
      for (; Now() < end; Sleep(0.05)) {
        if (recv(connection->fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 ||
            (errno != EAGAIN && errno != EWOULDBLOCK)) {
          ++broken_off;
          Record("backend %s: %s was broken off after %.2f s of work", backend->id().c_str(),
                 request.Field("x-request-id").c_str(), Now() - began);
          return false;
        }
      }
      const bool sent = connection->Write(std::string(kRest, 'c'));
      completed += sent ? 1 : 0;
      return sent;
    };
    Require(backends.back()->Start(), "backend");
  }
  store.Put("op/config",
            Configuration(
                1, Json::array({Route("/charts/", "kartenhaus", "download", kDeadlineMs, 3000)}),
                {"kartenhaus"}));
  Instance instance(network, 0, 1, "krems");
  Require(instance.Start() && instance.WaitUntilReady(), "instance");
  Sleep(4);  // contactMs, so that the machine is in touch

  instance.Signal(SIGHUP);
  Record("SIGHUP");
  Sleep(0.3);
  std::vector<std::thread> clients;
  std::vector<Answer> answers(kRequests);
  for (int k = 0; k < kRequests; ++k) {
    clients.emplace_back([&, k] {
      const auto id = "d" + std::to_string(k);
      const double began = Now();
      auto& answer = answers[static_cast<std::size_t>(k)];
      answer = Call(instance.ip(), "GET", "/charts/" + id, id, kDeadlineMs);
      Record("client: %s sent at %.3f, status %d, %zu bytes, %s after %.2f s", id.c_str(), began,
             answer.status, answer.message.body.size(),
             answer.is_whole    ? "whole"
             : answer.was_reset ? "reset"
                                : "not whole",
             Now() - began);
    });
  }
  for (auto& client : clients) client.join();
  int whole = 0, cut = 0;
  for (const auto& answer : answers) {
    whole += answer.is_whole ? 1 : 0;
    cut += answer.status == 200 && !answer.is_whole ? 1 : 0;
  }
  Record("%d answers whole, %d cut; backends completed %d and saw %d broken off", whole, cut,
         completed.load(), broken_off.load());
  if (whole + cut == 0) Finish(kCouldNotRun, "could not run: no answer began");
  if (cut > 0) {
    Finish(kBroken, "LOST: " + std::to_string(cut) + " of " + std::to_string(kRequests) +
                        " answers were cut while their backends were at work");
  }
  Finish(kHeld, "held: all answers are whole");
}
