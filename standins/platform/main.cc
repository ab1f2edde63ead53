// Stand-in for the users' platform in tests: the store and the upstreams that it lists, driven
// through a control port. Exit codes: 1 if a port can't be bound, 2 for wrong usage.
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>

#include "platform_store.h"
#include "platform_upstream.h"
#include "primroseweir/base/error.h"
#include "primroseweir/gateway/page_server.h"
#include "primroseweir/loop/event_loop.h"

namespace primroseweir::standin {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kNotFound = 404;

// Control port with one page for each command of the tests.
class ControlServer {
 public:
  ControlServer(EventLoop* loop, PlatformStore* store) : loop_(loop), store_(store), port_(loop) {
    using Query = PageServer::Query;
    port_.Add("/put", [this](const Query& query) {
      // A long value is `value` repeated, followed by `end`.
      const auto part = QueryValue(query, "value");
      std::string value;
      for (int i = 0; i < std::max(1, std::atoi(QueryValue(query, "repeat").c_str())); ++i) {
        value += part;
      }
      store_->Put(QueryValue(query, "key"), value + QueryValue(query, "end"));
      return DonePage();
    });
    port_.Add("/erase", [this](const Query& query) {
      store_->Erase(QueryValue(query, "key"));
      return DonePage();
    });
    port_.Add("/compact", [this](const Query&) {
      store_->Compact();
      return DonePage();
    });
    port_.Add("/down", [this](const Query& query) {
      store_->SetDown(QueryValue(query, "for") != "no");
      return DonePage();
    });
    port_.Add("/stale", [this](const Query& query) {
      store_->SetStale(QueryValue(query, "reads") != "no");
      return DonePage();
    });
    port_.Add("/upstream", [this](const Query& query) { return AddUpstream(query); });
    port_.Add("/mode", [this](const Query& query) {
      return WithUpstream(query, [&query](PlatformUpstream* upstream) {
        upstream->SetMode(QueryValue(query, "mode"));
      });
    });
    port_.Add("/state", [this](const Query& query) {
      return WithUpstream(query, [this, &query](PlatformUpstream* upstream) {
        store_->Put("servers/" + upstream->id(), upstream->StoreEntry(QueryValue(query, "state")));
      });
    });
    port_.Add("/restart", [this](const Query& query) {
      return WithUpstream(query, [this](PlatformUpstream* upstream) {
        upstream->Restart();
        store_->Put("servers/" + upstream->id(), upstream->StoreEntry("ready"));
      });
    });
    port_.Add("/crash", [this](const Query& query) {
      return upstreams_.erase(QueryValue(query, "id")) == 0
                 ? PageServer::Page{kNotFound, "text/plain", "no such upstream\n"}
                 : DonePage();
    });
    port_.Add("/requests", [this](const Query&) {
      std::string text;
      for (const auto& [id, upstream] : upstreams_) {
        text += id + "=" + std::to_string(upstream->requests()) + "\n";
      }
      return PageServer::Page{200, "text/plain", text};
    });
    port_.Add("/runs", [this](const Query&) {
      std::string text;
      for (const auto& [id, upstream] : upstreams_) {
        text += id + "=" + std::to_string(upstream->executions()) + "\n";
      }
      return PageServer::Page{200, "text/plain", text};
    });
    port_.Add("/callers", [this](const Query&) {
      std::string text;
      for (const auto& line : caller_lines_) {
        text += line + "\n";
      }
      return PageServer::Page{200, "text/plain", text};
    });
    port_.Add("/first-executions", [this](const Query&) {
      std::string text;
      for (const auto& [request, time] : first_executions_) {
        text += request + " " + std::to_string(time) + "\n";
      }
      return PageServer::Page{200, "text/plain", text};
    });
    port_.Add("/ledger", [this](const Query&) {
      std::string text;
      for (const auto& [request, count] : execution_counts_) {
        text += request + " " + std::to_string(count) + "\n";
      }
      return PageServer::Page{200, "text/plain", text};
    });
  }

  absl::Status Listen(const SocketAddress& address) { return port_.Listen(address); }

 private:
  static PageServer::Page DonePage() { return {200, "text/plain", "done\n"}; }
  static std::string QueryValue(const PageServer::Query& query, const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  }

  PageServer::Page AddUpstream(const PageServer::Query& query) {
    const auto address = ParseSocketAddress(QueryValue(query, "address"));
    if (!address.ok()) {
      return {kNotFound, "text/plain", MessageOf(address.status())};
    }
    PlatformUpstream::Options options;
    options.id = QueryValue(query, "id");
    options.service = QueryValue(query, "service");
    options.data_centre = QueryValue(query, "zone");
    options.address = *address;
    const auto listed_relay = ParseSocketAddress(QueryValue(query, "listed"));
    options.listed_address = listed_relay.ok() ? *listed_relay : *address;
    options.execution_time =
        std::chrono::milliseconds(std::atoi(QueryValue(query, "work_ms").c_str()));
    auto upstream = std::make_unique<PlatformUpstream>(loop_, options, &execution_counts_,
                                                       &first_executions_, &caller_lines_);
    const auto status = upstream->Start();
    if (!status.ok()) {
      return {kNotFound, "text/plain", MessageOf(status)};
    }
    store_->Put("servers/" + options.id, upstream->StoreEntry("ready"));
    upstreams_[options.id] = std::move(upstream);
    return DonePage();
  }

  template <typename Action>
  PageServer::Page WithUpstream(const PageServer::Query& query, const Action& action) {
    const auto found = upstreams_.find(QueryValue(query, "id"));
    if (found == upstreams_.end()) {
      return {kNotFound, "text/plain", "no such upstream\n"};
    }
    action(found->second.get());
    return DonePage();
  }

  EventLoop* const loop_;
  PlatformStore* const store_;
  PageServer port_;
  PlatformUpstream::ExecutionCounts execution_counts_;
  PlatformUpstream::FirstExecutions first_executions_;
  PlatformUpstream::CallerLines caller_lines_;
  std::map<std::string, std::unique_ptr<PlatformUpstream>> upstreams_;
};

int Serve(const std::string& store_text, const std::string& control_text) {
  const auto store_address = ParseSocketAddress(store_text);
  const auto control_address = ParseSocketAddress(control_text);
  if (!store_address.ok() || !control_address.ok()) {
    std::cerr << "usage: addresses are IP:PORT\n";
    return kExitUsage;
  }
  EventLoop loop;
  PlatformStore store(&loop);
  ControlServer control(&loop, &store);
  for (const auto& status : {store.Listen(*store_address), control.Listen(*control_address)}) {
    if (!status.ok()) {
      std::cerr << "start: " << MessageOf(status) << "\n";
      return kExitFailure;
    }
  }
  std::cout << "ready" << std::endl;
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace primroseweir::standin

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for the users' platform", ' ', "0.1.0");
  command.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> store("", "store", "address of the store", true, "", "IP:PORT",
                                     command);
  TCLAP::ValueArg<std::string> control(
      "", "control",
      "control port: /put?key=&value=&repeat=&end=, /erase?key=, /compact, /down?for=no|all, "
      "/stale?reads=no|yes, "
      "/upstream?id=&service=&zone=&address=&listed=&work_ms=, /mode?id=&mode=, "
      "/state?id=&state=, /restart?id=, /crash?id=, /requests, /runs, /first-executions, /ledger",
      true, "", "IP:PORT", command);
  try {
    command.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "usage: " << error.error() << " " << error.argId() << "\n";
    return primroseweir::standin::kExitUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  return primroseweir::standin::Serve(store.getValue(), control.getValue());
}
