#ifndef PRIMROSEWEIR_TESTS_SUPPORT_PROPERTY_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_PROPERTY_H_

#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <utility>

namespace primroseweir {

// Checks a rapidcheck property with 1000 cases and a fixed seed, so that failures are reproducible.
// The environment variable RC_PARAMS takes precedence over both.
template <typename Property>
bool CheckProperty(const std::string& name, Property&& property) {
  setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0);
  return rc::check(name, std::forward<Property>(property));
}

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_PROPERTY_H_
