#ifndef PRIMROSEWEIR_LOOP_HTTP_SERVER_STREAM_H_
#define PRIMROSEWEIR_LOOP_HTTP_SERVER_STREAM_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "primroseweir/base/time.h"
#include "primroseweir/http/message_limits.h"
#include "primroseweir/http/message_parser.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/connection_registry.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/loop/stream_handler.h"

namespace primroseweir {

class HttpPort;
class PipelinedExchange;
class TcpStream;
struct CallerLimits;

// A caller's connection to an HttpPort, and the exchange of the request that it serves. Requests
// behind that one wait in a bounded buffer, except those that the sink serves ahead of their turn.
class HttpServerStream : public StreamHandler,
                         public ConnectionRegistry::Connection,
                         public HttpServerExchange {
 public:
  HttpServerStream(HttpPort* port, std::unique_ptr<TcpStream> stream, Instant now);
  ~HttpServerStream() override;

  // ---- exchange ----

  std::uint32_t caller_address() override;
  void Respond(ResponseHead head, const std::string& body) override;
  void BeginResponse(ResponseHead head) override;
  void WritePiece(const std::string& piece) override;
  void EndResponse() override;
  // Resets the connection.
  void Abort() override;
  std::size_t pending_bytes() const override;
  std::size_t unacked_bytes() const override;
  bool is_receiving_body() const override { return is_receiving_body_; }
  void PauseBody() override;
  void ResumeBody() override;
  void SetSinkBufferedBytes(std::size_t bytes) override;

  // ---- port ----

  // Rejects the request or closes the connection when a time limit has passed. Called by the port.
  void CheckTimeouts(Instant now);
  // Closes the connection unless a request or response is under way or the first request is
  // expected: a new connection has kFirstRequestTimeout for its first request.
  void CloseIfIdle(Instant now);
  // Whether a request or response is under way, or the first request is expected.
  bool IsBusy(Instant now) const;

  // Parses further input that waited for the next turn of the loop. Called by the port.
  void ContinueParsing();

  ConnectionLoad Load(Instant now) override;
  void Evict(ConnectionRegistry::Shortage shortage) override;
  void Continue() override;

  void OnData(const char* data, std::size_t size) override;
  void OnEnd(bool clean) override;
  void OnWriteDrained() override;

  // Maximum pause within a request body that is held here until it is complete, and maximum time
  // for the whole of such a request.
  static constexpr Duration kBodyIdleTimeout = std::chrono::seconds(10);
  static constexpr Duration kMaxBodyTime = std::chrono::minutes(1);
  // Maximum pause within a streamed body, which holds a slot of an upstream. The second
  // retransmission of a lost packet arrives within this time.
  static constexpr Duration kStreamedBodyIdleTimeout = std::chrono::seconds(2);
  // Further requests ahead on a connection wait for the next turn of the loop, so that others are
  // served in between.
  static constexpr int kMaxRequestsPerTurn = 16;
  // After this many bytes in one turn of the loop, a connection is read on in the next turn. libuv
  // reads up to 2 MB, whose chunks may have a byte each.
  static constexpr std::size_t kMaxBytesPerTurn = std::size_t{128} * 1024;
  // Requests that announce at most this size are accepted from a reserve when memory runs short.
  static constexpr std::size_t kMaxSmallBodyBytes = std::size_t{16} * 1024;
  // True cost of a connection without input: this object, its parser, its handle in libuv and the
  // entries in the port's and the registry's tables. Measured as 2.2 KB for each silent connection.
  static constexpr std::size_t kConnectionBytes = std::size_t{2560};
  // True cost of a call beside its head and body: RoutedCall with four timers, an attempt with two,
  // and the connection to the upstream.
  static constexpr std::size_t kCallBytes = std::size_t{6} * 1024;
  // Reading pauses when the input behind the current request exceeds this size: dozens of requests.
  // A read of the socket may bring kReadBufferBytes of TcpStream more.
  static constexpr std::size_t kMaxPipelinedBytes = std::size_t{16} * 1024;
  // The same for the rest of a body that waits for its upstream; with less, uploads wait for their
  // callers each time the upstream reads on.
  static constexpr std::size_t kMaxBodyInputBytes = std::size_t{64} * 1024;
  // Requests of one connection that are served ahead of their turn at a time. Bounds what one
  // caller can occupy; a browser opens about as many connections.
  static constexpr std::size_t kMaxRequestsAhead = 6;
  // Above this size of the responses that wait for their turn, the connection may be closed when
  // memory runs short. Ordinary responses to six requests have less.
  static constexpr std::size_t kMaxHeldAheadBytes = std::size_t{1024} * 1024;
  // Longest head of a request that is served ahead of its turn. Bounds the search for its end.
  static constexpr std::size_t kMaxHeadBytesAhead = std::size_t{8} * 1024;
  // The next pipelined request waits while more bytes of earlier responses are queued in this
  // process, so that a caller that does not read cannot fill its memory.
  static constexpr std::size_t kMaxPendingResponseBytes = std::size_t{256} * 1024;
  // A caller sends its first request with the last packet of its handshake or a round trip later.
  static constexpr Duration kFirstRequestTimeout = std::chrono::milliseconds(500);
  // Maximum time in which a caller acknowledges no byte of the rest of a response. The timeouts of
  // TcpStream usually end the connection earlier.
  static constexpr Duration kStalledWriteTimeout = std::chrono::minutes(1);
  // Maximum time for a caller to read the rest of a response, however slowly: the longest deadline
  // of a call.
  static constexpr Duration kMaxResponseWriteTime = std::chrono::hours(1);
  // After the caller has received a response that ends the connection, input is discarded until it
  // pauses for this long: closing with unread input would reset the connection.
  static constexpr Duration kLingerIdleTimeout = std::chrono::seconds(1);
  // Maximum time for discarding such input, which may never end.
  static constexpr Duration kMaxLingerTime = std::chrono::seconds(5);

 private:
  // Pace of a new connection, before the first check.
  static constexpr double kAssumedPace = 256 * 1024;

  enum class State { kIdle, kReading, kServing, kLingering };

  static MessageLimits ParserLimits(const CallerLimits& limits);
  // Parses the buffered input. May destroy this stream.
  void ParseInput();
  // Parses `data` up to the first byte that has to wait, and returns how many bytes were parsed.
  std::size_t Parse(const char* data, std::size_t size);
  // Appends to the input that has to wait; pauses reading when there is much of it.
  void KeepInput(const char* data, std::size_t size);
  // Stops reading until the next turn of the loop if `size` further bytes are too many for this
  // one.
  void YieldAfterMuchInput(std::size_t size);
  void DiscardInput();
  // Removes bytes from the front of the input.
  void ConsumeInput(std::size_t size);
  // Stops reading while the process holds more memory than its budget.
  void HoldBackIfOverMemoryLimit();
  bool has_input() const { return input_begin_ < input_.size(); }
  void ResumeReading();
  // Cuts off a response that the caller does not read.
  void AbortUnreadResponse();
  // Whether input may be parsed now.
  bool ShouldRead() const;
  // Reports to the port how many bytes this connection and the sink hold of its requests, and
  // charges what the connection costs to the process's account.
  void UpdateBufferedBytes();
  bool CheckRequestLimits();
  void DeliverRequest();
  void ForwardBodyPiece();
  // ---- requests ahead of their turn ----
  // Whether the next request in the input may be served while the current one is in progress.
  bool MayReadAhead() const;
  // Delivers the next request of the input if it is complete and may be served ahead. Returns
  // whether it did.
  bool DeliverAhead();
  // Delivers the next requests of the input as far as they may be served ahead. Returns whether it
  // delivered any.
  bool DeliverAllAhead();
  // Whether a request may be served ahead of its turn, or others ahead while it is in progress: it
  // has no body, and its response neither ends the connection nor depends on the method or version.
  bool IsPlainGet(const RequestHead& head) const;
  // Starts the turn of the next request that is served ahead.
  void StartNextTurn();
  // Tells the sink that the caller of the requests ahead of their turn has disconnected.
  void DropRequestsAhead();
  // Memory held by the requests ahead of their turn.
  std::size_t HeldAheadBytes() const;
  // The exchange under which the sink knows the request whose response is next.
  HttpServerExchange* current();

  void RejectRequest(int status);
  // Decides whether the response that begins now ends the connection.
  void DecideClose();
  void FinishResponse();
  // Whether the caller has not received the whole of the last response and is within the time
  // limits for that. Records its progress, so it must be called regularly.
  bool IsWriting(Instant now);
  void RemoveFromPort();
  Instant Now() const;

  HttpPort* const port_;
  std::unique_ptr<TcpStream> stream_;
  MessageParser parser_;
  // Input from `input_begin_` on waits to be parsed.
  std::string input_;
  std::size_t input_begin_ = 0;
  std::string body_;
  State state_ = State::kIdle;
  // Start of the current state or the last progress within it, for the limits on pauses.
  Instant state_since_;
  // Start of the current request while one is read, otherwise the time at which the last response
  // was queued; for the limits on the total time.
  Instant request_started_;
  // When a caller whose connection ends was last seen to receive the response.
  Instant lingering_since_;
  // Bytes that the caller had not acknowledged at the last check, and when they last changed.
  std::size_t last_unacked_bytes_ = 0;
  Instant write_progress_at_;
  std::size_t reported_bytes_ = 0;
  std::int64_t charged_bytes_ = 0;
  // Bytes received and responded on the connection; the part of them that the caller sent or
  // accepted up to the last check, when that was, and the pace since the check before.
  std::uint64_t received_bytes_ = 0;
  std::uint64_t written_bytes_ = 0;
  std::uint64_t last_progress_bytes_ = 0;
  Instant last_progress_at_;
  Instant last_check_at_;
  double bytes_per_second_ = kAssumedPace;
  std::uint32_t peer_address_ = 0;
  // Bytes of the current request that the sink holds, and bytes of its body forwarded to the sink.
  std::size_t sink_buffered_bytes_ = 0;
  std::size_t forwarded_bytes_ = 0;
  bool is_receiving_body_ = false;
  bool is_body_paused_ = false;
  bool has_served_request_ = false;
  bool is_head_checked_ = false;
  bool close_after_response_ = false;
  bool is_response_chunked_ = false;
  bool is_removal_pending_ = false;
  bool is_reading_paused_ = false;
  // Input waits for the next turn of the loop.
  bool is_yielding_ = false;
  // The turn in which input last arrived, and its bytes in that turn.
  std::uint64_t input_turn_ = 0;
  std::size_t turn_bytes_ = 0;
  // Reading has stopped until memory is available again.
  bool is_held_back_ = false;
  // Whether the next request in the input can only be served in its turn.
  bool is_next_blocked_ = false;
  // The exchange of the current request if it was served ahead, and those behind it in order.
  std::unique_ptr<PipelinedExchange> current_ahead_;
  std::deque<std::unique_ptr<PipelinedExchange>> ahead_;
  // ParseInput is running: a synchronous response must not start it again.
  bool is_parsing_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_SERVER_STREAM_H_
