// Demonstration, run by `make demo`. Exits with 0 only if every response was complete, correct and
// in time.
#include <exception>
#include <iostream>

#include "demo/demo.h"

int main() {
  try {
    const bool is_correct = primroseweir::demo::Demo().Run();
    std::cout << "step=done result=" << (is_correct ? "right" : "WRONG") << std::endl;
    return is_correct ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "step=failed error=\"" << error.what() << "\"\n";
    return 1;
  }
}
