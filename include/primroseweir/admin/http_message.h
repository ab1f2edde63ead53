#ifndef PRIMROSEWEIR_ADMIN_HTTP_MESSAGE_H_
#define PRIMROSEWEIR_ADMIN_HTTP_MESSAGE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace primroseweir {

// A request to an HttpService, with its complete body.
struct HttpServiceRequest {
  std::string method;
  // Path of the URL without the query.
  std::string path;
  // Decoded query parameters. Of several parameters with the same name, only the first is kept.
  std::map<std::string, std::string> query;
  std::string body;
  // Value of the header field Authorization; empty when absent.
  std::string authorization;
  // IP address of the client.
  std::string peer_ip;

  // Returns the query parameter `name`, or `fallback` when it is absent.
  std::string Query(const std::string& name, const std::string& fallback = "") const;
};

// The response of an HttpService.
struct HttpServiceResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  // Further header fields.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_HTTP_MESSAGE_H_
