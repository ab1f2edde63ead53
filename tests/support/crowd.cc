#include "support/crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

#include "primroseweir/base/time.h"

namespace primroseweir::testing {
namespace {

constexpr Duration kStallTime = std::chrono::milliseconds(700);
constexpr Duration kMaxSendTime = std::chrono::seconds(8);
constexpr Duration kObserveInterval = std::chrono::milliseconds(10);

sockaddr_in NativeAddress(const SocketAddress& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

// Opens a connection without waiting for it. Returns -1 if it was refused at once.
int OpenConnection(const sockaddr_in& target) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    throw std::runtime_error("could not open a socket for the crowd");
  }
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

}  // namespace

void ConnectAndReset(const SocketAddress& address, int sequence, int at_a_time,
                     const std::function<void()>& observe) {
  const auto target = NativeAddress(address);
  for (int i = 0; i < sequence; ++i) {
    std::vector<int> descriptors;
    for (int j = 0; j < at_a_time; ++j) {
      descriptors.push_back(OpenConnection(target));
    }
    for (const int descriptor : descriptors) {
      const linger reset_on_close{1, 0};
      setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
      close(descriptor);
    }
    if (i % 16 == 0) {
      observe();
    }
  }
  observe();
}

Crowd::Crowd(const SocketAddress& address, int size, std::function<void()> observe)
    : members_(static_cast<std::size_t>(size)), observe_(std::move(observe)) {
  const auto target = NativeAddress(address);
  for (auto& member : members_) {
    member.descriptor = OpenConnection(target);
  }
}

Crowd::~Crowd() {
  for (auto& member : members_) {
    Close(&member);
  }
}

void Crowd::Close(Member* member) {
  if (member->descriptor >= 0) {
    close(member->descriptor);
    member->descriptor = -1;
  }
}

std::size_t Crowd::SendPiece(Member* member, const std::string& bytes, std::size_t piece_bytes) {
  const auto size = std::min(piece_bytes, bytes.size() - member->sent_bytes);
  const auto sent = send(member->descriptor, bytes.data() + member->sent_bytes, size, MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
      Close(member);
    }
    return 0;
  }
  member->sent_bytes += static_cast<std::size_t>(sent);
  return static_cast<std::size_t>(sent);
}

void Crowd::Send(const std::string& bytes, std::size_t piece_bytes) {
  for (auto& member : members_) {
    member.sent_bytes = 0;
  }
  const auto started_at = MonotonicNow();
  auto progress_at = started_at;
  auto observed_at = started_at;
  while (MonotonicNow() - started_at < kMaxSendTime) {
    bool is_done = true;
    bool has_progress = false;
    for (auto& member : members_) {
      if (member.descriptor >= 0 && member.sent_bytes < bytes.size()) {
        is_done = false;
        has_progress = SendPiece(&member, bytes, piece_bytes) > 0 || has_progress;
      }
    }
    const auto now = MonotonicNow();
    if (now - observed_at >= kObserveInterval) {
      observed_at = now;
      observe_();
    }
    if (has_progress) {
      progress_at = now;
    } else if (is_done || now - progress_at > kStallTime) {
      break;
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  observe_();
}

void Crowd::ReadByte() {
  for (const auto& member : members_) {
    char byte = 0;
    if (member.descriptor >= 0) {
      static_cast<void>(recv(member.descriptor, &byte, 1, 0));
    }
  }
}

void Crowd::ShutdownWrite() {
  for (const auto& member : members_) {
    if (member.descriptor >= 0) {
      shutdown(member.descriptor, SHUT_WR);
    }
  }
}

int Crowd::CountResponses(int status, Duration timeout) {
  const std::string expected = "HTTP/1.1 " + std::to_string(status);
  std::vector<std::string> received(members_.size());
  const auto deadline = MonotonicNow() + timeout;
  for (bool is_waiting = true; is_waiting && MonotonicNow() < deadline;) {
    is_waiting = false;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      auto& member = members_[i];
      if (member.descriptor < 0 || received[i].size() >= expected.size()) {
        continue;
      }
      is_waiting = true;
      char buffer[16];
      const auto size = recv(member.descriptor, buffer, expected.size() - received[i].size(), 0);
      if (size > 0) {
        received[i].append(buffer, static_cast<std::size_t>(size));
      } else if (size == 0 || (errno != EAGAIN && errno != EINTR && errno != ENOTCONN)) {
        Close(&member);
      }
    }
    observe_();
    std::this_thread::sleep_for(kObserveInterval);
  }
  return static_cast<int>(std::count(received.begin(), received.end(), expected));
}

}  // namespace primroseweir::testing
