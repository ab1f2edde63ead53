#ifndef PRIMROSEWEIR_LOOP_PIPELINED_EXCHANGE_H_
#define PRIMROSEWEIR_LOOP_PIPELINED_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "primroseweir/http/request_head.h"
#include "primroseweir/loop/http_server_exchange.h"

namespace primroseweir {

// A request without a body that is served while an earlier one on its connection is still in
// progress. Holds the response until its turn.
//
// Load pattern: callers that send several requests without waiting for responses. Served one after
// the other, the second one is late by the whole latency of the first.
class PipelinedExchange : public HttpServerExchange {
 public:
  // `connection` sends the response once the turn has come. `on_buffered` is called with each
  // change of the number of bytes held. Both must outlive this object.
  PipelinedExchange(HttpServerExchange* connection, RequestHead head,
                    std::function<void(std::int64_t change)> on_buffered);
  ~PipelinedExchange() override;

  RequestHead* head() { return &head_; }
  // Memory held by the request's head, of which the sink has a copy, and by its response.
  std::size_t held_bytes() const {
    return 2 * head_.fields.allocated_bytes() + response_.fields.allocated_bytes() +
           body_.capacity();
  }

  // Sends what is held of the response to the connection, and everything that follows directly.
  // Called when the response before this one is complete. A complete response ends the turn, which
  // may destroy this object.
  void StartTurn();

  std::uint32_t caller_address() override { return connection_->caller_address(); }
  void Respond(ResponseHead head, const std::string& body) override;
  void BeginResponse(ResponseHead head) override;
  void WritePiece(const std::string& piece) override;
  void EndResponse() override;
  // Before its turn no byte has been sent, so that the caller gets 502 and the requests behind this
  // one keep their connection.
  void Abort() override;
  std::size_t pending_bytes() const override;
  std::size_t unacked_bytes() const override;
  bool has_turn() const override { return has_turn_; }

  bool is_receiving_body() const override { return false; }
  void PauseBody() override {}
  void ResumeBody() override {}
  void SetSinkBufferedBytes(std::size_t /*bytes*/) override {}

 private:
  enum class Stage { kNone, kBegun, kStreamed, kWhole };

  void SetBuffered(std::string bytes);

  HttpServerExchange* const connection_;
  RequestHead head_;
  const std::function<void(std::int64_t change)> on_buffered_;
  bool has_turn_ = false;
  // How much of the response is held.
  Stage stage_ = Stage::kNone;
  ResponseHead response_;
  std::string body_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_PIPELINED_EXCHANGE_H_
