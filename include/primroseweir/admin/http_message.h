#ifndef PRIMROSEWEIR_ADMIN_HTTP_MESSAGE_H_
#define PRIMROSEWEIR_ADMIN_HTTP_MESSAGE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace primroseweir {

// One request to an HttpService, with its body read whole.
struct HttpServiceRequest {
  std::string method;
  // Path without the query.
  std::string path;
  // Decoded query parameters; the first one of a name counts.
  std::map<std::string, std::string> query;
  std::string body;
  // Value of the field Authorization; empty when absent.
  std::string authorization;
  // IP address of the requester.
  std::string peer_ip;

  // The query parameter, or `fallback` when it is absent.
  std::string Query(const std::string& name, const std::string& fallback = "") const;
};

// The answer of an HttpService.
struct HttpServiceResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_HTTP_MESSAGE_H_
