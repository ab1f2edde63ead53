#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <csignal>

int main(int argc, char** argv) {
  // As in the programs: writing to a connection that its peer closed is an error, not the end.
  std::signal(SIGPIPE, SIG_IGN);
  return Catch::Session().run(argc, argv);
}
