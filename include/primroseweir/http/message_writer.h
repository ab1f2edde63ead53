#ifndef PRIMROSEWEIR_HTTP_MESSAGE_WRITER_H_
#define PRIMROSEWEIR_HTTP_MESSAGE_WRITER_H_

#include <string>

#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"

namespace primroseweir {

// Removes the hop-by-hop fields: Connection and the fields that it names (except Content-Length and
// Host), Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade, Expect, Proxy-Connection,
// Proxy-Authenticate and Proxy-Authorization.
void RemoveHopByHopFields(HeaderFields* fields);

// Serializes the head of a request. Content-Length, Transfer-Encoding and Connection are derived
// from `head.body` and `head.keep_alive`; those in `head.fields` are ignored.
std::string SerializeHead(const RequestHead& head);

// Serializes the head of a response in the same way. Without a body, a response to a HEAD request
// (`is_response_to_head`) or a 304 keeps the Content-Length of `head.fields`.
std::string SerializeHead(const ResponseHead& head, bool is_response_to_head);

// Serializes one chunk of a chunked body. `piece` must not be empty, since an empty chunk ends the
// body.
std::string SerializeChunk(const std::string& piece);
// The last chunk, which ends a chunked body, with an empty trailer.
constexpr char kLastChunk[] = "0\r\n\r\n";

// Returns the standard reason phrase of `status`, or "Unknown".
const char* ReasonPhraseOf(int status);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_MESSAGE_WRITER_H_
