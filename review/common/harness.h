// Stand-ins and helpers for the cases of the review: the platform's store, servers and clients as
// threads of the test, and the instances as separate processes. Loopback addresses and the real
// clock only.
#ifndef REVIEW_COMMON_HARNESS_H_
#define REVIEW_COMMON_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitCouldNotRun = 2;

inline Clock::time_point StartTime() {
  static const Clock::time_point start = Clock::now();
  return start;
}

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - StartTime()).count();
}

inline void SleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, milliseconds)));
}

inline void SleepUntilMs(std::int64_t at) { SleepMs(at - NowMs()); }

// ---- record ----

// Writes one line for each event to record.txt, with the milliseconds since the start.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void Write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(NowMs()) / 1000);
    file_ << time << line << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline void Note(const char* format, ...) {
  char line[1024];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(line, sizeof line, format, arguments);
  va_end(arguments);
  Record::Get().Write(line);
}

// Ends the test because it could not run.
[[noreturn]] inline void CouldNotRun(const std::string& reason) {
  Note("COULD NOT RUN: %s", reason.c_str());
  std::fprintf(stderr, "could not run: %s\n", reason.c_str());
  std::exit(kExitCouldNotRun);
}

// ---- addresses ----

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
  sockaddr_in Socket() const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
  }
};

// A block of loopback addresses that this run uses alone.
class Network {
 public:
  Network() {
    const int pid = static_cast<int>(getpid());
    prefix_ = "127." + std::to_string(20 + pid / 250 % 200) + "." + std::to_string(1 + pid % 250);
  }
  Address Host(int host, int port) const { return {prefix_ + "." + std::to_string(host), port}; }

 private:
  std::string prefix_;
};

// ---- sockets and messages ----

inline bool WaitFor(int socket, short events, std::int64_t deadline) {
  while (true) {
    const auto left = deadline - NowMs();
    if (left <= 0) {
      return false;
    }
    pollfd entry{socket, events, 0};
    const int count = poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 1000)));
    if (count > 0) {
      return true;
    }
    if (count < 0 && errno != EINTR) {
      return false;
    }
  }
}

inline bool WriteAll(int socket, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const auto count = send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      if (count < 0 && errno == EINTR) {
        continue;
      }
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

struct Message {
  // Request line or status line.
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  bool Has(const std::string& name) const {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& field) {
      return strcasecmp(field.first.c_str(), name.c_str()) == 0;
    });
  }
  std::string Method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string Target() const {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int Status() const { return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9); }
};

// Reads messages with a length, in chunks or, for responses, up to the end of the connection.
class Reader {
 public:
  enum class End { kMessage, kClosed, kReset, kTimeout, kMalformed };

  explicit Reader(int socket) : socket_(socket) {}

  // Number of body bytes of the message that was read last, also when it was incomplete.
  std::size_t body_bytes() const { return body_bytes_; }
  void SetPause(std::function<void(std::size_t)> pause) { pause_ = std::move(pause); }
  void SetReadBytes(std::size_t bytes) { read_bytes_ = bytes; }
  // Sets a function that is called with each head before its body is read.
  void SetHeadListener(std::function<void(const Message&)> listener) {
    on_head_ = std::move(listener);
  }

  End Read(Message* message, std::int64_t deadline, bool is_response) {
    *message = Message();
    body_bytes_ = 0;
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const auto end = Fill(deadline);
      if (end != End::kMessage) {
        return end;
      }
    }
    std::istringstream head(buffer_.substr(0, head_end));
    buffer_.erase(0, head_end + 4);
    std::getline(head, message->first_line);
    Strip(&message->first_line);
    for (std::string line; std::getline(head, line);) {
      Strip(&line);
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        return End::kMalformed;
      }
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      message->fields.emplace_back(line.substr(0, colon), value);
    }
    if (on_head_) {
      on_head_(*message);
    }
    if (message->Get("Transfer-Encoding") == "chunked") {
      return ReadChunks(message, deadline);
    }
    if (message->Has("Content-Length")) {
      const auto length =
          static_cast<std::size_t>(std::atoll(message->Get("Content-Length").c_str()));
      return ReadBody(&message->body, length, deadline);
    }
    if (is_response) {
      End end = End::kMessage;
      while ((end = Fill(deadline)) == End::kMessage) {
      }
      message->body = std::exchange(buffer_, std::string());
      body_bytes_ = message->body.size();
      return end == End::kClosed ? End::kMessage : end;
    }
    return End::kMessage;
  }

 private:
  static void Strip(std::string* line) {
    while (!line->empty() && (line->back() == '\r' || line->back() == '\n')) {
      line->pop_back();
    }
  }

  End Fill(std::int64_t deadline) {
    if (!WaitFor(socket_, POLLIN, deadline)) {
      return End::kTimeout;
    }
    std::vector<char> bytes(read_bytes_);
    const auto count = recv(socket_, bytes.data(), bytes.size(), 0);
    if (count == 0) {
      return End::kClosed;
    }
    if (count < 0) {
      return End::kReset;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    if (pause_) {
      pause_(static_cast<std::size_t>(count));
    }
    return End::kMessage;
  }

  End ReadBody(std::string* body, std::size_t length, std::int64_t deadline) {
    while (buffer_.size() < length) {
      const auto end = Fill(deadline);
      if (end != End::kMessage) {
        body_bytes_ += buffer_.size();
        return end;
      }
    }
    body->append(buffer_, 0, length);
    buffer_.erase(0, length);
    body_bytes_ += length;
    return End::kMessage;
  }

  End ReadChunks(Message* message, std::int64_t deadline) {
    while (true) {
      std::size_t line_end = 0;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        const auto end = Fill(deadline);
        if (end != End::kMessage) {
          return end;
        }
      }
      const auto size = static_cast<std::size_t>(std::strtoull(buffer_.c_str(), nullptr, 16));
      buffer_.erase(0, line_end + 2);
      std::string separator;
      const auto end = ReadBody(&message->body, size, deadline);
      if (end != End::kMessage) {
        return end;
      }
      const auto separator_end = ReadBody(&separator, 2, deadline);
      body_bytes_ -= separator.size();
      if (separator_end != End::kMessage) {
        return separator_end;
      }
      if (size == 0) {
        return End::kMessage;
      }
    }
  }

  const int socket_;
  std::string buffer_;
  std::size_t body_bytes_ = 0;
  std::size_t read_bytes_ = 65536;
  std::function<void(std::size_t)> pause_;
  std::function<void(const Message&)> on_head_;
};

inline const char* NameOf(Reader::End end) {
  switch (end) {
    case Reader::End::kMessage:
      return "complete";
    case Reader::End::kClosed:
      return "connection closed";
    case Reader::End::kReset:
      return "connection reset";
    case Reader::End::kTimeout:
      return "timeout";
    case Reader::End::kMalformed:
      return "malformed";
  }
  return "";
}

inline std::string Response(int status, const std::vector<std::string>& fields,
                            const std::string& body) {
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& field : fields) {
    bytes += field + "\r\n";
  }
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections on an address and runs a function on a thread of its own for each.
class Listener {
 public:
  using Serve = std::function<void(int socket)>;

  Listener(const Address& address, Serve serve) : address_(address), serve_(std::move(serve)) {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto target = address.Socket();
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 ||
        listen(socket_, 512) != 0) {
      CouldNotRun("cannot listen on " + address.Text());
    }
    thread_ = std::thread([this] { Run(); });
  }
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Closes the port and resets all connections, as the end of a process does.
  void Stop() {
    if (is_stopped_.exchange(true)) {
      return;
    }
    shutdown(socket_, SHUT_RDWR);
    close(socket_);
    thread_.join();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int connection : connections_) {
        const linger hard{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        shutdown(connection, SHUT_RDWR);
      }
    }
    while (active_ > 0) {
      SleepMs(1);
    }
  }
  bool is_stopped() const { return is_stopped_; }

 private:
  void Run() {
    while (!is_stopped_) {
      const int connection = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        if (is_stopped_) {
          return;
        }
        continue;
      }
      const int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_.insert(connection);
      }
      ++active_;
      std::thread([this, connection] {
        serve_(connection);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          connections_.erase(connection);
          close(connection);
        }
        --active_;
      }).detach();
    }
  }

  const Address address_;
  const Serve serve_;
  int socket_ = -1;
  std::atomic<bool> is_stopped_{false};
  std::atomic<int> active_{0};
  std::mutex mutex_;
  std::set<int> connections_;
  std::thread thread_;
};

// ---- the platform's store ----

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[value >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline std::string Decode(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

inline std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const auto mark = target.find('?');
  std::istringstream text(mark == std::string::npos ? std::string() : target.substr(mark + 1));
  for (std::string parameter; std::getline(text, parameter, '&');) {
    const auto equals = parameter.find('=');
    query[parameter.substr(0, equals)] =
        equals == std::string::npos ? std::string() : Decode(parameter.substr(equals + 1));
  }
  return query;
}

// The store of PROTOCOL.md, kv-range and kv-watch only. Answers are linearizable and at once.
class Store {
 public:
  explicit Store(const Address& address)
      : listener_(address, [this](int socket) { Serve(socket); }) {}
  ~Store() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      is_ending_ = true;
    }
    changed_.notify_all();
    listener_.Stop();
  }

  // Return the revision of the change, which is its acknowledgement.
  std::uint64_t Put(const std::string& key, const std::string& value) {
    return Change({key, value, 0, false});
  }
  std::uint64_t Erase(const std::string& key) { return Change({key, "", 0, true}); }

 private:
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };

  std::uint64_t Change(Event event) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      event.revision = ++revision_;
      if (event.deleted) {
        items_.erase(event.key);
      } else {
        items_[event.key] = event;
      }
      history_.push_back(event);
      Note("store: %s %s at revision %llu", event.deleted ? "delete" : "put", event.key.c_str(),
           static_cast<unsigned long long>(event.revision));
    }
    changed_.notify_all();
    return event.revision;
  }

  static std::string Json(const Event& event) {
    if (event.deleted) {
      return "{\"key\":\"" + event.key + "\",\"revision\":" + std::to_string(event.revision) +
             ",\"deleted\":true}";
    }
    return "{\"key\":\"" + event.key + "\",\"value\":\"" + Base64(event.value) +
           "\",\"revision\":" + std::to_string(event.revision) +
           ",\"createdAt\":" + std::to_string(event.revision) + ",\"lease\":0}";
  }

  void Serve(int socket) {
    Reader reader(socket);
    Message request;
    while (reader.Read(&request, NowMs() + 120000, false) == Reader::End::kMessage) {
      auto query = QueryOf(request.Target());
      std::string body;
      if (request.Target().rfind("/primroseweir/kv-range", 0) == 0) {
        body = Range(query["prefix"], query["after"]);
      } else if (request.Target().rfind("/primroseweir/kv-watch", 0) == 0) {
        body = Watch(query["prefix"], std::strtoull(query["after"].c_str(), nullptr, 10),
                     std::atoll(query["waitMs"].c_str()));
      } else if (!WriteAll(socket, Response(404, {}, ""))) {
        return;
      } else {
        continue;
      }
      if (!WriteAll(socket, Response(200, {"Content-Type: application/json"}, body))) {
        return;
      }
    }
  }

  std::string Range(const std::string& prefix, const std::string& after) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string items;
    for (const auto& [key, event] : items_) {
      if (key.rfind(prefix, 0) == 0 && key > after) {
        items += (items.empty() ? "" : ",") + Json(event);
      }
    }
    return "{\"items\":[" + items + "],\"hasMore\":false,\"at\":" + std::to_string(revision_) + "}";
  }

  std::string Watch(const std::string& prefix, std::uint64_t after, std::int64_t wait) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&] { return is_ending_ || revision_ > after; });
    std::string events;
    for (const auto& event : history_) {
      if (event.revision > after && event.key.rfind(prefix, 0) == 0) {
        events += (events.empty() ? "" : ",") + Json(event);
      }
    }
    return "{\"events\":[" + events + "],\"at\":" + std::to_string(revision_) + "}";
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_ending_ = false;
  std::uint64_t revision_ = 10;
  std::map<std::string, Event> items_;
  std::vector<Event> history_;
  Listener listener_;
};

// ---- servers ----

// A server (backend). By default it runs a request for `work_ms` and answers with the id of the
// request, a signature and a short body.
class Server {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    int work_ms = 40;
    int slots = 4;
    bool tells_load = true;
    std::size_t body_bytes = 20;
    // The handler gets health checks too.
    bool handles_health = false;
    // Records the ids of requests whose head has arrived.
    bool notes_heads = false;
  };
  // Replaces the default answer to a request that is neither a health check nor misdirected.
  // Returns false to end the connection.
  using Handler = std::function<bool(Server* server, int socket, const Message& request)>;

  explicit Server(Options options, Handler handler = nullptr)
      : options_(std::move(options)), handler_(std::move(handler)) {
    Start();
  }

  void Start() {
    born_ms_ = static_cast<std::int64_t>(::time(nullptr)) * 1000;
    listener_ = std::make_unique<Listener>(options_.address, [this](int socket) { Serve(socket); });
  }
  // Ends the process of the server: its port closes and its connections are reset.
  void Stop() { listener_->Stop(); }
  bool is_stopped() const { return listener_->is_stopped(); }

  std::string Entry(const std::string& state, int cold_ms = 0) const {
    return "{\"service\":\"" + options_.service + "\",\"address\":\"" + options_.address.Text() +
           "\",\"zone\":\"" + options_.zone +
           "\",\"version\":\"v1\",\"maxConcurrency\":" + std::to_string(options_.slots) +
           ",\"state\":\"" + state + "\",\"coldMs\":" + std::to_string(cold_ms) +
           ",\"born\":" + std::to_string(born_ms_) + ",\"sequence\":4}";
  }
  std::string Key() const { return "servers/" + options_.id; }
  const Options& options() const { return options_; }

  std::string LoadField() const {
    return "X-Backend-Load: " + std::to_string(running_.load()) + ",0," +
           std::to_string(options_.slots) + ",100";
  }

  // Records that the request begins to run here.
  void RecordRun(const Message& request) {
    const auto id = request.Get("X-Request-Id");
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.push_back({id, NowMs()});
    }
    Note("server %s runs request %s (%s)", options_.id.c_str(), id.c_str(),
         request.first_line.c_str());
  }
  struct Run {
    std::string request;
    std::int64_t at = 0;
  };
  std::vector<Run> runs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

  // Whether the head of that request has arrived here; needs notes_heads.
  bool HasHead(const std::string& request) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return heads_.count(request) != 0;
  }

  // The default answer.
  bool RunAndAnswer(int socket, const Message& request) {
    RecordRun(request);
    ++running_;
    SleepMs(options_.work_ms);
    --running_;
    return Answer(socket, request);
  }
  std::vector<std::string> AnswerFields(const Message& request) const {
    std::vector<std::string> fields{"X-Request-Id: " + request.Get("X-Request-Id"),
                                    "X-Response-Signature: " + options_.id + ".1"};
    if (options_.tells_load) {
      fields.push_back(LoadField());
    }
    return fields;
  }
  bool Answer(int socket, const Message& request) const {
    return WriteAll(socket,
                    Response(200, AnswerFields(request), std::string(options_.body_bytes, 'x')));
  }

 private:
  void Serve(int socket) {
    Reader reader(socket);
    if (options_.notes_heads) {
      reader.SetHeadListener([this](const Message& head) {
        const auto id = head.Get("X-Request-Id");
        if (!id.empty()) {
          Note("server %s has the head of %s", options_.id.c_str(), id.c_str());
          const std::lock_guard<std::mutex> lock(mutex_);
          heads_.insert(id);
        }
      });
    }
    Message request;
    while (reader.Read(&request, NowMs() + 120000, false) == Reader::End::kMessage) {
      const auto expected = request.Get("X-Expected-Instance");
      bool is_open = true;
      if (request.Target() == "/health" && !options_.handles_health) {
        std::vector<std::string> fields{"X-Instance-Id: " + options_.id};
        if (options_.tells_load) {
          fields.push_back(LoadField());
        }
        is_open = WriteAll(socket, Response(200, fields, ""));
      } else if (!expected.empty() && expected != options_.id) {
        is_open = WriteAll(socket, Response(421, {"X-Instance-Id: " + options_.id}, ""));
      } else {
        is_open = handler_ ? handler_(this, socket, request) : RunAndAnswer(socket, request);
      }
      if (!is_open) {
        return;
      }
    }
  }

  const Options options_;
  const Handler handler_;
  std::int64_t born_ms_ = 0;
  std::atomic<int> running_{0};
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::set<std::string> heads_;
  std::unique_ptr<Listener> listener_;
};

// ---- instances ----

// Bounds of a small site, as in its settings file.
struct Bounds {
  int drain_ms = 2000;
  int contact_ms = 3000;
  int grace_s = 6;
};

class Instance {
 public:
  struct Options {
    std::string name;
    std::string zone;
    std::string ip;
    Address store;
    std::vector<std::string> seeds;
    std::string folder;
    int first_port = 0;
  };

  explicit Instance(Options options) : options_(std::move(options)) {
    settings_ = options_.folder + "/" + options_.name + ".json";
    WriteSettings();
  }
  ~Instance() { Kill(); }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  Address Front() const { return {options_.ip, options_.first_port + 48}; }
  Address Ready() const { return {options_.ip, options_.first_port + 42}; }
  const std::string& name() const { return options_.name; }
  pid_t pid() const { return pid_; }

  void Start() {
    const auto log = options_.folder + "/" + options_.name + ".log";
    const auto variable = "PRIMROSEWEIR_NODE_FILE=" + settings_;
    const char* path = std::getenv("PATH");
    const auto path_variable = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    pid_ = fork();
    if (pid_ < 0) {
      CouldNotRun("fork failed");
    }
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, 1);
      dup2(output, 2);
      for (int descriptor = 3; descriptor < 1024; ++descriptor) {
        close(descriptor);
      }
      char program[] = "target/platform/primroseweir-platform";
      char* arguments[] = {program, nullptr};
      char* environment[] = {const_cast<char*>(variable.c_str()),
                             const_cast<char*>(path_variable.c_str()), nullptr};
      execve(program, arguments, environment);
      _exit(127);
    }
    Note("instance %s started", options_.name.c_str());
  }

  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  // Waits for the process to end; kills it after `timeout_ms`. Returns whether it ended by itself.
  bool WaitForExit(std::int64_t timeout_ms) {
    const auto deadline = NowMs() + timeout_ms;
    while (NowMs() < deadline) {
      if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
        Note("instance %s ended", options_.name.c_str());
        return true;
      }
      SleepMs(10);
    }
    Kill();
    return false;
  }
  // Whether the process has ended by itself.
  bool HasExited() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) != pid_) {
      return false;
    }
    pid_ = -1;
    Note("instance %s ended", options_.name.c_str());
    return true;
  }

 private:
  void WriteSettings() const {
    const auto at = [&](int offset) {
      return "\"" + options_.ip + ":" + std::to_string(options_.first_port + offset) + "\"";
    };
    std::string seeds;
    for (const auto& seed : options_.seeds) {
      seeds += std::string(seeds.empty() ? "" : ",") + "\"" + seed + ":" +
               std::to_string(options_.first_port + 44) + "\"";
    }
    std::ofstream(settings_)
        << "{\"nodeName\":\"" << options_.name
        << "\",\"role\":\"entry\",\"machineClass\":\"front\","
        << "\"serves\":[\"front\",\"control\",\"directory\"],\"ip\":\"" << options_.ip
        << "\",\"zone\":\"" << options_.zone
        << "\",\"region\":\"r\",\"listenAddrs\":{\"front\":" << at(48) << ",\"ready\":" << at(42)
        << ",\"control\":" << at(44) << ",\"directory\":" << at(46) << "},\"portRange\":["
        << options_.first_port << "," << options_.first_port + 15 << "],\"seeds\":[" << seeds
        << "],\"bootstrap\":true,\"limits\":{\"cpuShare\":0.2,\"cpuCores\":1,\"memoryMb\":260,"
        << "\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},\"heartbeatMs\":1500,"
        << "\"contractBounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,"
        << "\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":6,\"lostMs\":200,"
        << "\"configMs\":2000,\"backMs\":250,\"maxStretchMs\":5000,\"budgetRatio\":0.2,"
        << "\"budgetWindowS\":10,\"budgetExtra\":56,\"coldOver\":1.5,\"coldSlack\":5,"
        << "\"evacuateMs\":5000,\"recoverS\":15,\"ttl_max_s\":5,\"probesPerS\":60},"
        << "\"platform\":{\"address\":\"" << options_.store.Text()
        << "\",\"form\":\"read\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,"
        << "\"valueBytes\":1048576,\"ttlMinMs\":1000}}\n";
  }

  const Options options_;
  std::string settings_;
  pid_t pid_ = -1;
};

// ---- configuration ----

struct RouteSpec {
  std::string prefix;
  std::string service;
  std::string kind;
  int timeout_ms = 1500;
  int objective_ms = 500;
  int max_attempts = 2;
};

inline std::string Configuration(int version, const std::vector<RouteSpec>& routes) {
  std::set<std::string> services;
  std::string routes_text;
  for (const auto& route : routes) {
    services.insert(route.service);
    routes_text += std::string(routes_text.empty() ? "" : ",") + "{\"name\":\"r-" + route.service +
                   "\",\"host\":\"desk.example\",\"prefix\":\"" + route.prefix + "\",\"kind\":\"" +
                   route.kind + "\",\"timeoutMs\":" + std::to_string(route.timeout_ms) +
                   ",\"sloMs\":" + std::to_string(route.objective_ms) +
                   ",\"priority\":1,\"service\":\"" + route.service +
                   "\",\"maxAttempts\":" + std::to_string(route.max_attempts) + "}";
  }
  std::string services_text;
  for (const auto& service : services) {
    services_text += std::string(services_text.empty() ? "" : ",") + "{\"name\":\"" + service +
                     "\",\"healthPath\":\"/health\",\"maxConnections\":220,\"protocol\":\"h1\","
                     "\"tls\":false,\"warmupS\":3.0,\"coldPerS\":3.6}";
  }
  char digits[16];
  std::snprintf(digits, sizeof digits, "%08x", static_cast<unsigned>(version));
  return std::string("{\"version\":\"") + digits + "\",\"routes\":[" + routes_text +
         "],\"services\":[" + services_text +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

// ---- clients ----

struct Reply {
  Reader::End end = Reader::End::kReset;
  Message message;
  std::size_t body_bytes = 0;
  int status() const { return end == Reader::End::kMessage ? message.Status() : 0; }
};

// One connection of a client.
class Client {
 public:
  // `segment_bytes` above 0 sets the largest segment, as on an Ethernet path, and `receive_bytes`
  // the window.
  explicit Client(const Address& address, int segment_bytes = 0, int receive_bytes = 0) {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (segment_bytes > 0) {
      setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    }
    if (receive_bytes > 0) {
      setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    }
    const auto target = address.Socket();
    is_connected_ =
        connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    reader_ = std::make_unique<Reader>(socket_);
  }
  ~Client() { close(socket_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Reader& reader() { return *reader_; }
  bool is_connected() const { return is_connected_; }

  bool SendBytes(const std::string& bytes) { return is_connected_ && WriteAll(socket_, bytes); }
  bool Send(const std::string& method, const std::string& target, const std::string& id,
            int deadline_ms, const std::string& body, const std::string& more_fields = "") {
    std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\n" +
                        "X-Request-Id: " + id +
                        "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + more_fields;
    if (!body.empty()) {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return is_connected_ && WriteAll(socket_, bytes + "\r\n" + body);
  }

  Reply Call(const std::string& method, const std::string& target, const std::string& id,
             int deadline_ms, const std::string& body = "", const std::string& more_fields = "") {
    Reply reply;
    const auto deadline = NowMs() + deadline_ms;
    if (Send(method, target, id, deadline_ms, body, more_fields)) {
      reply.end = reader_->Read(&reply.message, deadline, true);
      reply.body_bytes = reader_->body_bytes();
    }
    return reply;
  }

 private:
  int socket_ = -1;
  bool is_connected_ = false;
  std::unique_ptr<Reader> reader_;
};

inline Reply CallOnce(const Address& address, const std::string& method, const std::string& target,
                      const std::string& id, int deadline_ms, const std::string& body = "") {
  Client client(address);
  return client.Call(method, target, id, deadline_ms, body);
}

inline bool WaitUntilReady(const Instance& instance, std::int64_t timeout_ms) {
  const auto deadline = NowMs() + timeout_ms;
  while (NowMs() < deadline) {
    Client client(instance.Ready());
    if (client.is_connected() &&
        client.Call("GET", "/primroseweir/readiness", "ready", 500).status() == 200) {
      return true;
    }
    SleepMs(20);
  }
  return false;
}

// ---- the test ----

// Options of a run: the folder of the case and whether the disruption happens. Instances write
// their settings and logs into a temporary folder that is removed at the end.
class Run {
 public:
  Run(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    StartTime();
    if (argc < 2) {
      std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
      std::exit(kExitCouldNotRun);
    }
    const char* trouble = std::getenv("TROUBLE");
    has_trouble_ = trouble == nullptr || std::string(trouble) != "0";
    Record::Get().Open(std::string(argv[1]) + "/record.txt");
    Note("disruption: %s", has_trouble_ ? "yes" : "no (TROUBLE=0)");
    const char* temporary = std::getenv("TMPDIR");
    folder_ = std::string(temporary == nullptr ? "/tmp" : temporary) + "/review-XXXXXX";
    if (mkdtemp(folder_.data()) == nullptr) {
      CouldNotRun("cannot create a temporary folder");
    }
    if (access("target/platform/primroseweir-platform", X_OK) != 0) {
      CouldNotRun("target/platform/primroseweir-platform is missing; run the build first");
    }
  }
  ~Run() {
    const char* keep = std::getenv("KEEP");
    if (keep == nullptr) {
      std::system(("rm -rf " + folder_).c_str());
    }
  }

  bool has_trouble() const { return has_trouble_; }
  const std::string& folder() const { return folder_; }
  const Network& network() const { return network_; }

  // An instance of zone `zone`, whose first port is fixed for the run.
  std::unique_ptr<Instance> MakeInstance(const std::string& name, const std::string& zone, int host,
                                         const Address& store,
                                         const std::vector<int>& seed_hosts) const {
    Instance::Options options;
    options.name = name;
    options.zone = zone;
    options.ip = network_.Host(host, 0).ip;
    options.store = store;
    options.folder = folder_;
    options.first_port = kFirstPort;
    for (const int seed : seed_hosts) {
      options.seeds.push_back(network_.Host(seed, 0).ip);
    }
    return std::make_unique<Instance>(options);
  }

  static constexpr int kFirstPort = 17540;
  static constexpr int kStorePort = 17600;
  static constexpr int kServerPort = 17700;

 private:
  bool has_trouble_ = true;
  std::string folder_;
  Network network_;
};

// Prints the verdict and returns the exit code.
inline int Verdict(bool is_broken, const std::string& text) {
  Note("%s: %s", is_broken ? "RULE BROKEN" : "rule held", text.c_str());
  std::printf("%s: %s\n", is_broken ? "RULE BROKEN" : "rule held", text.c_str());
  std::fflush(stdout);
  return is_broken ? kExitBroken : kExitHeld;
}

}  // namespace review

#endif  // REVIEW_COMMON_HARNESS_H_
