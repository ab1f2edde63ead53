#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <csignal>

int main(int argc, char** argv) {
  // As in the programs, a write to a connection that the peer closed returns an error instead of
  // terminating the process by SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  return Catch::Session().run(argc, argv);
}
