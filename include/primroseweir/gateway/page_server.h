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

// A port that answers GET requests for a few pages from memory: address answers, readiness,
// metrics, the published copy. Other paths answer 404.
class PageServer : public RequestSink {
 public:
  struct Page {
    int status = 200;
    std::string type = "application/json";
    std::string body;
  };
  // Makes a page from the query's parameters.
  using Query = std::map<std::string, std::string>;
  using PageFactory = std::function<Page(const Query&)>;

  explicit PageServer(EventLoop* loop);

  void Add(const std::string& path, PageFactory factory);
  // Errors: Unavailable, the address can't be bound.
  absl::Status Listen(const SocketAddress& address) { return port_.Listen(address); }
  void StopAccepting() { port_.StopAccepting(); }

  void OnRequest(HttpServerStream* stream, RequestHead* head, std::string body) override;

  // Splits "a=1&b=2"; percent signs are decoded.
  static Query ParseQuery(const std::string& text);

 private:
  std::map<std::string, PageFactory> pages_;
  HttpPort port_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_PAGE_SERVER_H_
