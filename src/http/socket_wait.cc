#include "primroseweir/http/socket_wait.h"

#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstring>
#include <ctime>
#include <string>
#include <vector>

namespace primroseweir {
namespace {

timespec TimeUntil(Instant deadline) {
  const auto remaining = std::max(deadline - MonotonicNow(), Duration::zero());
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(remaining);
  timespec result{};
  result.tv_sec = seconds.count();
  result.tv_nsec = (remaining - seconds).count();
  return result;
}

}  // namespace

absl::Status WaitForAny(std::initializer_list<SocketEvents> sockets, int watched,
                        Instant deadline) {
  // ppoll ignores negative descriptors.
  std::vector<pollfd> descriptors;
  descriptors.reserve(sockets.size() + 1);
  for (const auto& socket : sockets) {
    descriptors.push_back({socket.descriptor, socket.events, 0});
  }
  descriptors.push_back({watched, POLLRDHUP, 0});
  const auto remaining = TimeUntil(deadline);
  const int ready = ppoll(descriptors.data(), descriptors.size(), &remaining, nullptr);
  if (ready < 0 && errno != EINTR) {
    return absl::UnavailableError(std::string("poll: ") + std::strerror(errno));
  }
  for (std::size_t i = 0; i + 1 < descriptors.size(); ++i) {
    if (descriptors[i].revents != 0) {
      return absl::OkStatus();
    }
  }
  if (descriptors.back().revents != 0) {
    return absl::CancelledError("the caller closed its connection");
  }
  return ready == 0 ? absl::DeadlineExceededError("no progress until the deadline")
                    : absl::OkStatus();
}

}  // namespace primroseweir
