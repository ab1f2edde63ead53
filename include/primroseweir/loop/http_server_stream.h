#ifndef PRIMROSEWEIR_LOOP_HTTP_SERVER_STREAM_H_
#define PRIMROSEWEIR_LOOP_HTTP_SERVER_STREAM_H_

#include <cstddef>
#include <memory>
#include <string>

#include "primroseweir/base/time.h"
#include "primroseweir/http/message_parser.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/stream_handler.h"

namespace primroseweir {

class HttpPort;
class TcpStream;

// A caller's connection to an HttpPort: one request at a time, then its answer. Requests that are
// sent ahead wait in a bounded buffer.
class HttpServerStream : public StreamHandler {
 public:
  HttpServerStream(HttpPort* port, std::unique_ptr<TcpStream> stream, Instant now);
  ~HttpServerStream() override;

  // ---- answer ----

  // Sends a whole answer.
  void Respond(ResponseHead head, const std::string& body);
  // Sends an answer in pieces: BeginResponse, any number of WritePiece, EndResponse. An unknown
  // length is sent in chunks, or ends with the connection for HTTP/1.0 callers.
  void BeginResponse(ResponseHead head);
  void WritePiece(const std::string& piece);
  void EndResponse();
  // Cuts a begun answer, so that the caller can't take it for a whole one.
  void Abort();
  // Bytes that the caller has not taken yet.
  std::size_t pending_bytes() const;

  // ---- streamed body ----

  // Whether more of the present request's body follows. An answer meanwhile ends the connection
  // after it, since the rest of the body would stand before the next request.
  bool receiving() const { return receiving_; }
  // Holds back the rest of the body.
  void PauseBody();
  void ResumeBody();
  // Bytes of the body that the sink holds; they count against the port's memory.
  void SetSinkBufferedBytes(std::size_t bytes);

  // ---- port ----

  // Closes the connection when it broke a time limit; called by the port.
  void CheckTimeouts(Instant now);
  // Closes the connection if nothing of a request has arrived on it and none is to be expected: a
  // new connection gets kFirstRequestTimeout for its first one.
  void CloseIfIdle(Instant now);
  // Whether a request or an answer is under way, or the first request is to be expected.
  bool busy(Instant now) const;

  void OnData(const char* data, std::size_t size) override;
  void OnEnd(bool clean) override;
  void OnDrained() override;

  // Longest pause in the middle of a request's body, and longest time for all of it when it is held
  // here.
  static constexpr Duration kBodyIdleTimeout = std::chrono::seconds(10);
  static constexpr Duration kMaxBodyTime = std::chrono::minutes(1);
  // Longest pause of a streamed body, which holds a slot of an upstream: the second repetition of a
  // lost packet arrives within it.
  static constexpr Duration kStreamedBodyIdleTimeout = std::chrono::seconds(2);
  // Bodies up to this size are handed over as a whole: a caller that stalls in them costs no
  // upstream anything.
  static constexpr std::size_t kMinStreamedBodyBytes = std::size_t{64} * 1024;
  // Requests sent ahead of their turn are read up to this size.
  static constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;
  // A caller sends its request together with the end of its handshake or a round trip later.
  static constexpr Duration kFirstRequestTimeout = std::chrono::milliseconds(500);
  // Longest time that a caller takes for the rest of an answer; one that takes nothing meanwhile is
  // cut by the limits of TcpStream.
  static constexpr Duration kMaxResponseWriteTime = std::chrono::minutes(1);
  // After an answer that ends the connection, input is discarded until it has paused for this long:
  // closing with unread input would reset the connection and could destroy the answer on its way.
  static constexpr Duration kLinger = std::chrono::seconds(1);
  // Input without end is discarded for this long.
  static constexpr Duration kMaxLinger = std::chrono::seconds(5);

 private:
  enum class State { kIdle, kReading, kServing, kLingering };

  void Feed();
  // Whether input is to be parsed now.
  bool ShouldRead() const;
  // Tells the port how much this connection buffers.
  void UpdateBufferedBytes();
  bool CheckHead();
  void Deliver();
  void ForwardPiece();
  void RejectRequest(int status);
  void Finish();
  void Remove();
  Instant Now() const;

  HttpPort* const port_;
  std::unique_ptr<TcpStream> stream_;
  MessageParser parser_;
  std::string input_;
  std::string body_;
  State state_ = State::kIdle;
  // Start of the present state, or the last piece of a body, for the time limits.
  Instant state_since_;
  // Start of the present request or of lingering, for the limits on the whole of it.
  Instant request_started_;
  std::size_t reported_bytes_ = 0;
  // Bytes of the present request that the sink holds, and bytes of its body that were passed on.
  std::size_t sink_buffered_ = 0;
  std::size_t forwarded_bytes_ = 0;
  bool receiving_ = false;
  bool body_paused_ = false;
  bool served_ = false;
  bool head_checked_ = false;
  bool close_after_ = false;
  bool chunked_ = false;
  bool ended_ = false;
  bool paused_ = false;
  // Feed is running: a synchronous answer must not run it again.
  bool feeding_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_SERVER_STREAM_H_
