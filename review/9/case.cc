// A request crashes the one backend of its service each time it runs. The backend comes back under
// the id that it had, and the request comes again.
#include "../common-2/site.h"

using namespace review;

namespace {

constexpr int kInstances = 3;
constexpr double kDown = 3;
constexpr double kContact = 3;
constexpr double kLength = 75;
constexpr int kDeadlineMs = 1500;
constexpr int kAllowedRetries = 3;

}  // namespace

int main(int argc, char** argv) {
  bool trouble = false;
  const auto network = SetUp(argc, argv, &trouble);
  Store store;
  Require(store.Start(network + ".1", 8541), "store");
  Backend backend(&store, "i-7f3a91c2", "geleitbuch", network + ".100", "krems", 6, 0.12);
  std::mutex mutex;
  std::vector<double> crashes;
  std::set<std::string> begun, ended;
  std::condition_variable has_crashed;
  bool is_down = false;
  backend.on_request = [&](Backend* self, Connection* connection, const Message& request) {
    const auto id = request.Field("x-request-id");
    if (request.body == "crash") {
      const std::lock_guard<std::mutex> lock(mutex);
      if (is_down) return false;
      is_down = true;
      crashes.push_back(Now());
      Record("backend: crash %zu, by request %s", crashes.size(), id.c_str());
      self->Crash();
      has_crashed.notify_all();
      return false;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex);
      begun.insert(id);
    }
    const bool sent = self->Run(connection, request);
    const std::lock_guard<std::mutex> lock(mutex);
    if (sent && !is_down) ended.insert(id);
    return sent;
  };
  Require(backend.Start(), "backend");
  store.Put("op/config",
            Configuration(
                1, Json::array({Route("/book/", "geleitbuch", "non_idempotent", kDeadlineMs, 300)}),
                {"geleitbuch"}));
  const char* zones[] = {"krems", "melk", "spitz"};
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<Instance>(network, i, kInstances, zones[i]));
    Require(instances.back()->Start(), "instance");
  }
  for (auto& instance : instances) Require(instance->WaitUntilReady(), "instance");
  Sleep(kContact + 1);

  std::thread([&] {
    for (;;) {
      {
        std::unique_lock<std::mutex> lock(mutex);
        has_crashed.wait(lock, [&] { return is_down; });
      }
      Sleep(kDown);
      while (!backend.Restart(1000)) Sleep(0.05);
      const std::lock_guard<std::mutex> lock(mutex);
      is_down = false;
      Record("backend: back under the same id");
    }
  }).detach();

  std::atomic<bool> is_over{false};
  std::atomic<int> lost{0}, served{0}, refused{0};
  std::vector<std::thread> others;
  for (int k = 0; k < 4; ++k) {
    others.emplace_back([&, k] {
      for (int n = 0; !is_over; ++n) {
        const auto id = "o" + std::to_string(k) + "." + std::to_string(n);
        const auto answer = Call(instances[static_cast<std::size_t>(n % kInstances)]->ip(), "POST",
                                 "/book/escort", id, kDeadlineMs, "booking " + id);
        ++(answer.status == 200 ? served : answer.status == 503 ? refused : lost);
        Sleep(0.1);
      }
    });
  }
  const double until = Now() + kLength;
  for (int n = 0; Now() < until; ++n) {
    if (trouble) {
      const auto id = "q" + std::to_string(n);
      const auto answer = Call(instances[static_cast<std::size_t>(n % kInstances)]->ip(), "POST",
                               "/book/escort", id, kDeadlineMs, "crash");
      Record("client: %s answered %d", id.c_str(), answer.status);
    }
    Sleep(1);
  }
  is_over = true;
  for (auto& other : others) other.join();
  const std::lock_guard<std::mutex> lock(mutex);
  int late = 0;
  for (std::size_t i = 3; i < crashes.size(); ++i) {
    late += crashes[i] > crashes[2] + kContact ? 1 : 0;
  }
  int cut = 0;
  for (const auto& id : begun) cut += ended.count(id) == 0 ? 1 : 0;
  Record("%zu crashes, %d of them later than contactMs after the third", crashes.size(), late);
  Record(
      "other bookings: %d served, %d refused, %d failed; the backend had begun %d of them and "
      "did not end them",
      served.load(), refused.load(), lost.load(), cut);
  if (served == 0) Finish(kCouldNotRun, "could not run: nothing was served");
  if (late > kAllowedRetries) {
    Finish(kBroken, "BUDGET: the request reached a backend in " + std::to_string(late) +
                        " retries later than contactMs after its third crash; " +
                        std::to_string(cut) + " other bookings were cut off");
  }
  Finish(kHeld,
         "held: " + std::to_string(late) + " retries reached a backend after the third crash");
}
