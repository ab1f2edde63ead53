#include "primroseweir/base/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace primroseweir {
namespace {

// A pipe whose reading end the test empties when it wants to.
class Pipe {
 public:
  Pipe() { REQUIRE(pipe2(ends_.data(), O_CLOEXEC | O_NONBLOCK) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writing() const { return ends_[1]; }
  std::string Read() {
    std::string text;
    std::array<char, 4096> piece{};
    for (ssize_t count = 0; (count = read(ends_[0], piece.data(), piece.size())) > 0;) {
      text.append(piece.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

const Instant kNow(std::chrono::seconds(50));

TEST_CASE("lines are key=value, one a line", "[base]") {
  Pipe pipe;
  LineLog log("p1", pipe.writing());
  log.Write("changed", {{"what", "two words"}, {"count", "3"}}, kNow);
  log.Flush();
  const auto text = pipe.Read();
  CHECK(text.find(" up_us=50000000 process=p1 event=changed what=\"two words\" count=3\n") !=
        std::string::npos);
}

// Guards against lines about the state that a flood of calls displaces, which left a fault of the
// soak without a trace.
TEST_CASE("a flood of calls leaves room for lines about the state", "[base]") {
  Pipe pipe;
  LineLog log("p1", pipe.writing());
  for (int i = 0; i < 100000; ++i) {
    log.WriteCall("call_ended", {{"request", std::to_string(i)}}, kNow);
  }
  CHECK(log.dropped() > 0);
  log.Write("state", {}, kNow);
  std::string text;
  for (int i = 0; i < 200; ++i) {
    log.Flush();
    text += pipe.Read();
  }
  CHECK(text.find("event=state") != std::string::npos);
  CHECK(text.find("lines_dropped=") != std::string::npos);
}

// Guards against a reader of the log that stops the process.
TEST_CASE("a descriptor that takes nothing neither blocks nor grows the buffer", "[base]") {
  Pipe pipe;
  LineLog log("p1", pipe.writing());
  for (int i = 0; i < 100000; ++i) {
    log.Write("state", {{"number", std::to_string(i)}}, kNow);
    log.Flush();
  }
  CHECK(log.dropped() > 0);
}

}  // namespace
}  // namespace primroseweir
