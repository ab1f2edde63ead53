#include "upstream/control_port.h"

#include <string>
#include <utility>

#include "primroseweir/base/error.h"
#include "wire/http_reader.h"

namespace primroseweir::standins {
namespace {

constexpr auto kTimeout = std::chrono::seconds(30);

struct ControlResponse {
  int status = 200;
  std::string body = "{}";
};

ControlResponse UpdateModes(Upstream* upstream, const std::string& body) {
  const auto status = upstream->UpdateModes(body);
  if (!status.ok()) return {400, MessageOf(status)};
  upstream->events().Emit("modes_changed", {{"modes", body}});
  return {};
}

ControlResponse MakeUnresponsive(Upstream* upstream, const std::string& body) {
  const bool is_both = body == "both";
  const auto count =
      upstream->connections().MakeUnresponsive(is_both || body == "in", is_both || body == "out");
  upstream->events().Emit("silenced",
                          {{"direction", body}, {"connections", std::to_string(count)}});
  return {200, "{\"connections\":" + std::to_string(count) + "}"};
}

ControlResponse HandleRequest(Upstream* upstream, const HttpHead& request,
                              const std::string& body) {
  const std::string request_line = request.method + " " + request.target;
  if (request_line == "GET /state") return {200, upstream->FormatState()};
  if (request_line == "GET /ledger") return {200, upstream->FormatLedger()};
  if (request_line == "POST /modes") return UpdateModes(upstream, body);
  if (request_line == "POST /silence") return MakeUnresponsive(upstream, body);
  if (request_line == "POST /cold") {
    upstream->slots().BecomeCold();
    return {};
  }
  if (request_line == "POST /mark") {
    upstream->slots().Mark(MonotonicNow());
    return {};
  }
  return {404, "no such target"};
}

}  // namespace

void ServeControl(Upstream* upstream, Socket socket) {
  HttpReader reader(&socket, HttpReader::Kind::kRequests);
  while (true) {
    const auto request = reader.ReadHead(MonotonicNow() + kTimeout);
    if (!request.ok()) return;
    const auto body = reader.ReadBody(MonotonicNow() + kTimeout);
    if (!body.ok()) return;
    const ControlResponse response = HandleRequest(upstream, *request, *body);
    HttpHead head;
    head.status = response.status;
    head.fields.push_back({"Content-Length", std::to_string(response.body.size())});
    const auto sent =
        socket.WriteAll(FormatResponse(head) + response.body, MonotonicNow() + kTimeout);
    if (!sent.ok() || !reader.keep_alive()) return;
  }
}

}  // namespace primroseweir::standins
