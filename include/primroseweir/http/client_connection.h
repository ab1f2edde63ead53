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

// A connection to an HTTP server that carries one request at a time, followed by its response. Used
// by one thread at a time. Returns the errors of SocketStream and MessageParser.
class ClientConnection {
 public:
  ClientConnection(std::unique_ptr<SocketStream> socket, const SocketAddress& address,
                   const MessageLimits& limits);
  ~ClientConnection();

  static absl::StatusOr<std::unique_ptr<ClientConnection>> Open(
      const SocketAddress& address, Instant deadline,
      const MessageLimits& limits = MessageLimits());

  // ---- request ----

  // Sends the head and the whole body in one write.
  absl::Status Send(const RequestHead& head, std::string_view body, Instant deadline);
  // Streams a body: Begin, then WriteBody any number of times, then End.
  void Begin(const RequestHead& head);
  absl::Status WriteBody(std::string_view piece, Instant deadline);
  absl::Status End(std::string_view last_piece, Instant deadline);

  // ---- response ----

  // Returns the head of the response, valid until the next request. Skips interim responses (1xx).
  absl::StatusOr<ResponseHead*> ReadHead(Instant deadline);
  // Like ReadHead, but never blocks: returns null while the head is incomplete.
  absl::StatusOr<ResponseHead*> TryReadHead();
  // Returns the next piece of the body, empty at the end of the body. Valid until the next call.
  absl::StatusOr<std::string_view> ReadBody(Instant deadline);
  // Like ReadBody, but never blocks: returns nullopt when no input is available.
  absl::StatusOr<std::optional<std::string_view>> TryReadBody();

  // Returns whether the response has been received to its end. ReadBody may still have to return
  // the last piece.
  bool IsResponseComplete() const;
  // Returns whether the connection can carry another request: the request was sent and the response
  // received completely, the server keeps the connection open and no unread input is buffered.
  bool IsReusable() const;
  // Returns whether an idle connection still looks open: neither a byte nor the end of the input
  // has arrived.
  bool IsOpen() const;

  SocketStream* socket() const;
  const SocketAddress& address() const { return address_; }

 private:
  const SocketAddress address_;
  std::unique_ptr<detail::MessageStream> stream_;
  bool is_head_request_ = false;
  bool is_request_sent_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_CLIENT_CONNECTION_H_
