#include "primroseweir/configuration/detail/validation_error_collector.h"

#include <algorithm>

#include "primroseweir/configuration/value_limits.h"

namespace primroseweir::detail {
namespace {

constexpr std::size_t kLongestQuote = 80;

}  // namespace

void ValidationErrorCollector::Add(std::size_t offset, std::string field, std::string problem,
                                   std::string expected) {
  found_.emplace_back(
      offset, ValidationError{0, std::move(field), std::move(problem), std::move(expected)});
  if (found_.size() >= 8 * kMaxValidationErrors) SortAndTruncate();
}

std::vector<ValidationError> ValidationErrorCollector::Finish() {
  SortAndTruncate();
  std::vector<ValidationError> errors;
  for (auto& [offset, validation_error] : found_) {
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
  std::stable_sort(found_.begin(), found_.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  if (found_.size() > kMaxValidationErrors) found_.resize(kMaxValidationErrors);
}

std::string Quote(std::string_view text) {
  const bool cut = text.size() > kLongestQuote;
  return "\"" + std::string(text.substr(0, kLongestQuote)) + (cut ? "...\"" : "\"");
}

}  // namespace primroseweir::detail
