#include "primroseweir/loop/http_client_callbacks.h"

namespace primroseweir {

const char* HttpClientCallbacks::NameOf(Failure failure) {
  switch (failure) {
    case Failure::kConnect:
      return "connect_failed";
    case Failure::kReset:
      return "connection_reset";
    case Failure::kClosed:
      return "connection_closed";
    case Failure::kMalformed:
      return "malformed_answer";
    case Failure::kOversized:
      return "oversized_answer";
    case Failure::kUnidentified:
      return "response_without_id";
  }
  return "unknown";
}

}  // namespace primroseweir
