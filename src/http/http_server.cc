#include "primroseweir/http/http_server.h"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "primroseweir/base/random.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/http/server_connection.h"

namespace primroseweir {
namespace {

constexpr int kBacklog = 1024;
constexpr auto kAcceptPause = std::chrono::milliseconds(5);
// Time for the first request of a connection that was accepted just before the stop.
constexpr auto kFirstRequestGrace = std::chrono::seconds(1);
constexpr int kPortAttempts = 200;
constexpr std::uint64_t kFirstFreePort = 20'000;
constexpr std::uint64_t kFreePorts = 40'000;

using ServerSocket = std::unique_ptr<cxxtools::net::TcpServer>;

absl::StatusOr<ServerSocket> Bind(const SocketAddress& address) {
  try {
    return std::make_unique<cxxtools::net::TcpServer>(address.ip, address.port, kBacklog);
  } catch (const std::exception& error) {
    return absl::UnavailableError("listen on " + address.ToString() + ": " + error.what());
  }
}

// cxxtools doesn't tell the port that the system picked for port 0, so the choice is made here.
absl::StatusOr<ServerSocket> ListenOnFreePort(SocketAddress* address) {
  Random random(EntropySeed());
  absl::Status last;
  for (int attempt = 0; attempt < kPortAttempts; ++attempt) {
    address->port = static_cast<std::uint16_t>(kFirstFreePort + random.Below(kFreePorts));
    auto server = Bind(*address);
    if (server.ok()) {
      return server;
    }
    last = server.status();
  }
  return last;
}

}  // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(Options options, RequestHandler* handler)
      : options_(std::move(options)), handler_(handler), stop_event_(eventfd(0, EFD_CLOEXEC)) {}
  ~Implementation() { close(stop_event_); }

  void set_handler(RequestHandler* handler) { handler_ = handler; }

  absl::Status Listen() {
    auto server =
        options_.address.port == 0 ? ListenOnFreePort(&options_.address) : Bind(options_.address);
    if (!server.ok()) {
      return server.status();
    }
    server_ = std::move(*server);
    return absl::OkStatus();
  }

  absl::Status Start() {
    auto status = server_ == nullptr ? Listen() : absl::OkStatus();
    if (!status.ok()) {
      return status;
    }
    acceptor_ = std::thread([this] { AcceptAll(); });
    return absl::OkStatus();
  }

  const SocketAddress& address() const { return options_.address; }
  std::size_t connections() const { return connections_.load(); }

  void StopAccepting() {
    closing_.store(true);
    eventfd_write(stop_event_, 1);
    const std::lock_guard<std::mutex> lock(stop_mutex_);
    if (!acceptor_.joinable()) {
      return;
    }
    stopping_.store(true);
    server_->terminateAccept();
    acceptor_.join();
    server_.reset();
  }

  void WaitUntilIdle() {
    std::unique_lock<std::mutex> lock(idle_mutex_);
    idle_.wait(lock, [this] { return connections_.load() == 0; });
  }

 private:
  struct Task {
    std::shared_ptr<Implementation> server;
    std::unique_ptr<cxxtools::net::TcpSocket> socket;
    bool overflow = false;
  };

  void AcceptAll() {
    while (!stopping_.load()) {
      try {
        auto socket = std::make_unique<cxxtools::net::TcpSocket>();
        socket->accept(*server_);
        Spawn(std::move(socket));
      } catch (const cxxtools::net::AcceptTerminated&) {
        return;
      } catch (const std::exception&) {
        // Out of descriptors or an aborted connection: the listener itself stays usable.
        std::this_thread::sleep_for(kAcceptPause);
      }
    }
  }

  // Connections above the limit get an answer too, as long as a few threads are left for it.
  void Spawn(std::unique_ptr<cxxtools::net::TcpSocket> socket) {
    const auto open = connections_.fetch_add(1) + 1;
    const bool overflow = open > options_.max_connections;
    if (open > options_.max_connections + kOverflowConnections) {
      Leave();
      return;
    }
    auto* task = new Task{shared_from_this(), std::move(socket), overflow};
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, options_.stack_bytes);
    pthread_t thread{};
    if (pthread_create(&thread, &attributes, &Run, task) != 0) {
      delete task;
      Leave();
    }
    pthread_attr_destroy(&attributes);
  }

  static void* Run(void* argument) {
    const std::unique_ptr<Task> task(static_cast<Task*>(argument));
    task->server->Serve(std::move(task->socket), task->overflow);
    task->server->Leave();
    return nullptr;
  }

  void Serve(std::unique_ptr<cxxtools::net::TcpSocket> socket, bool overflow) {
    ServerConnection connection(std::make_unique<SocketStream>(std::move(socket)), options_.limits,
                                &closing_);
    if (overflow) {
      connection.set_close_after_response();
      handler_->HandleOverflow(&connection);
    } else {
      bool first = true;
      while (ServeOne(&connection, first)) {
        first = false;
      }
    }
    connection.Linger();
  }

  bool HasRequest(ServerConnection* connection, bool first) {
    if (connection->WaitForRequest(stop_event_)) {
      return true;
    }
    const auto grace = first ? Duration(kFirstRequestGrace) : Duration::zero();
    return closing_.load() && connection->socket()->WaitReadable(MonotonicNow() + grace).ok();
  }

  bool ServeOne(ServerConnection* connection, bool first) {
    if (!HasRequest(connection, first)) {
      return false;
    }
    auto status = connection->ReadHead();
    if (!status.ok()) {
      RespondToFault(connection, status);
      return false;
    }
    handler_->Handle(connection);
    return connection->NextRequest();
  }

  void RespondToFault(ServerConnection* connection, const absl::Status& status) {
    if (absl::IsUnavailable(status)) {
      return;
    }
    connection->set_close_after_response();
    handler_->HandleFault(connection, HttpStatusOfFault(status), status);
  }

  void Leave() {
    const std::lock_guard<std::mutex> lock(idle_mutex_);
    connections_.fetch_sub(1);
    idle_.notify_all();
  }

  static constexpr std::size_t kOverflowConnections = 64;

  Options options_;
  RequestHandler* handler_;
  const int stop_event_;
  ServerSocket server_;
  std::thread acceptor_;
  std::mutex stop_mutex_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> closing_{false};
  std::atomic<std::size_t> connections_{0};
  std::mutex idle_mutex_;
  std::condition_variable idle_;
};

HttpServer::HttpServer(const Options& options, RequestHandler* handler)
    : implementation_(std::make_shared<Implementation>(options, handler)) {}

HttpServer::~HttpServer() {
  StopAccepting();
  WaitUntilIdle();
}

absl::Status HttpServer::Listen() { return implementation_->Listen(); }
void HttpServer::set_handler(RequestHandler* handler) { implementation_->set_handler(handler); }
absl::Status HttpServer::Start() { return implementation_->Start(); }
SocketAddress HttpServer::address() const { return implementation_->address(); }
void HttpServer::StopAccepting() { implementation_->StopAccepting(); }
void HttpServer::WaitUntilIdle() { implementation_->WaitUntilIdle(); }
std::size_t HttpServer::connections() const { return implementation_->connections(); }

}  // namespace primroseweir
