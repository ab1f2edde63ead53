#ifndef PRIMROSEWEIR_GATEWAY_PAGE_SERVER_H_
#define PRIMROSEWEIR_GATEWAY_PAGE_SERVER_H_

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <string>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/request_sink.h"

namespace primroseweir {

// HTTP server for a fixed set of pages that are produced in memory, such as addresses, readiness,
// metrics and the published snapshot. Responds with 404 to other paths.
class PageServer : public RequestSink {
 public:
  struct Page {
    int status = 200;
    std::string type = "application/json";
    std::string body;
  };
  // Decoded query parameters by name.
  using Query = std::map<std::string, std::string>;
  // Returns the page for a query.
  using PageFactory = std::function<Page(const Query&)>;

  explicit PageServer(EventLoop* loop);

  void Add(const std::string& path, PageFactory factory);
  // Errors: Unavailable if the address can't be bound.
  absl::Status Listen(const SocketAddress& address) { return port_.Listen(address); }
  void StopAccepting() { port_.StopAccepting(); }

  // Pages need no request body; one that follows is not read.
  bool WillReject(const RequestHead& /*head*/) override { return true; }
  void OnRequest(HttpServerExchange* stream, RequestHead* head, std::string body) override;

  // Parses a query string such as "a=1&b=2" and decodes percent-encoding and '+'.
  static Query ParseQuery(const std::string& text);

 private:
  std::map<std::string, PageFactory> pages_;
  HttpPort port_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_PAGE_SERVER_H_
