#ifndef STANDINS_WIRE_HTTP_HEAD_H_
#define STANDINS_WIRE_HTTP_HEAD_H_

#include <string>
#include <vector>

namespace primroseweir::standins {

struct HeaderField {
  std::string name;
  std::string value;
};

// First line and header fields of an HTTP request or response.
struct HttpHead {
  // Set for a request only.
  std::string method;
  std::string target;
  // Set for a response only.
  int status = 0;
  std::vector<HeaderField> fields;

  // Returns the value of the first field called `name`, ignoring case; "" when there is none.
  std::string Value(const std::string& name) const;
};

// Serializes a head, including the final empty line. Adds no fields: Content-Length and the like
// must be in `head.fields`.
std::string FormatRequest(const HttpHead& head);
std::string FormatResponse(const HttpHead& head);

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_HTTP_HEAD_H_
