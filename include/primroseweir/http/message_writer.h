#ifndef PRIMROSEWEIR_HTTP_MESSAGE_WRITER_H_
#define PRIMROSEWEIR_HTTP_MESSAGE_WRITER_H_

#include <string>

#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"

namespace primroseweir {

// Removes the fields that concern one connection only: Connection and what it names, Keep-Alive,
// TE, Trailer, Transfer-Encoding, Upgrade and the Proxy fields.
void RemoveConnectionFields(HeaderFields* fields);

// The head as bytes. Content-Length, Transfer-Encoding and Connection come from `body` and
// `keep_alive`, whatever `fields` says.
std::string SerializeHead(const RequestHead& head);

// As above. `bodiless` says that the answer belongs to a HEAD request; its Content-Length and that
// of a 304 then stay as they are in `fields`.
std::string SerializeHead(const ResponseHead& head, bool bodiless);

// One chunk of a body in chunks; `piece` must not be empty.
std::string SerializeChunk(const std::string& piece);
// What ends a body in chunks.
constexpr char kLastChunk[] = "0\r\n\r\n";

// The usual reason phrase of a status.
const char* ReasonOf(int status);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_MESSAGE_WRITER_H_
