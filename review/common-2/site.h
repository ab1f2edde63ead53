// A small site for the review's scripts: the platform's store, backends and clients as threads of
// this process, and instances of primroseweir as separate processes on loopback addresses. The
// stand-ins behave as the users' pages say; a case replaces parts of a backend's behaviour.
#ifndef REVIEW_COMMON_2_SITE_H_
#define REVIEW_COMMON_2_SITE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline const Clock::time_point kStart = Clock::now();
inline double Now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// ---- record.txt ----

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

// Writes one line with the time in seconds since the start to record.txt.
inline void Record(const char* format, ...) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// ---- processes ----

inline std::mutex children_mutex;
inline std::set<pid_t> children;

inline void KillChildren() {
  const std::lock_guard<std::mutex> lock(children_mutex);
  for (const pid_t child : children) {
    kill(child, SIGKILL);
    kill(child, SIGCONT);
    waitpid(child, nullptr, 0);
  }
  children.clear();
}

inline std::string temporary_folder;

// Ends all processes and the program; threads are not waited for.
[[noreturn]] inline void Finish(int code, const std::string& text) {
  Record("result: %s", text.c_str());
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
  KillChildren();
  if (!temporary_folder.empty()) {
    // Only files that this program has written there.
    (void)!system(("rm -rf '" + temporary_folder + "'").c_str());
  }
  _exit(code);
}

// ---- sockets ----

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Headers of a message, with names in lower case.
using Fields = std::map<std::string, std::string>;

struct Message {
  std::string start;  // first line
  Fields fields;
  std::string body;
  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
};

// One TCP connection with blocking calls and time limits.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const std::string& ip, int port, double timeout = 1) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) return nullptr;
    const auto address = AddressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      pollfd wait{fd, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof error;
      if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeout * 1000)) != 1 ||
          getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        close(fd);
        return nullptr;
      }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(fd);
  }

  bool Write(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const auto count = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Reads more bytes. Returns false at the end of the connection or after `until`.
  bool Fill(double until) {
    char bytes[65536];
    for (;;) {
      const double left = until - Now();
      if (left <= 0) return false;
      pollfd wait{fd_, POLLIN, 0};
      const int ready = poll(&wait, 1, static_cast<int>(left * 1000) + 1);
      if (ready == 0) continue;
      if (ready < 0) {
        if (errno == EINTR) continue;
        return false;
      }
      const auto count = recv(fd_, bytes, sizeof bytes, 0);
      if (count <= 0) {
        has_ended_ = true;
        was_reset_ = count < 0;
        return false;
      }
      input_.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
  }

  bool ReadHead(Message* message, double until) {
    std::size_t end;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    std::size_t begin = 0;
    message->fields.clear();
    for (bool first = true; begin < end; first = false) {
      const auto line_end = std::min(input_.find("\r\n", begin), end);
      const auto line = input_.substr(begin, line_end - begin);
      begin = line_end + 2;
      if (first) {
        message->start = line;
        continue;
      }
      const auto colon = line.find(':');
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(tolower(c));
      const auto value = line.find_first_not_of(' ', colon + 1);
      message->fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    input_.erase(0, end + 4);
    return true;
  }

  // Reads a body with a length or in chunks; no other form occurs here. On failure, `body` has what
  // was received.
  bool ReadBody(Message* message, double until) {
    message->body.clear();
    if (message->Field("transfer-encoding") == "chunked") {
      for (;;) {
        std::string line;
        std::size_t end;
        while ((end = input_.find("\r\n")) == std::string::npos) {
          if (!Fill(until)) return false;
        }
        const auto size = std::strtoul(input_.c_str(), nullptr, 16);
        input_.erase(0, end + 2);
        if (!Take(size, &message->body, until)) return false;
        std::string line_end;
        if (!Take(2, &line_end, until)) return false;
        if (size == 0) return true;
      }
    }
    const auto length = std::strtoul(message->Field("content-length").c_str(), nullptr, 10);
    return Take(length, &message->body, until);
  }

  bool Take(std::size_t size, std::string* out, double until) {
    while (size > 0) {
      if (input_.empty() && !Fill(until)) return false;
      const auto count = std::min(size, input_.size());
      out->append(input_, 0, count);
      input_.erase(0, count);
      size -= count;
    }
    return true;
  }

  // Closes with a reset, as a process that crashes with unread input does.
  void Reset() {
    if (fd_ < 0) return;
    const linger reset{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    shutdown(fd_, SHUT_RDWR);
  }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }
  bool has_ended() const { return has_ended_; }
  bool was_reset() const { return was_reset_; }

 private:
  int fd_;
  std::string input_;
  bool has_ended_ = false;
  bool was_reset_ = false;
};

// Accepts connections and runs `serve` in a thread of its own for each.
class Server {
 public:
  using Serve = std::function<void(const std::shared_ptr<Connection>&)>;

  bool Start(const std::string& ip, int port, Serve serve) {
    listener_ = Listen(ip, port);
    if (listener_ < 0) return false;
    const int listener = listener_;
    std::thread([this, listener, serve = std::move(serve)] {
      for (;;) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (errno == EINTR || errno == ECONNABORTED) continue;
          return;
        }
        auto connection = std::make_shared<Connection>(fd);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          if (listener_ != listener) {
            connection->Reset();
            return;
          }
          connections_.insert(connection);
        }
        std::thread([this, connection, serve] {
          serve(connection);
          const std::lock_guard<std::mutex> lock(mutex_);
          connections_.erase(connection);
        }).detach();
      }
    }).detach();
    return true;
  }

  // Ends like a process that dies: refuses new connections and breaks off open ones.
  void Stop() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ >= 0) {
      shutdown(listener_, SHUT_RDWR);
      close(std::exchange(listener_, -1));
    }
    for (const auto& connection : connections_) connection->Reset();
  }

 private:
  std::mutex mutex_;
  int listener_ = -1;
  std::set<std::shared_ptr<Connection>> connections_;
};

// ---- the platform's store ----

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto at = [&](std::size_t k) {
      return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0U;
    };
    const unsigned group = at(i) << 16U | at(i + 1) << 8U | at(i + 2);
    text += kDigits[group >> 18U];
    text += kDigits[group >> 12U & 63U];
    text += i + 1 < bytes.size() ? kDigits[group >> 6U & 63U] : '=';
    text += i + 2 < bytes.size() ? kDigits[group & 63U] : '=';
  }
  return text;
}

class Store {
 public:
  bool Start(const std::string& ip, int port) {
    return server_.Start(ip, port, [this](const auto& connection) { Serve(connection.get()); });
  }

  void Put(const std::string& key, const Json& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++revision_;
    const Json item = {{"key", key},
                       {"value", Base64(value.dump())},
                       {"revision", revision_},
                       {"createdAt", revision_},
                       {"lease", 0}};
    items_[key] = item;
    history_.push_back(item);
    changed_.notify_all();
  }

  void Erase(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++revision_;
    items_.erase(key);
    history_.push_back({{"key", key}, {"revision", revision_}, {"deleted", true}});
    changed_.notify_all();
  }

 private:
  static std::string Parameter(const std::string& target, const std::string& name) {
    const auto found = target.find(name + "=");
    if (found == std::string::npos) return "";
    const auto begin = found + name.size() + 1;
    const auto text = target.substr(begin, target.find_first_of("& ", begin) - begin);
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        decoded += text[i];
      }
    }
    return decoded;
  }

  void Serve(Connection* connection) {
    Message request;
    while (connection->ReadHead(&request, Now() + 1000)) {
      const auto& target = request.start;
      const auto prefix = Parameter(target, "prefix");
      Json answer;
      std::unique_lock<std::mutex> lock(mutex_);
      if (target.find("/kv-range") != std::string::npos) {
        const auto after = Parameter(target, "after");
        answer = {{"items", Json::array()}, {"hasMore", false}};
        for (const auto& [key, item] : items_) {
          if (key.rfind(prefix, 0) == 0 && key > after) answer["items"].push_back(item);
        }
      } else {
        const auto after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
        const auto wait = std::strtoul(Parameter(target, "waitMs").c_str(), nullptr, 10);
        changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return revision_ > after; });
        answer = {{"events", Json::array()}};
        for (const auto& event : history_) {
          if (event["revision"].get<std::uint64_t>() > after &&
              event["key"].get<std::string>().rfind(prefix, 0) == 0) {
            answer["events"].push_back(event);
          }
        }
      }
      answer["at"] = revision_;
      lock.unlock();
      const auto body = answer.dump();
      if (!connection->Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 10;
  std::map<std::string, Json> items_;
  std::vector<Json> history_;
};

// ---- backends ----

class Backend {
 public:
  Backend(Store* store, std::string id, std::string service, std::string ip, std::string zone,
          int slots, double work)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        ip_(std::move(ip)),
        zone_(std::move(zone)),
        slots_(slots),
        work_(work) {}

  bool Start() {
    if (!server_.Start(ip_, kPort, [this](const auto& connection) { Serve(connection.get()); })) {
      return false;
    }
    Register("ready");
    return true;
  }
  // The process dies; it sends nothing to the store.
  void Crash() { server_.Stop(); }
  // Starts anew under the same id.
  bool Restart(int cold_ms) {
    born_ = UnixMilliseconds();
    sequence_ = 0;
    cold_ms_ = cold_ms;
    return Start();
  }

  void Register(const std::string& state) { store_->Put("servers/" + id_, Entry(state)); }
  Json Entry(const std::string& state) {
    return {{"service", service_},
            {"address", ip_ + ":" + std::to_string(kPort)},
            {"zone", zone_},
            {"version", "v1"},
            {"maxConcurrency", slots_},
            {"state", state},
            {"coldMs", cold_ms_},
            {"sequence", ++sequence_},
            {"born", born_}};
  }

  // Head of an answer with the fields that every backend sends. `request` may have an id to echo.
  std::string Head(const std::string& status, const Message& request, const std::string& more) {
    std::string head = "HTTP/1.1 " + status + "\r\nX-Backend-Load: " + std::to_string(running_) +
                       ",0," + std::to_string(slots_) + ",100\r\n" + more;
    const auto request_id = request.Field("x-request-id");
    if (!request_id.empty()) head += "X-Request-Id: " + request_id + "\r\n";
    if (is_leaving) head += "Server-Leaving: 1\r\n";
    return head + "\r\n";
  }

  // Runs the request and answers. Returns false to end the connection.
  bool Run(Connection* connection, const Message& request) {
    ++running_;
    Sleep(work_);
    --running_;
    return connection->Write(
        Head("200 OK", request, "Content-Length: 5\r\nX-Response-Signature: s." + id_ + "\r\n") +
        "hello");
  }

  const std::string& id() const { return id_; }
  int running() const { return running_; }

  // Called for each request that is meant for this backend; the default is Run.
  std::function<bool(Backend*, Connection*, const Message&)> on_request =
      [](Backend* backend, Connection* connection, const Message& request) {
        return backend->Run(connection, request);
      };
  // Whether the backend says in its answers that it leaves.
  std::atomic<bool> is_leaving{false};

  static constexpr int kPort = 9000;

 private:
  void Serve(Connection* connection) {
    Message request;
    // Idle connections are closed after 10 s.
    while (connection->ReadHead(&request, Now() + 10)) {
      if (request.start.rfind("GET /health ", 0) == 0) {
        std::string more = "Content-Length: 0\r\nX-Instance-Id: " + id_ + "\r\n";
        if (!connection->Write(Head("200 OK", request, more))) return;
        continue;
      }
      const auto expected = request.Field("x-expected-instance");
      if (!expected.empty() && expected != id_) {
        if (!connection->Write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id_ +
                               "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (!connection->ReadBody(&request, Now() + 10)) return;
      if (!on_request(this, connection, request)) return;
    }
  }

  Store* const store_;
  const std::string id_;
  const std::string service_;
  const std::string ip_;
  const std::string zone_;
  const int slots_;
  const double work_;
  std::atomic<int> running_{0};
  std::atomic<int> sequence_{0};
  std::int64_t born_ = UnixMilliseconds();
  int cold_ms_ = 0;
  Server server_;
};

// ---- configuration ----

inline Json Route(const std::string& prefix, const std::string& service, const std::string& kind,
                  int timeout_ms, int slo_ms) {
  return {{"name", "r" + std::to_string(std::hash<std::string>()(prefix) % 100000)},
          {"host", "desk.example"},
          {"prefix", prefix},
          {"service", service},
          {"kind", kind},
          {"timeoutMs", timeout_ms},
          {"sloMs", slo_ms},
          {"priority", 1},
          {"maxAttempts", 2}};
}

inline Json Configuration(int version, const Json& routes,
                          const std::vector<std::string>& services) {
  char digits[16];
  std::snprintf(digits, sizeof digits, "%08x", version);
  Json list = Json::array();
  for (const auto& service : services) {
    list.push_back({{"name", service},
                    {"healthPath", "/health"},
                    {"maxConnections", 260},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"warmupS", 3.0},
                    {"coldPerS", 3.6}});
  }
  return {{"version", digits},
          {"routes", routes},
          {"services", list},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

// ---- instances ----

class Instance {
 public:
  static constexpr int kFront = 8548;
  static constexpr int kReady = 8542;
  static constexpr int kControl = 8544;
  static constexpr int kDirectory = 8546;

  Instance(const std::string& network, int number, int seeds, const std::string& zone)
      : ip_(network + "." + std::to_string(10 + number)), number_(number) {
    const auto at = [this](int port) { return ip_ + ":" + std::to_string(port); };
    Json seed_list = Json::array();
    for (int i = 0; i < seeds; ++i) {
      seed_list.push_back(network + "." + std::to_string(10 + i) + ":" + std::to_string(kControl));
    }
    settings_ = {
        {"nodeName", "front-" + std::to_string(number)},
        {"role", "entry"},
        {"machineClass", "front"},
        {"serves", {"front", "control", "directory"}},
        {"ip", ip_},
        {"zone", zone},
        {"region", "wachau"},
        {"zones", {{"krems", "wachau"}, {"melk", "wachau"}, {"spitz", "wachau"}}},
        {"listenAddrs",
         {{"front", at(kFront)},
          {"ready", at(kReady)},
          {"control", at(kControl)},
          {"directory", at(kDirectory)}}},
        {"portRange", {7540, 7555}},
        {"seeds", seed_list},
        {"bootstrap", true},
        {"lossCounts", false},
        {"limits",
         {{"cpuShare", 0.2},
          {"cpuCores", 1},
          {"memoryMb", 260},
          {"maxFds", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDir", nullptr},
        {"discovery", "platform"},
        {"entry", "directory"},
        {"heartbeatMs", 1500},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "health", "places", "platform"}},
        {"faultTolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
        {"contractBounds",
         {{"seedLagS", 3},       {"reuseAfterS", 2},  {"contactMs", 3000},    {"ackMs", 4000},
          {"catchUpS", 4},       {"drainMs", 2000},   {"graceS", 6},          {"lostMs", 200},
          {"configMs", 2000},    {"backMs", 250},     {"maxStretchMs", 5000}, {"budgetRatio", 0.2},
          {"budgetWindowS", 10}, {"budgetExtra", 62}, {"coldOver", 1.5},      {"coldSlack", 5},
          {"evacuateMs", 5000},  {"recoverS", 15},    {"ttl_max_s", 5},       {"probesPerS", 60}}},
        {"platform",
         {{"address", network + ".1:8541"},
          {"form", "read"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576},
          {"ttlMinMs", 1000}}}};
  }

  // Starts the program with the command of the deploy file, in the repository's root.
  bool Start() {
    const auto path = temporary_folder + "/node-" + std::to_string(number_) + ".json";
    FILE* file = std::fopen(path.c_str(), "w");
    if (file == nullptr) return false;
    const auto text = settings_.dump();
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
    const auto log = temporary_folder + "/node-" + std::to_string(number_) + ".log";
    process_ = fork();
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      // maxFds of the settings.
      const rlimit descriptors{4100, 4100};
      setrlimit(RLIMIT_NOFILE, &descriptors);
      const std::string settings = "PRIMROSEWEIR_NODE_FILE=" + path;
      const char* environment[] = {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C.UTF-8",
                                   settings.c_str(), nullptr};
      const char* program = "target/platform/primroseweir-platform";
      execle(program, program, static_cast<char*>(nullptr), environment);
      _exit(127);
    }
    const std::lock_guard<std::mutex> lock(children_mutex);
    children.insert(process_);
    return process_ > 0;
  }

  bool WaitUntilReady(double timeout = 10) {
    const double until = Now() + timeout;
    while (Now() < until) {
      Message answer;
      auto connection = Connection::Open(ip_, kReady);
      if (connection != nullptr &&
          connection->Write("GET /primroseweir/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
          connection->ReadHead(&answer, Now() + 1) &&
          answer.start.find(" 200") != std::string::npos) {
        return true;
      }
      Sleep(0.02);
    }
    return false;
  }

  void Signal(int signal) { kill(process_, signal); }
  // Returns whether the process still runs. If not, `status` is as of waitpid.
  bool IsRunning(int* status) {
    if (has_ended_) {
      *status = status_;
      return false;
    }
    if (waitpid(process_, &status_, WNOHANG) != process_) return true;
    has_ended_ = true;
    *status = status_;
    const std::lock_guard<std::mutex> lock(children_mutex);
    children.erase(process_);
    return false;
  }
  const std::string& ip() const { return ip_; }

 private:
  const std::string ip_;
  const int number_;
  Json settings_;
  pid_t process_ = -1;
  bool has_ended_ = false;
  int status_ = 0;
};

// ---- clients ----

struct Answer {
  int status = 0;  // 0: the connection ended or timed out without a whole head
  bool is_whole = false;
  bool was_reset = false;
  Message message;
  double seconds = 0;
};

inline std::string RequestText(const std::string& method, const std::string& target,
                               const std::string& id, int deadline_ms,
                               const std::string& body = "") {
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline Answer ReadAnswer(Connection* connection, double until) {
  Answer answer;
  const double begin = Now();
  if (connection->ReadHead(&answer.message, until)) {
    answer.status = std::atoi(answer.message.start.substr(9, 3).c_str());
    answer.is_whole = connection->ReadBody(&answer.message, until);
  }
  answer.was_reset = connection->was_reset();
  answer.seconds = Now() - begin;
  return answer;
}

inline Answer Call(const std::string& ip, const std::string& method, const std::string& target,
                   const std::string& id, int deadline_ms, const std::string& body = "") {
  auto connection = Connection::Open(ip, Instance::kFront);
  if (connection == nullptr ||
      !connection->Write(RequestText(method, target, id, deadline_ms, body))) {
    return {};
  }
  return ReadAnswer(connection.get(), Now() + deadline_ms / 1000.0 + 2);
}

// ---- set-up ----

// Opens record.txt, and returns a loopback network ("127.a.b") of this run. Without the
// disruption if TROUBLE=0.
inline std::string SetUp(int argc, char** argv, bool* trouble) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: CASE RECORD\n");
    _exit(kCouldNotRun);
  }
  record_file = std::fopen(argv[1], "w");
  const char* variable = std::getenv("TROUBLE");
  *trouble = variable == nullptr || std::string(variable) != "0";
  signal(SIGPIPE, SIG_IGN);
  const char* folder = std::getenv("TMPDIR");
  temporary_folder = std::string(folder == nullptr ? "/tmp" : folder) + "/review-XXXXXX";
  if (record_file == nullptr || mkdtemp(temporary_folder.data()) == nullptr) {
    _exit(kCouldNotRun);
  }
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = std::min<rlim_t>(descriptors.rlim_max, 16384);
  setrlimit(RLIMIT_NOFILE, &descriptors);
  // Nothing runs for longer than this, whatever happens.
  std::thread([] {
    Sleep(112);
    Finish(kCouldNotRun, "could not run: took too long");
  }).detach();
  const int number = static_cast<int>(getpid());
  const auto network =
      "127." + std::to_string(64 + number % 128) + "." + std::to_string(number / 128 % 250);
  Record("network %s, trouble %s", network.c_str(), *trouble ? "yes" : "no");
  return network;
}

inline void Require(bool done, const char* what) {
  if (!done) Finish(kCouldNotRun, std::string("could not run: ") + what);
}

}  // namespace review

#endif  // REVIEW_COMMON_2_SITE_H_
