#include "primroseweir/http/http_server.h"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <exception>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "primroseweir/base/random.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/http/server_connection.h"
#include "primroseweir/http/waiting_connections.h"

namespace primroseweir {
namespace {

constexpr int kBacklog = 1024;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(5);
// Time for the first request on a connection that was accepted just before StopAccepting.
constexpr auto kFirstRequestTimeout = std::chrono::seconds(1);
// Descriptors of the process for everything else than this server's callers and their upstreams.
constexpr std::size_t kReservedDescriptors = 200;
// A connection needs a second descriptor while its request is at an upstream.
constexpr std::size_t kDescriptorsPerConnection = 2;
constexpr std::size_t kMinConnections = 16;
// Interval at which CloseAll looks for connections that have begun to wait for their peers.
constexpr auto kCloseInterval = std::chrono::milliseconds(20);
constexpr int kMaxPortAttempts = 200;
constexpr std::uint64_t kMinRandomPort = 20'000;
constexpr std::uint64_t kRandomPortCount = 40'000;

// Returns how many connections the process has descriptors for.
std::size_t ConnectionsForDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return SIZE_MAX;
  }
  const auto available = std::max<std::size_t>(limit.rlim_cur, kReservedDescriptors);
  return std::max((available - kReservedDescriptors) / kDescriptorsPerConnection, kMinConnections);
}

using ServerSocket = std::unique_ptr<cxxtools::net::TcpServer>;

absl::StatusOr<ServerSocket> Bind(const SocketAddress& address) {
  try {
    return std::make_unique<cxxtools::net::TcpServer>(address.ip, address.port, kBacklog);
  } catch (const std::exception& error) {
    return absl::UnavailableError("listen on " + address.ToString() + ": " + error.what());
  }
}

// Binds a random free port. Port 0 is not used because cxxtools doesn't report the port that the
// system picks for it.
absl::StatusOr<ServerSocket> BindRandomPort(SocketAddress* address) {
  Random random(EntropySeed());
  absl::Status last_error;
  for (int attempt = 0; attempt < kMaxPortAttempts; ++attempt) {
    address->port =
        static_cast<std::uint16_t>(kMinRandomPort + random.UniformBelow(kRandomPortCount));
    auto server = Bind(*address);
    if (server.ok()) {
      return server;
    }
    last_error = server.status();
  }
  return last_error;
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
        options_.address.port == 0 ? BindRandomPort(&options_.address) : Bind(options_.address);
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
    accept_thread_ = std::thread([this] { AcceptConnections(); });
    return absl::OkStatus();
  }

  const SocketAddress& address() const { return options_.address; }
  std::size_t connection_count() const { return connections_.load(); }

  void StopAccepting() {
    is_stopping_.store(true);
    eventfd_write(stop_event_, 1);
    const std::lock_guard<std::mutex> lock(stop_mutex_);
    if (!accept_thread_.joinable()) {
      return;
    }
    should_stop_accepting_.store(true);
    server_->terminateAccept();
    accept_thread_.join();
    server_.reset();
  }

  void CloseAll() {
    StopAccepting();
    std::unique_lock<std::mutex> lock(connections_mutex_);
    while (connections_.load() != 0) {
      while (waiting_.CloseLongestWaiting()) {
      }
      connection_released_.wait_for(lock, kCloseInterval);
    }
  }

  void WaitUntilIdle() {
    std::unique_lock<std::mutex> lock(connections_mutex_);
    connection_released_.wait(lock, [this] { return connections_.load() == 0; });
  }

 private:
  struct ConnectionTask {
    std::shared_ptr<Implementation> server;
    std::unique_ptr<cxxtools::net::TcpSocket> socket;
    bool is_overflow = false;
  };

  void AcceptConnections() {
    while (!should_stop_accepting_.load()) {
      try {
        auto socket = std::make_unique<cxxtools::net::TcpSocket>();
        socket->accept(*server_);
        StartConnectionThread(std::move(socket));
      } catch (const cxxtools::net::AcceptTerminated&) {
        return;
      } catch (const std::exception&) {
        // Out of descriptors, or the connection was aborted; the listening socket remains usable.
        if (errno == EMFILE || errno == ENFILE) {
          waiting_.CloseLongestWaiting();
        }
        std::this_thread::sleep_for(kAcceptRetryDelay);
      }
    }
  }

  // Starts the thread of a connection. Above the limit, the connection whose caller has taken
  // longest is closed to make room. If all of them are being served, up to kMaxOverflowConnections
  // connections above the limit get a thread too, which sends a response; further ones are closed
  // at once.
  void StartConnectionThread(std::unique_ptr<cxxtools::net::TcpSocket> socket) {
    const auto open_connections = connections_.fetch_add(1) + 1;
    const auto max_connections = std::min(options_.max_connections, ConnectionsForDescriptors());
    // Connections that were closed for earlier ones may still count.
    const bool has_room = open_connections <= max_connections + waiting_.closed_count();
    const bool is_overflow = !has_room && !waiting_.CloseLongestWaiting();
    if (is_overflow && open_connections > max_connections + kMaxOverflowConnections) {
      ReleaseConnection();
      return;
    }
    auto* task = new ConnectionTask{shared_from_this(), std::move(socket), is_overflow};
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, options_.stack_bytes);
    pthread_t thread{};
    if (pthread_create(&thread, &attributes, &RunTask, task) != 0) {
      delete task;
      ReleaseConnection();
    }
    pthread_attr_destroy(&attributes);
  }

  static void* RunTask(void* argument) {
    const std::unique_ptr<ConnectionTask> task(static_cast<ConnectionTask*>(argument));
    task->server->Serve(std::move(task->socket), task->is_overflow);
    task->server->ReleaseConnection();
    return nullptr;
  }

  void Serve(std::unique_ptr<cxxtools::net::TcpSocket> socket, bool is_overflow) {
    const int descriptor = socket->getFd();
    const auto id = waiting_.Add([descriptor] { shutdown(descriptor, SHUT_RDWR); });
    ServerConnection connection(std::make_unique<SocketStream>(std::move(socket)), options_.limits,
                                &is_stopping_);
    connection.SetWaitHooks({[this, id](Instant since) { waiting_.StartWaiting(id, since); },
                             [this, id] { return waiting_.StopWaiting(id); },
                             [this, id] { waiting_.Remove(id); }});
    if (is_overflow) {
      connection.set_close_after_response();
      handler_->HandleOverflow(&connection);
    } else {
      bool is_first = true;
      while (ServeRequest(&connection, id, is_first)) {
        is_first = false;
        waiting_.SetServed(id);
      }
    }
    // A caller that does not read its last response, or keeps sending, may be closed too.
    waiting_.StartWaiting(id, MonotonicNow());
    connection.Linger();
    // The descriptor may be used again as soon as the connection is destroyed.
    waiting_.Remove(id);
  }

  // Returns whether a request can be read. After StopAccepting, a request that has arrived is still
  // read, and on a new connection one that arrives within kFirstRequestTimeout.
  bool WaitForNextRequest(ServerConnection* connection, bool is_first) {
    if (connection->WaitForRequest(stop_event_)) {
      return true;
    }
    const auto timeout = is_first ? Duration(kFirstRequestTimeout) : Duration::zero();
    return is_stopping_.load() && connection->socket()->WaitReadable(MonotonicNow() + timeout).ok();
  }

  bool ServeRequest(ServerConnection* connection, WaitingConnections::Id id, bool is_first) {
    waiting_.StartWaiting(id, MonotonicNow());
    if (!WaitForNextRequest(connection, is_first)) {
      waiting_.StopWaiting(id);
      return false;
    }
    auto status = connection->ReadHead();
    if (!waiting_.StopWaiting(id)) {
      return false;
    }
    if (!status.ok()) {
      RespondToFault(connection, status);
      return false;
    }
    handler_->Handle(connection);
    return connection->StartNextRequest();
  }

  void RespondToFault(ServerConnection* connection, const absl::Status& status) {
    if (absl::IsUnavailable(status)) {
      return;
    }
    connection->set_close_after_response();
    handler_->HandleFault(connection, HttpStatusOfFault(status), status);
  }

  void ReleaseConnection() {
    const std::lock_guard<std::mutex> lock(connections_mutex_);
    connections_.fetch_sub(1);
    connection_released_.notify_all();
  }

  static constexpr std::size_t kMaxOverflowConnections = 64;

  Options options_;
  RequestHandler* handler_;
  const int stop_event_;
  ServerSocket server_;
  std::thread accept_thread_;
  std::mutex stop_mutex_;
  std::atomic<bool> should_stop_accepting_{false};
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::size_t> connections_{0};
  WaitingConnections waiting_;
  std::mutex connections_mutex_;
  std::condition_variable connection_released_;
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
void HttpServer::CloseAll() { implementation_->CloseAll(); }
void HttpServer::WaitUntilIdle() { implementation_->WaitUntilIdle(); }
std::size_t HttpServer::connection_count() const { return implementation_->connection_count(); }

}  // namespace primroseweir
