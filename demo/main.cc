// Demonstration: `make demo`. Exit code 0 only if every answer was whole and right.
#include <exception>
#include <iostream>

#include "demo/demo.h"

int main() {
  try {
    const bool right = primroseweir::demo::Demo().Run();
    std::cout << "step=done result=" << (right ? "right" : "WRONG") << std::endl;
    return right ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "step=failed error=\"" << error.what() << "\"\n";
    return 1;
  }
}
