#ifndef PRIMROSEWEIR_HTTP_CLIENT_CONNECTION_H_
#define PRIMROSEWEIR_HTTP_CLIENT_CONNECTION_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <string_view>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/http/message_limits.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/http/socket_stream.h"

namespace primroseweir {

namespace detail {
class MessageStream;
}  // namespace detail

// A connection to an HTTP server: one request at a time, then its answer. Belongs to one thread at
// a time. Errors as in SocketStream and MessageParser.
class ClientConnection {
 public:
  ClientConnection(std::unique_ptr<SocketStream> socket, const SocketAddress& address,
                   const MessageLimits& limits);
  ~ClientConnection();

  static absl::StatusOr<std::unique_ptr<ClientConnection>> Open(
      const SocketAddress& address, Instant deadline,
      const MessageLimits& limits = MessageLimits());

  // ---- request ----

  // Sends the head and the whole body with one write.
  absl::Status Send(const RequestHead& head, std::string_view body, Instant deadline);
  // For streamed bodies: Begin, any number of WriteBody, End.
  void Begin(const RequestHead& head);
  absl::Status WriteBody(std::string_view piece, Instant deadline);
  absl::Status End(std::string_view last_piece, Instant deadline);

  // ---- answer ----

  // The head of the answer; interim answers (1xx) are skipped. Valid until the next request.
  absl::StatusOr<ResponseHead*> ReadHead(Instant deadline);
  // As ReadHead, but never waits: null when the head is not there yet.
  absl::StatusOr<ResponseHead*> TryReadHead();
  // The next piece of the body, empty at its end. Valid until the next call.
  absl::StatusOr<std::string_view> ReadBody(Instant deadline);
  // As ReadBody, but never waits: nothing when no byte is there.
  absl::StatusOr<std::optional<std::string_view>> TryReadBody();

  // Whether the answer's end has been read. Its last piece may still have to be taken.
  bool IsResponseComplete() const;
  // Whether the answer is whole and the server keeps the connection open for a further request.
  bool IsReusable() const;
  // Whether the idle connection still looks open: no byte and no end of input has arrived.
  bool StillOpen() const;

  SocketStream* socket() const;
  const SocketAddress& address() const { return address_; }

 private:
  const SocketAddress address_;
  std::unique_ptr<detail::MessageStream> stream_;
  bool bodiless_ = false;
  bool request_complete_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_CLIENT_CONNECTION_H_
