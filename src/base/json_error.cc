#include "primroseweir/base/json_error.h"

#include <nlohmann/json.hpp>

namespace primroseweir {

std::string JsonErrorReason(const std::exception& error) {
  const auto* syntax_error = dynamic_cast<const nlohmann::json::parse_error*>(&error);
  return syntax_error == nullptr ? error.what()
                                 : "invalid JSON at byte " + std::to_string(syntax_error->byte);
}

}  // namespace primroseweir
