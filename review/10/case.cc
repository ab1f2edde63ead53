// Some backends crash while several clients read the same page. The retries of these reads succeed.
// Afterwards the page, which is on a route that was added later, is read again and again.
#include "../common-2/site.h"

using namespace review;

namespace {

constexpr int kBackends = 20;
constexpr int kInstances = 3;
constexpr int kRounds = 4;
constexpr int kReaders = 12;
// 0.15 of the backends.
constexpr int kCrashed = 3;
constexpr double kDown = 3;
constexpr double kWork = 0.06;
constexpr int kDeadlineMs = 1200;

}  // namespace

int main(int argc, char** argv) {
  bool trouble = false;
  const auto network = SetUp(argc, argv, &trouble);
  Store store;
  Require(store.Start(network + ".1", 8541), "store");

  std::mutex mutex;
  std::vector<Backend*> running_page;
  std::atomic<int> executions{0};
  std::vector<std::unique_ptr<Backend>> backends;
  const char* zones[] = {"krems", "melk", "spitz"};
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(&store, "i-" + std::to_string(i), "eisbrett",
                                                 network + "." + std::to_string(100 + i),
                                                 zones[i % 3], 6, kWork));
    backends.back()->on_request = [&](Backend* backend, Connection* connection,
                                      const Message& request) {
      if (request.start.rfind("GET /board/", 0) == 0) {
        ++executions;
        const std::lock_guard<std::mutex> lock(mutex);
        running_page.push_back(backend);
      }
      return backend->Run(connection, request);
    };
    Require(backends.back()->Start(), "backend");
  }
  const auto first = Route("/slots/", "eisbrett", "idempotent", kDeadlineMs, 250);
  const auto later = Route("/board/", "eisbrett", "idempotent", kDeadlineMs, 250);
  store.Put("op/config", Configuration(1, Json::array({first}), {"eisbrett"}));
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<Instance>(network, i, kInstances, zones[i]));
    Require(instances.back()->Start(), "instance");
  }
  for (auto& instance : instances) Require(instance->WaitUntilReady(), "instance");
  Sleep(1);
  store.Put("op/config", Configuration(2, Json::array({first, later}), {"eisbrett"}));
  Sleep(4);  // contactMs and configMs

  // Reads of other pages, which go on all the time.
  std::atomic<bool> is_over{false};
  std::vector<std::thread> others;
  for (int k = 0; k < 6; ++k) {
    others.emplace_back([&, k] {
      for (int n = 0; !is_over; ++n) {
        const auto name = std::to_string(k) + "." + std::to_string(n);
        Call(instances[static_cast<std::size_t>(k % kInstances)]->ip(), "GET", "/slots/" + name,
             "o" + name, kDeadlineMs);
        Sleep(0.05);
      }
    });
  }
  Sleep(1);
  int ended = 0;
  for (int round = 0; round < kRounds; ++round) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      running_page.clear();
    }
    std::vector<std::thread> readers;
    std::atomic<int> served{0};
    for (int k = 0; k < kReaders; ++k) {
      readers.emplace_back([&, k] {
        const auto id = "r" + std::to_string(round) + "." + std::to_string(k);
        const auto answer = Call(instances[static_cast<std::size_t>(k % kInstances)]->ip(), "GET",
                                 "/board/today", id, kDeadlineMs);
        served += answer.status == 200 && answer.is_whole ? 1 : 0;
      });
    }
    std::vector<Backend*> crashed;
    if (trouble) {
      // The crash meets backends that run the page.
      for (const double until = Now() + 0.5; Now() < until && crashed.size() < kCrashed;) {
        Sleep(0.001);
        const std::lock_guard<std::mutex> lock(mutex);
        std::set<Backend*> distinct(running_page.begin(), running_page.end());
        if (distinct.size() >= kCrashed) {
          crashed.assign(running_page.begin(), running_page.end());
          std::sort(crashed.begin(), crashed.end());
          crashed.erase(std::unique(crashed.begin(), crashed.end()), crashed.end());
          crashed.resize(kCrashed);
        }
      }
      for (auto* backend : crashed) backend->Crash();
    }
    for (auto& reader : readers) reader.join();
    std::string names;
    for (auto* backend : crashed) names += " " + backend->id();
    Record("round %d: %d of %d reads of /board/today served, crashed:%s", round, served.load(),
           kReaders, names.empty() ? " none" : names.c_str());
    Sleep(kDown);
    for (auto* backend : crashed) {
      for (double until = Now() + 5; !backend->Restart(1000);) {
        Require(Now() < until, "restart of a backend");
        Sleep(0.05);
      }
    }
    ended += static_cast<int>(crashed.size());
    Sleep(2);
  }
  Sleep(4);  // all backends are warm, and contactMs has passed

  Record("all %d backends run; now the steady state", kBackends);
  int page_served = 0, other_served = 0, page_refused = 0;
  constexpr int kReads = 60;
  std::string reason;
  for (int n = 0; n < kReads; ++n) {
    const auto& ip = instances[static_cast<std::size_t>(n % kInstances)]->ip();
    const auto page = Call(ip, "GET", "/board/today", "s" + std::to_string(n), kDeadlineMs);
    const auto other =
        Call(ip, "GET", "/slots/steady" + std::to_string(n), "t" + std::to_string(n), kDeadlineMs);
    page_served += page.status == 200 && page.is_whole ? 1 : 0;
    other_served += other.status == 200 && other.is_whole ? 1 : 0;
    if (page.status == 503) {
      ++page_refused;
      reason = page.message.body.substr(0, page.message.body.find('\n'));
    }
    Sleep(0.3);
  }
  is_over = true;
  for (auto& other : others) other.join();
  Record(
      "steady state: %d of %d reads served on the later route (%d refused, \"%s\"), %d of %d on "
      "the first route",
      page_served, kReads, page_refused, reason.c_str(), other_served, kReads);
  Record("backends began %d runs of /board/today, %d backends crashed", executions.load(), ended);
  if (other_served == 0) Finish(kCouldNotRun, "could not run: nothing was served");
  if (page_served * 4 < other_served) {
    Finish(kBroken, "CONFIG: the later route is served " + std::to_string(page_served) + " of " +
                        std::to_string(kReads) + " times, the first one " +
                        std::to_string(other_served) + " times");
  }
  Finish(kHeld, "held: the later route is served like the first one");
}
