#ifndef PRIMROSEWEIR_LOOP_HTTP_CLIENT_STREAM_H_
#define PRIMROSEWEIR_LOOP_HTTP_CLIENT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/http/message_parser.h"
#include "primroseweir/loop/http_client_callbacks.h"
#include "primroseweir/loop/stream_handler.h"

namespace primroseweir {

class EventLoop;
class TcpStream;
struct RequestHead;

// An HTTP client connection on an event loop. Carries one request at a time, to upstreams, the
// platform and other instances.
//
// With an echo field, a response that echoes another value is a stray response: it belongs to
// another request, since a server may send an extra or a late response. Stray responses are
// discarded while the request waits for its own. So is a response without the field, which may be a
// copy of the response to an earlier request without it, such as a probe; only a 421 is accepted if
// it is the first response on its connection. The limits below cut off input that never ends.
class HttpClientStream : public StreamHandler {
 public:
  // A header field that the server copies from the request to its response. An empty `field` turns
  // the check off. An empty `value` means that the request lacks the field; a response that has the
  // field with a value is then a stray response.
  struct Echo {
    std::string field;
    std::string value;
  };

  // Starts connecting.
  HttpClientStream(EventLoop* loop, const SocketAddress& address);
  // Closes the connection; resets it if its last request has no complete response, so that the
  // server doesn't get the request later.
  ~HttpClientStream() override;

  // Sends a request, at once or as soon as the connection is open. `callbacks` must outlive the
  // request. When `head` announces a longer body than `body`, or a chunked one, the rest follows
  // with SendPiece.
  void Send(const RequestHead& head, const std::string& body, Echo echo,
            HttpClientCallbacks* callbacks);
  // Sends a further piece of the body; `last` ends the body. Has no effect once the request has
  // ended.
  void SendPiece(const std::string& piece, bool last);
  // Returns how many bytes of the request have not left this process yet.
  std::size_t pending_bytes() const;
  // Detaches the listener. The connection cannot be used afterwards.
  void Abandon();

  // Stops reading, which holds back the rest of a large response.
  void PauseReading();
  void ResumeReading();

  // Whether the response was complete and the connection may carry another request.
  bool is_reusable() const { return is_reusable_; }
  bool is_connected() const { return is_connected_; }
  // Whether the connection ended, failed, was abandoned or received bytes while idle.
  bool is_broken() const { return is_broken_; }
  // Bytes of responses to other requests that were discarded during the current request.
  std::size_t stray_bytes() const { return stray_bytes_; }
  // When the last response was complete.
  Instant idle_since() const { return idle_since_; }
  // How long the server keeps an idle connection open; zero if it did not state that.
  Duration keep_alive_timeout() const { return keep_alive_timeout_; }
  const SocketAddress& address() const { return address_; }
  // When bytes last arrived during a request; zero if none have.
  Instant last_received_at() const { return last_received_at_; }

  void OnConnected() override;
  void OnData(const char* data, std::size_t size) override;
  void OnEnd(bool clean) override;
  void OnWriteDrained() override;

  // Interim (1xx) responses accepted for one request; servers send one or two.
  static constexpr int kMaxInterimResponses = 16;
  // Bytes of stray responses discarded while a request waits for its own; more fail the request.
  static constexpr std::size_t kMaxStrayBytes = std::size_t{2} * 1024 * 1024;
  // Longer responses are handed over in pieces. Shorter ones are held until they are complete, so
  // that they can be fetched again when the connection fails.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{768} * 1024;
  // The same for successful responses while memory is short: hundreds of slow callers' responses
  // held 190 MB. Those calls are not fetched again when the connection fails.
  static constexpr std::size_t kMaxBufferedBytesIfShort = std::size_t{16} * 1024;
  // Larger empty input buffers are freed.
  static constexpr std::size_t kMaxKeptInputBytes = std::size_t{4} * 1024;

 private:
  bool ParseInput();
  // Bytes of the current response's body above which it is handed over in pieces.
  std::size_t MaxBufferedBytes();
  // Discards the `used` bytes of a stray response. Above kMaxStrayBytes, fails the request and
  // returns false.
  bool DiscardStrayResponse(std::size_t used);
  bool IsExpectedResponse();
  // Whether the request has the echo field and the current response is an error without it.
  bool IsUnidentifiedError();
  void Write(std::string bytes);
  void Complete();
  // Charges what this connection holds to the account of the process.
  void UpdateCharge();
  void Fail(HttpClientCallbacks::Failure failure);

  EventLoop* const loop_;
  const SocketAddress address_;
  std::unique_ptr<TcpStream> stream_;
  MessageParser parser_;
  std::string input_;
  std::string body_;
  std::string unsent_;
  Echo echo_;
  HttpClientCallbacks* callbacks_ = nullptr;
  // Whether the last request has no complete response.
  bool awaits_response_ = false;
  bool is_head_request_ = false;
  // Whether more of the request's body follows.
  bool is_sending_body_ = false;
  bool is_request_chunked_ = false;
  int interim_responses_ = 0;
  std::size_t stray_bytes_ = 0;
  std::int64_t charged_bytes_ = 0;
  bool is_connected_ = false;
  bool is_reusable_ = false;
  bool is_broken_ = false;
  // A stray response was discarded, so the next response may belong to another request too.
  bool may_be_desynchronized_ = false;
  // The connection has carried a response, which the server may send again.
  bool may_receive_copies_ = false;
  Instant idle_since_;
  Instant last_received_at_;
  Duration keep_alive_timeout_{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_CLIENT_STREAM_H_
