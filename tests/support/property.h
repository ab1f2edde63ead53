#ifndef PRIMROSEWEIR_TESTS_SUPPORT_PROPERTY_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_PROPERTY_H_

#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <utility>

namespace primroseweir {

// Checks a property of rapidcheck with a fixed seed, so that a failure can be repeated. The
// environment variable RC_PARAMS takes precedence.
template <typename Property>
bool CheckProperty(const std::string& name, Property&& property) {
  setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0);
  return rc::check(name, std::forward<Property>(property));
}

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_PROPERTY_H_
