#include "primroseweir/http/client_connection.h"

#include <utility>

#include "primroseweir/http/detail/message_stream.h"
#include "primroseweir/http/message_writer.h"

namespace primroseweir {

ClientConnection::ClientConnection(std::unique_ptr<SocketStream> socket,
                                   const SocketAddress& address, const MessageLimits& limits)
    : address_(address),
      stream_(std::make_unique<detail::MessageStream>(std::move(socket),
                                                      MessageParser::Kind::kResponse, limits)) {}

ClientConnection::~ClientConnection() = default;

absl::StatusOr<std::unique_ptr<ClientConnection>> ClientConnection::Open(
    const SocketAddress& address, Instant deadline, const MessageLimits& limits) {
  auto socket = SocketStream::Connect(address, deadline);
  if (!socket.ok()) {
    return socket.status();
  }
  return std::make_unique<ClientConnection>(std::move(*socket), address, limits);
}

// ---- request ----

absl::Status ClientConnection::Send(const RequestHead& head, std::string_view body,
                                    Instant deadline) {
  Begin(head);
  return End(body, deadline);
}

void ClientConnection::Begin(const RequestHead& head) {
  is_head_request_ = head.method == "HEAD";
  is_request_sent_ = false;
  stream_->StartNextMessage(is_head_request_);
  stream_->Begin(SerializeHead(head), head.body);
}

absl::Status ClientConnection::WriteBody(std::string_view piece, Instant deadline) {
  return stream_->Write(piece, deadline);
}

absl::Status ClientConnection::End(std::string_view last_piece, Instant deadline) {
  auto status = stream_->End(last_piece, deadline);
  is_request_sent_ = status.ok();
  return status;
}

// ---- response ----

absl::StatusOr<ResponseHead*> ClientConnection::TryReadHead() {
  auto* parser = stream_->parser();
  while (true) {
    while (!parser->is_head_complete()) {
      auto progressed = stream_->FeedAvailableInput();
      if (!progressed.ok()) {
        return progressed.status();
      }
      if (!*progressed) {
        return nullptr;
      }
    }
    if (parser->response()->status >= 200) {
      return parser->response();
    }
    stream_->StartNextMessage(is_head_request_);
  }
}

absl::StatusOr<ResponseHead*> ClientConnection::ReadHead(Instant deadline) {
  while (true) {
    auto head = TryReadHead();
    if (!head.ok() || *head != nullptr) {
      return head;
    }
    auto status = stream_->socket()->WaitReadable(deadline);
    if (!status.ok()) {
      return status;
    }
  }
}

absl::StatusOr<std::string_view> ClientConnection::ReadBody(Instant deadline) {
  return stream_->ReadBody(deadline);
}

absl::StatusOr<std::optional<std::string_view>> ClientConnection::TryReadBody() {
  return stream_->TryReadBody();
}

bool ClientConnection::IsResponseComplete() const {
  return stream_->parser()->is_message_complete();
}

bool ClientConnection::IsReusable() const {
  return is_request_sent_ && stream_->parser()->is_message_complete() &&
         stream_->parser()->response()->keep_alive && !stream_->has_buffered_input();
}

bool ClientConnection::IsOpen() const { return !stream_->socket()->IsReadable(); }

SocketStream* ClientConnection::socket() const { return stream_->socket(); }

}  // namespace primroseweir
