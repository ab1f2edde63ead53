#include "wire/fetch.h"

#include "wire/http_reader.h"
#include "wire/socket.h"

namespace primroseweir::standins {

absl::StatusOr<HttpResponse> Fetch(const SocketAddress& to, HttpHead request,
                                   const std::string& body, Duration timeout) {
  const Instant deadline = MonotonicNow() + timeout;
  auto socket = Socket::Connect(to, deadline);
  if (!socket.ok()) return socket.status();
  if (request.Value("Host").empty()) request.fields.push_back({"Host", to.ToString()});
  request.fields.push_back({"Connection", "close"});
  const bool has_length = !body.empty() || request.method != "GET";
  if (has_length) request.fields.push_back({"Content-Length", std::to_string(body.size())});
  auto status = socket->WriteAll(FormatRequest(request) + body, deadline);
  if (!status.ok()) return status;
  HttpReader reader(&*socket, HttpReader::Kind::kResponses);
  auto head = reader.ReadHead(deadline, request.method != "HEAD");
  if (!head.ok()) return head.status();
  auto response = reader.ReadBody(deadline);
  if (!response.ok()) return response.status();
  return HttpResponse{*std::move(head), *std::move(response)};
}

absl::StatusOr<HttpResponse> Get(const SocketAddress& to, const std::string& target,
                                 Duration timeout) {
  HttpHead request;
  request.method = "GET";
  request.target = target;
  return Fetch(to, std::move(request), "", timeout);
}

}  // namespace primroseweir::standins
