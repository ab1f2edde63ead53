// Clients send further reads before a slow first one is answered, and the instance is stopped as
// planned. The backends of the further reads answer at once; their answers wait for their turn.
#include "../common-2/site.h"

using namespace review;

namespace {

constexpr int kBackends = 20;
constexpr int kClients = 5;
constexpr int kAhead = 6;
constexpr int kDeadlineMs = 10000;
// Work of the first request of each connection, and of the others.
constexpr double kSlowWork = 4;
constexpr double kWork = 0.05;
constexpr double kGrace = 6;
// Seconds after SIGTERM at which the clients send, and after which the process still reads
// requests.
constexpr double kSent = 2.5;

}  // namespace

int main(int argc, char** argv) {
  bool trouble = false;
  const auto network = SetUp(argc, argv, &trouble);
  Store store;
  Require(store.Start(network + ".1", 8541), "store");
  std::mutex mutex;
  std::map<std::string, double> begun, ended;
  std::vector<std::unique_ptr<Backend>> backends;
  const char* zones[] = {"krems", "melk", "spitz"};
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(&store, "i-" + std::to_string(i), "eisbrett",
                                                 network + "." + std::to_string(100 + i),
                                                 zones[i % 3], 6, kWork));
    backends.back()->on_request = [&](Backend* backend, Connection* connection,
                                      const Message& request) {
      const auto id = request.Field("x-request-id");
      {
        const std::lock_guard<std::mutex> lock(mutex);
        begun.emplace(id, Now());
      }
      if (request.start.rfind("GET /board/slow", 0) == 0) Sleep(kSlowWork - kWork);
      if (!backend->Run(connection, request)) return false;
      const std::lock_guard<std::mutex> lock(mutex);
      ended[id] = Now();
      return true;
    };
    Require(backends.back()->Start(), "backend");
  }
  store.Put(
      "op/config",
      Configuration(1, Json::array({Route("/board/", "eisbrett", "idempotent", kDeadlineMs, 1500)}),
                    {"eisbrett"}));
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < 2; ++i) {
    instances.push_back(std::make_unique<Instance>(network, i, 2, zones[i]));
    Require(instances.back()->Start(), "instance");
  }
  for (auto& instance : instances) Require(instance->WaitUntilReady(), "instance");
  Sleep(4);  // contactMs, so that the machines are in touch

  auto& stopped = *instances.front();
  const double stop = Now();
  if (trouble) {
    stopped.Signal(SIGTERM);
    Record("SIGTERM");
  }
  std::atomic<int> answered{0}, lost{0}, excused{0}, connected{0};
  std::vector<std::thread> clients;
  for (int k = 0; k < kClients; ++k) {
    clients.emplace_back([&, k] {
      const auto name = std::to_string(k);
      auto connection = Connection::Open(stopped.ip(), Instance::kFront);
      if (connection == nullptr) return;
      // An ordinary read first: the connection is a kept one.
      connection->Write(RequestText("GET", "/board/first", "k" + name, kDeadlineMs));
      if (!ReadAnswer(connection.get(), Now() + 5).is_whole) return;
      ++connected;
      Sleep(stop + kSent - Now());
      std::vector<std::string> ids = {"slow" + name};
      std::string text = RequestText("GET", "/board/slow" + name, ids[0], kDeadlineMs);
      for (int n = 0; n < kAhead; ++n) {
        ids.push_back("a" + name + "." + std::to_string(n));
        text += RequestText("GET", "/board/" + ids.back(), ids.back(), kDeadlineMs);
      }
      const double sent = Now();
      connection->Write(text);
      std::size_t whole = 0;
      while (whole < ids.size() && ReadAnswer(connection.get(), sent + 11).is_whole) ++whole;
      answered += static_cast<int>(whole);
      const double cut = Now();
      Sleep(0.2);
      const std::lock_guard<std::mutex> lock(mutex);
      for (; whole < ids.size(); ++whole) {
        const auto& id = ids[whole];
        if (begun.count(id) == 0) {
          Record("%s: sent %.2f s after the stop, not passed on", id.c_str(), sent - stop);
          continue;
        }
        // Excused: the backend was still at work in the last sixth of graceS.
        const bool is_excused = ended.count(id) == 0 || ended[id] > stop + kGrace * 5 / 6;
        ++(is_excused ? excused : lost);
        Record(
            "%s: sent %.2f s after the stop, at its backend from %.2f to %.2f s, no answer, "
            "connection ended at %.2f s%s",
            id.c_str(), sent - stop, begun[id] - stop, ended.count(id) > 0 ? ended[id] - stop : -1,
            cut - stop, is_excused ? " (excused)" : "");
      }
    });
  }
  for (auto& client : clients) client.join();
  Record("%d answered, %d lost, %d lost with an excuse", answered.load(), lost.load(),
         excused.load());
  if (connected == 0) Finish(kCouldNotRun, "could not run: no connection");
  if (lost > 0) {
    Finish(kBroken, "LOST: " + std::to_string(lost.load()) +
                        " requests that backends had answered got no answer at a planned stop");
  }
  Finish(kHeld, "held: each request that a backend had answered got its answer");
}
