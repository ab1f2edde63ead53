#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "primroseweir/configuration/text_parser.h"

// Validates the text of the services that operators write and prints the validation errors. Usage:
// configuration_check_text FILE; without FILE it validates an example.
int main(int argc, char** argv) {
  std::string text = "{\"services\": [{\"name\": \"ice-board\", \"depends_on\": []}]}";
  if (argc > 1) {
    std::ifstream file(argv[1], std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(file), {});
  }
  const auto services = primroseweir::ParseText(text);
  for (const auto& validation_error : services.errors) {
    std::cout << primroseweir::FormatValidationError(validation_error) << "\n";
  }
  if (services.ok()) std::cout << "accepted services=" << services.value.services.size() << "\n";
  return services.ok() ? 0 : 1;
}
