#ifndef STANDINS_WIRE_HTTP_HEAD_H_
#define STANDINS_WIRE_HTTP_HEAD_H_

#include <string>
#include <vector>

namespace primroseweir::standins {

struct HeaderField {
  std::string name;
  std::string value;
};

// First line and header fields of a request or an answer.
struct HttpHead {
  // Of a request.
  std::string method;
  std::string target;
  // Of an answer.
  int status = 0;
  std::vector<HeaderField> fields;

  // Value of the first field of that name, without regard to case; "" when there is none.
  std::string Value(const std::string& name) const;
};

// The head as it is sent; `Content-Length` and the like have to be among the fields.
std::string FormatRequest(const HttpHead& head);
std::string FormatResponse(const HttpHead& head);

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_HTTP_HEAD_H_
