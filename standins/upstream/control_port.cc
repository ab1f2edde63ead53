#include "upstream/control_port.h"

#include <string>
#include <utility>

#include "primroseweir/base/error.h"
#include "wire/http_reader.h"

namespace primroseweir::standins {
namespace {

constexpr auto kLimit = std::chrono::seconds(30);

struct ControlResponse {
  int status = 200;
  std::string body = "{}";
};

ControlResponse Change(Upstream* upstream, const std::string& body) {
  const auto status = upstream->Change(body);
  if (!status.ok()) return {400, MessageOf(status)};
  upstream->events().Emit("modes_changed", {{"modes", body}});
  return {};
}

ControlResponse Silence(Upstream* upstream, const std::string& body) {
  const bool both = body == "both";
  const auto count = upstream->connections().Silence(both || body == "in", both || body == "out");
  upstream->events().Emit("silenced",
                          {{"direction", body}, {"connections", std::to_string(count)}});
  return {200, "{\"connections\":" + std::to_string(count) + "}"};
}

ControlResponse Handle(Upstream* upstream, const HttpHead& request, const std::string& body) {
  const std::string line = request.method + " " + request.target;
  if (line == "GET /state") return {200, upstream->StateText()};
  if (line == "GET /ledger") return {200, upstream->LedgerText()};
  if (line == "POST /modes") return Change(upstream, body);
  if (line == "POST /silence") return Silence(upstream, body);
  if (line == "POST /cold") {
    upstream->slots().BecomeCold();
    return {};
  }
  if (line == "POST /mark") {
    upstream->slots().Mark(MonotonicNow());
    return {};
  }
  return {404, "no such target"};
}

}  // namespace

void ServeControl(Upstream* upstream, Socket socket) {
  HttpReader reader(&socket, HttpReader::Kind::kRequests);
  while (true) {
    const auto request = reader.ReadHead(MonotonicNow() + kLimit);
    if (!request.ok()) return;
    const auto body = reader.ReadBody(MonotonicNow() + kLimit);
    if (!body.ok()) return;
    const ControlResponse response = Handle(upstream, *request, *body);
    HttpHead head;
    head.status = response.status;
    head.fields.push_back({"Content-Length", std::to_string(response.body.size())});
    const auto sent =
        socket.WriteAll(FormatResponse(head) + response.body, MonotonicNow() + kLimit);
    if (!sent.ok() || !reader.keep_alive()) return;
  }
}

}  // namespace primroseweir::standins
