#include <deque>
#include <mutex>

#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

using Json = Site::Json;

// Returns the text of the site with these customers.
std::string TextWith(const Site& site, const Json& customers) {
  Json text = Json::parse(site.ServicesText());
  text["customers"] = customers;
  return text.dump();
}

std::vector<HeaderField> KeyField(const std::string& key) {
  return {{"Authorization", "Token " + key}};
}

int StatusWith(const Site& site, int index, const std::string& key) {
  return Send(site.CallerAddress(index), "GET", std::string("/") + kReadService + "/read",
              KeyField(key))
      .head.status;
}

// Times of the calls of a customer that were sent to upstreams, over all instances.
class ServedCalls {
 public:
  void Add() {
    const std::lock_guard<std::mutex> lock(mutex_);
    times_.push_back(MonotonicNow());
  }
  std::size_t count() const { return times_.size(); }
  std::size_t MostWithinFiveSeconds() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times_.size(); ++last) {
      while (times_[last] - times_[first] >= seconds(5)) ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }

 private:
  std::mutex mutex_;
  std::deque<Instant> times_;
};

// Guards against a quota that each instance admits for itself, against a flood of one customer that
// takes the quota of another one, and against keys in the logs of the processes.
TEST_CASE("a quota holds over three instances, and a withdrawn key is refused by all") {
  Site site(SmallPlan("customers"));
  const Json customers =
      Json::array({{{"name", "flood"}, {"keys", {"key-flood"}}, {"rate", 20}, {"burst", 20}},
                   {{"name", "calm"}, {"keys", {"key-calm"}}, {"rate", 50}, {"burst", 50}},
                   {{"name", "old"}, {"keys", {"key-old"}}}});
  auto revision = site.SetValue("text", TextWith(site, customers));
  REQUIRE(WaitForRevision(site, {0, 1, 2}, revision, kMaxReactionTime));
  for (int i = 0; i < 3; ++i) {
    CHECK(StatusWith(site, i, "key-old") == 200);
    CHECK(StatusWith(site, i, "key-none") == 401);
    CHECK(
        Send(site.CallerAddress(i), "GET", std::string("/") + kReadService + "/read").head.status ==
        401);
  }
  ServedCalls served;
  std::atomic<int> refused{0};
  std::atomic<int> others{0};
  std::atomic<bool> stop{false};
  std::vector<std::thread> floods;
  for (int i = 0; i < 6; ++i) {
    floods.emplace_back([&, i] {
      while (!stop) {
        const int status = StatusWith(site, i % 3, "key-flood");
        if (status == 429) {
          ++refused;
        } else if (status == 200) {
          served.Add();
        } else {
          ++others;
        }
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  int calm_refused = 0;
  for (int i = 0; i < 60; ++i) {
    calm_refused += StatusWith(site, i % 3, "key-calm") == 200 ? 0 : 1;
    std::this_thread::sleep_for(milliseconds(200));
  }
  stop = true;
  for (auto& flood : floods) flood.join();
  INFO("served " << served.count() << ", refused " << refused << ", others " << others);
  CHECK(served.MostWithinFiveSeconds() <= (20 * 5 + 20) * 1.25 + 20);
  CHECK(served.count() > 60);
  CHECK(refused > 100);
  // Calls of a customer far below its quota.
  CHECK(calm_refused <= 6);

  std::map<std::string, std::size_t> served_sums;
  std::map<std::string, int> quota_sums;
  for (int i = 0; i < 3; ++i) {
    const Json status = site.FetchStatus(i);
    REQUIRE(status.contains("customers"));
    CHECK(status["quota_share"] > 0);
    for (const Json& customer : status["customers"]) {
      const auto name = customer["customer"].get<std::string>();
      served_sums[name] += customer["served"].get<std::size_t>();
      quota_sums[name] += customer["refused"].value("quota", 0);
    }
    const auto metrics = site.Admin(i, "/metrics");
    REQUIRE(metrics.ok());
    CHECK(metrics->body.find("primroseweir_customer_calls_total{customer=\"flood\"") !=
          std::string::npos);
    CHECK(metrics->body.find("key-") == std::string::npos);
  }
  CHECK(served_sums["flood"] == served.count());
  CHECK(quota_sums["flood"] == refused.load());

  revision = site.SetValue("text", TextWith(site, Json::array({customers[0], customers[1]})));
  REQUIRE(WaitForRevision(site, {0, 1, 2}, revision, kMaxReactionTime));
  for (int i = 0; i < 3; ++i) CHECK(StatusWith(site, i, "key-old") == 401);
  for (int i = 0; i < 3; ++i) {
    const auto events = site.Admin(i, "/events?after=0");
    const auto status = site.Admin(i, "/status");
    REQUIRE((events.ok() && status.ok()));
    CHECK(events->body.find("key-") == std::string::npos);
    CHECK(status->body.find("key-") == std::string::npos);
  }
}

}  // namespace
}  // namespace primroseweir::testing
