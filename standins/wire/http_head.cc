#include "wire/http_head.h"

#include <http_parser.h>
#include <strings.h>

namespace primroseweir::standins {
namespace {

std::string FormatFields(const std::vector<HeaderField>& fields) {
  std::string text;
  for (const HeaderField& field : fields) text += field.name + ": " + field.value + "\r\n";
  return text + "\r\n";
}

}  // namespace

std::string HttpHead::Value(const std::string& name) const {
  for (const HeaderField& field : fields) {
    if (strcasecmp(field.name.c_str(), name.c_str()) == 0) return field.value;
  }
  return "";
}

std::string FormatRequest(const HttpHead& head) {
  return head.method + " " + head.target + " HTTP/1.1\r\n" + FormatFields(head.fields);
}

std::string FormatResponse(const HttpHead& head) {
  return "HTTP/1.1 " + std::to_string(head.status) + " " +
         http_status_str(static_cast<http_status>(head.status)) + "\r\n" +
         FormatFields(head.fields);
}

}  // namespace primroseweir::standins
