#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_VALIDATION_ERROR_COLLECTOR_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_VALIDATION_ERROR_COLLECTOR_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "primroseweir/configuration/validation_error.h"

namespace primroseweir::detail {

// Collects verdicts and answers the first ones by position in the value.
class ValidationErrorCollector {
 public:
  explicit ValidationErrorCollector(const std::string& text) : text_(text) {}

  // `offset` is the byte at which the problem stands.
  void Add(std::size_t offset, std::string field, std::string problem, std::string expected);

  bool empty() const { return found_.empty(); }

  // The first kMaxValidationErrors, by position.
  std::vector<ValidationError> Finish();

  // Line of a byte offset, from 1. Linear in the offset.
  std::size_t LineOf(std::size_t offset) const;

 private:
  void SortAndTruncate();

  const std::string& text_;
  std::vector<std::pair<std::size_t, ValidationError>> found_;
};

// `text` in quotes, cut to a length that fits a message.
std::string Quote(std::string_view text);

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_VALIDATION_ERROR_COLLECTOR_H_
