#ifndef PRIMROSEWEIR_BASE_JSON_ERROR_H_
#define PRIMROSEWEIR_BASE_JSON_ERROR_H_

#include <exception>
#include <string>

namespace primroseweir {

// Returns the message of an error that occurred while JSON was decoded. The JSON library's syntax
// errors quote the text, which may contain keys of customers and must not be logged; they are
// reduced to their position.
std::string JsonErrorReason(const std::exception& error);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_JSON_ERROR_H_
