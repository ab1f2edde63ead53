#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_VALIDATION_ERROR_COLLECTOR_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_VALIDATION_ERROR_COLLECTOR_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "primroseweir/configuration/validation_error.h"

namespace primroseweir::detail {

// Collects validation errors and keeps the first ones by their position in the value. Keeps a
// reference to the text, which must outlive it.
class ValidationErrorCollector {
 public:
  explicit ValidationErrorCollector(const std::string& text) : text_(text) {}

  // Adds an error at byte `offset` of the text.
  void Add(std::size_t offset, std::string field, std::string problem, std::string expected);

  bool empty() const { return errors_.empty(); }

  // Returns the first kMaxValidationErrors errors by position, and moves them out of the collector.
  std::vector<ValidationError> Finish();

  // Returns the line number of a byte offset, from 1. Linear in the offset.
  std::size_t LineOf(std::size_t offset) const;

 private:
  void SortAndTruncate();

  const std::string& text_;
  std::vector<std::pair<std::size_t, ValidationError>> errors_;
};

// Returns `text` in quotes, truncated to a length suitable for a message.
std::string Quote(std::string_view text);

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_VALIDATION_ERROR_COLLECTOR_H_
