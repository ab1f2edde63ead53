#include "primroseweir/configuration/detail/validation_error_collector.h"

#include <algorithm>

#include "primroseweir/configuration/value_limits.h"

namespace primroseweir::detail {
namespace {

constexpr std::size_t kMaxQuotedBytes = 80;

}  // namespace

void ValidationErrorCollector::Add(std::size_t offset, std::string field, std::string problem,
                                   std::string expected) {
  errors_.emplace_back(
      offset, ValidationError{0, std::move(field), std::move(problem), std::move(expected)});
  if (errors_.size() >= 8 * kMaxValidationErrors) SortAndTruncate();
}

std::vector<ValidationError> ValidationErrorCollector::Finish() {
  SortAndTruncate();
  std::vector<ValidationError> errors;
  for (auto& [offset, validation_error] : errors_) {
    validation_error.line = LineOf(offset);
    errors.push_back(std::move(validation_error));
  }
  return errors;
}

std::size_t ValidationErrorCollector::LineOf(std::size_t offset) const {
  const auto end = text_.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text_.size()));
  return static_cast<std::size_t>(std::count(text_.begin(), end, '\n')) + 1;
}

void ValidationErrorCollector::SortAndTruncate() {
  std::stable_sort(errors_.begin(), errors_.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  if (errors_.size() > kMaxValidationErrors) errors_.resize(kMaxValidationErrors);
}

std::string Quote(std::string_view text) {
  const bool is_truncated = text.size() > kMaxQuotedBytes;
  return "\"" + std::string(text.substr(0, kMaxQuotedBytes)) + (is_truncated ? "...\"" : "\"");
}

}  // namespace primroseweir::detail
