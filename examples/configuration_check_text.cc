#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "primroseweir/configuration/text_parser.h"

// Checks an operators' text: configuration_check_text FILE. Without a file it checks an example.
int main(int argc, char** argv) {
  std::string text = "{\"services\": [{\"name\": \"ice-board\", \"depends_on\": []}]}";
  if (argc > 1) {
    std::ifstream file(argv[1], std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(file), {});
  }
  const auto checked = primroseweir::ParseText(text);
  for (const auto& validation_error : checked.errors) {
    std::cout << primroseweir::FormatValidationError(validation_error) << "\n";
  }
  if (checked.ok()) std::cout << "accepted services=" << checked.value.size() << "\n";
  return checked.ok() ? 0 : 1;
}
