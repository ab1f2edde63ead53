#include "admin_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>

#include <exception>

#include "primroseweir/base/error.h"
#include "primroseweir/base/json_error.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir::ctl {
namespace {

constexpr double kTimeoutMilliseconds = 2'000;
constexpr unsigned kStatusOk = 200;

}  // namespace

AdminResponse ReadAdminPort(const std::string& address, const std::string& path,
                            const std::string& query, const std::string& token) {
  AdminResponse response;
  response.address = address;
  const auto parsed_address = ParseSocketAddress(address);
  if (!parsed_address.ok()) {
    response.error = MessageOf(parsed_address.status());
    return response;
  }
  try {
    cxxtools::http::Client client(parsed_address->ip, parsed_address->port);
    cxxtools::http::Request request(path);
    request.qparams(query);
    request.setHeader("Authorization", ("Bearer " + token).c_str());
    client.execute(request, cxxtools::Milliseconds(kTimeoutMilliseconds));
    client.readBody();
    const unsigned status = client.header().httpReturnCode();
    if (status != kStatusOk) {
      response.error = "status " + std::to_string(status);
    } else {
      response.body = nlohmann::json::parse(client.body());
    }
  } catch (const std::exception& error) {
    response.error = JsonErrorReason(error);
  }
  return response;
}

}  // namespace primroseweir::ctl
