#include "primroseweir/http/request_handler.h"

#include "primroseweir/http/response_head.h"
#include "primroseweir/http/server_connection.h"

namespace primroseweir {
namespace {

void RespondEmpty(ServerConnection* connection, int http_status) {
  ResponseHead head;
  head.status = http_status;
  connection->Respond(head, "").IgnoreError();
}

}  // namespace

void RequestHandler::HandleFault(ServerConnection* connection, int http_status,
                                 const absl::Status& fault) {
  RespondEmpty(connection, http_status);
}

void RequestHandler::HandleOverflow(ServerConnection* connection) { RespondEmpty(connection, 503); }

int HttpStatusOfFault(const absl::Status& fault) {
  switch (fault.code()) {
    case absl::StatusCode::kUnimplemented:
      return 501;
    case absl::StatusCode::kOutOfRange:
      return 431;
    case absl::StatusCode::kDeadlineExceeded:
      return 408;
    default:
      return 400;
  }
}

}  // namespace primroseweir
