#ifndef PRIMROSEWEIR_HTTP_SERVER_CONNECTION_H_
#define PRIMROSEWEIR_HTTP_SERVER_CONNECTION_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string_view>

#include "primroseweir/base/time.h"
#include "primroseweir/http/message_limits.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/http/socket_stream.h"
#include "primroseweir/http/wait_hooks.h"

namespace primroseweir {

namespace detail {
class MessageStream;
}  // namespace detail

// A caller's connection to this server. Used only by the thread that serves it. Returns the errors
// of SocketStream and MessageParser.
class ServerConnection {
 public:
  // `server_stopping` (may be null) becomes true when the server stops; a response that begins
  // afterwards is the last one on its connection.
  ServerConnection(std::unique_ptr<SocketStream> socket, const MessageLimits& limits,
                   const std::atomic<bool>* server_stopping = nullptr);
  ~ServerConnection();

  // Sets the hooks for waits within a request: for more of its body, counted from the arrival of
  // its head, and for the caller to read, counted from the last byte that it accepted. A body whose
  // wait ended with a closed connection counts as incomplete.
  void SetWaitHooks(const WaitHooks& hooks);

  // ---- request ----

  // Waits until the next request's first byte or the end of the input is readable. Returns false
  // when the idle timeout passes or `stop_event` (a descriptor, -1 for none) becomes readable
  // first.
  bool WaitForRequest(int stop_event);
  // Reads the next request's head. Returns DeadlineExceeded after MessageLimits::head_timeout, and
  // Unavailable when the caller has closed the connection.
  absl::Status ReadHead();
  RequestHead* request();
  // Returns the next piece of the request's body, empty at the end of the body. Valid until the
  // next call. Sends "100 Continue" first to a caller that expects it.
  absl::StatusOr<std::string_view> ReadBody(Instant deadline);
  // Like ReadBody, but does not wait for input: returns nullopt when none is available.
  absl::StatusOr<std::optional<std::string_view>> TryReadBody();
  bool is_request_complete() const;

  // ---- response ----

  // Sends a complete response in one write and sets its Content-Length.
  absl::Status Respond(ResponseHead head, std::string_view body);
  // Streams a response: Begin, then WriteBody any number of times, then End. The head is sent with
  // the first piece, or by Flush or End. A body of unknown length is sent in chunks; to HTTP/1.0
  // callers, which don't support chunks, it ends with the connection.
  void Begin(ResponseHead head);
  absl::Status WriteBody(std::string_view piece, Instant deadline);
  absl::Status Flush(Instant deadline);
  absl::Status End(std::string_view last_piece, Instant deadline);
  // Resets the connection, so that the caller can't take a truncated response for a complete one.
  void Abort();

  bool has_response_begun() const { return has_response_begun_; }
  bool has_response_ended() const { return has_response_ended_; }

  // ---- connection ----

  // Makes the connection close after the current response.
  void set_close_after_response() { should_close_ = true; }
  // Prepares for the next request. Returns false when the connection must be closed. Resets it if
  // the response is incomplete.
  bool StartNextRequest();
  // Ends the output and discards input for at most 1 s, so that the caller can read the last
  // response before the connection closes.
  void Linger();
  bool HasPeerClosed() const;
  SocketStream* socket() const;

 private:
  void SendContinueIfExpected();
  // Returns Unavailable if the connection was closed while it waited for more of a body.
  absl::Status EndBodyWait();

  std::unique_ptr<detail::MessageStream> stream_;
  const std::atomic<bool>* const server_stopping_;
  WaitHooks wait_hooks_;
  Instant head_read_at_;
  bool is_waiting_for_body_ = false;
  bool should_close_ = false;
  bool is_aborted_ = false;
  bool has_response_begun_ = false;
  bool has_response_ended_ = false;
  bool is_continue_sent_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_SERVER_CONNECTION_H_
