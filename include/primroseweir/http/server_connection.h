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

namespace primroseweir {

namespace detail {
class MessageStream;
}  // namespace detail

// A caller's connection to this server. Belongs to the thread that serves it. Errors as in
// SocketStream and MessageParser.
class ServerConnection {
 public:
  // `closing` (null for none) becomes true when the server stops; answers that begin afterwards are
  // the last of their connection.
  ServerConnection(std::unique_ptr<SocketStream> socket, const MessageLimits& limits,
                   const std::atomic<bool>* closing = nullptr);
  ~ServerConnection();

  // ---- request ----

  // Waits for the first byte of the next request; false when none came: the caller closed, the idle
  // time passed, or `stop_event` (a descriptor, -1 for none) became readable.
  bool WaitForRequest(int stop_event);
  // Reads the next request's head. DeadlineExceeded after the limit for heads.
  absl::Status ReadHead();
  RequestHead* request();
  // The next piece of the request's body, empty at its end. Valid until the next call. Asks a
  // caller that expects "100 Continue" to send.
  absl::StatusOr<std::string_view> ReadBody(Instant deadline);
  // As ReadBody, but never waits: nothing when no byte is there.
  absl::StatusOr<std::optional<std::string_view>> TryReadBody();
  bool request_complete() const;

  // ---- answer ----

  // Sends a whole answer with one write; sets its Content-Length.
  absl::Status Respond(ResponseHead head, std::string_view body);
  // For streamed answers: Begin, any number of WriteBody, End. The head leaves with the first piece
  // or with Flush. A body of unknown length goes to HTTP/1.0 callers until close.
  void Begin(ResponseHead head);
  absl::Status WriteBody(std::string_view piece, Instant deadline);
  absl::Status Flush(Instant deadline);
  absl::Status End(std::string_view last_piece, Instant deadline);
  // Cuts a begun answer with a reset.
  void Abort();

  bool response_begun() const { return response_begun_; }
  bool response_ended() const { return response_ended_; }

  // ---- connection ----

  // Closes the connection after the present answer.
  void set_close_after_response() { close_ = true; }
  // Prepares for the next request; false when the connection has to be closed.
  bool NextRequest();
  // Lets the caller read the last answer before the connection closes, at most 1 s.
  void Linger();
  bool PeerClosed() const;
  SocketStream* socket() const;

 private:
  void SendContinue();

  std::unique_ptr<detail::MessageStream> stream_;
  const std::atomic<bool>* const closing_;
  bool close_ = false;
  bool aborted_ = false;
  bool response_begun_ = false;
  bool response_ended_ = false;
  bool continue_sent_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_SERVER_CONNECTION_H_
