#ifndef TESTS_SUPPORT_SITE_H_
#define TESTS_SUPPORT_SITE_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "support/child_process.h"
#include "support/network.h"
#include "support/relay.h"
#include "support/site_plan.h"
#include "wire/fetch.h"

namespace primroseweir::testing {

// Runs entry instances, stand-in upstreams and the stand-in configuration service as processes on a
// network of their own, with a folder below the build folder. Failures to start throw
// std::runtime_error with the log of the process. Everything ends with the object.
class Site {
 public:
  using Json = nlohmann::json;

  // Starts everything and waits until each entry instance names all the others.
  explicit Site(SitePlan plan);
  // Removes the folder, unless a test failed meanwhile: then its path is printed.
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  // ---- entry instances ----

  // Starts one more in that data centre and waits for its answer; its index. A seat below 0 takes
  // the next free one.
  int StartEntry(const std::string& data_centre, int seat = -1);
  // Starts that instance again, at the same addresses and seat.
  void RestartEntry(int index, bool wait = true);
  ChildProcess& entry(int index) { return *entries_.at(index).process; }
  int entry_count() const { return static_cast<int>(entries_.size()); }
  SocketAddress CallerAddress(int index) const;
  SocketAddress AdminAddress(int index) const;
  std::vector<SocketAddress> CallerAddresses() const;
  const std::string& DataCentreOf(int index) const { return entries_.at(index).data_centre; }
  // Answer of the admin port with the operator's token. Errors: as standins::Fetch.
  absl::StatusOr<standins::HttpResponse> Admin(int index, const std::string& target) const;
  // Body of /status; null when the instance doesn't answer.
  Json Status(int index) const;
  // True once the address answer names `count` addresses.
  bool WaitForAddresses(int index, int count, Duration timeout) const;

  // ---- configuration service ----

  // Sets a value; its revision.
  std::uint64_t SetValue(const std::string& key, const std::string& value);
  std::uint64_t DeclareOut(const std::set<std::string>& data_centres);
  // State "live" or "leaving" in the list; "" takes the upstream off the list.
  std::uint64_t List(const std::string& upstream, const std::string& state);
  // POST to the control port of the stand-in, such as "/down" or "/freeze?who=IP:PORT".
  void Configuration(const std::string& target, const std::string& body = "");
  // The address at which instances of that data centre read.
  SocketAddress ConfigurationAddress(const std::string& data_centre) const;
  std::string ServicesText() const;

  // ---- upstreams ----

  ChildProcess& upstream(const std::string& id) { return *upstreams_.at(id).process; }
  Relay& relay(const std::string& id) { return *upstreams_.at(id).relay; }
  void RestartUpstream(const std::string& id);
  std::vector<std::string> UpstreamIds(const std::string& service) const;
  const std::string& UpstreamDataCentre(const std::string& id) const;
  // Counters of the stand-in.
  Json UpstreamState(const std::string& id) const;
  // POST to the test-only port of one upstream, such as "/modes".
  void Control(const std::string& id, const std::string& target, const std::string& body = "");
  // Executions of each booking over all upstreams of the service, running ones included.
  std::map<std::string, int> Executions(const std::string& service) const;
  // Sum of a counter over all upstreams of the service.
  std::uint64_t Sum(const std::string& service, const std::string& counter) const;

  // Process ids of all processes, divided by commas.
  std::string PidsText() const;
  const std::string& folder() const { return folder_; }
  const Network& network() const { return network_; }
  const std::string& operator_token() const { return operator_token_; }

  // Path of a binary of this build, below its folder.
  static std::string Binary(const std::string& path);

 private:
  struct Entry {
    std::string data_centre;
    int seat = 0;
    std::string settings_path;
    std::unique_ptr<ChildProcess> process;
  };
  struct Upstream {
    std::string service;
    std::string data_centre;
    std::string state = "live";
    int host = 0;
    const ServicePlan* plan = nullptr;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<ChildProcess> process;
  };

  void StartConfiguration();
  void StartUpstreams();
  void StartUpstreamProcess(const std::string& id, Upstream* upstream);
  void WriteEntrySettings(int index);
  std::string InstancesText() const;
  std::string Write(const std::string& name, const std::string& text) const;
  void MustLog(ChildProcess* process, const std::string& text) const;

  const SitePlan plan_;
  const Network network_;
  const std::string folder_;
  const std::string fleet_key_;
  const std::string operator_token_;
  const int failures_at_start_;
  std::unique_ptr<ChildProcess> configuration_;
  std::map<std::string, Upstream> upstreams_;
  std::vector<Entry> entries_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_SITE_H_
