#include "primroseweir/http/message_writer.h"

#include <http_parser.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iterator>
#include <set>
#include <string_view>

namespace primroseweir {
namespace {

constexpr std::string_view kHopByHopFields[] = {"Connection",
                                                "Keep-Alive",
                                                "TE",
                                                "Trailer",
                                                "Transfer-Encoding",
                                                "Upgrade",
                                                "Expect",
                                                "Proxy-Connection",
                                                "Proxy-Authenticate",
                                                "Proxy-Authorization"};

bool IsFramingField(std::string_view name) {
  return EqualsIgnoreCase(name, "Content-Length") || EqualsIgnoreCase(name, "Transfer-Encoding") ||
         EqualsIgnoreCase(name, "Connection");
}

void AppendField(std::string* out, std::string_view name, std::string_view value) {
  out->append(name).append(": ").append(value).append("\r\n");
}

void AppendFields(std::string* out, const HeaderFields& fields) {
  for (const auto& [name, value] : fields.all()) {
    if (!IsFramingField(name)) {
      AppendField(out, name, value);
    }
  }
}

void AppendFraming(std::string* out, const BodyFraming& body) {
  if (body.kind == BodyKind::kLength) {
    AppendField(out, "Content-Length", std::to_string(body.length));
  } else if (body.kind == BodyKind::kChunked) {
    AppendField(out, "Transfer-Encoding", "chunked");
  }
}

std::string ToLower(std::string_view text) {
  std::string result(text);
  for (char& c : result) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return result;
}

// Returns the tokens of all Connection fields in lower case.
std::set<std::string, std::less<>> ConnectionTokens(const HeaderFields& fields) {
  std::set<std::string, std::less<>> tokens;
  for (const auto& [name, value] : fields.all()) {
    if (!EqualsIgnoreCase(name, "Connection")) {
      continue;
    }
    std::string token;
    for (std::size_t i = 0; i <= value.size(); ++i) {
      const char c = i == value.size() ? ',' : value[i];
      if (c == ',') {
        tokens.insert(ToLower(token));
        token.clear();
      } else if (c != ' ' && c != '\t') {
        token += c;
      }
    }
  }
  return tokens;
}

bool IsHopByHopField(std::string_view name) {
  return std::any_of(std::begin(kHopByHopFields), std::end(kHopByHopFields),
                     [name](std::string_view other) { return EqualsIgnoreCase(name, other); });
}

}  // namespace

void RemoveHopByHopFields(HeaderFields* fields) {
  // One pass: a head may name thousands of fields in Connection and contain as many.
  const auto tokens = ConnectionTokens(*fields);
  fields->RemoveIf([&tokens](std::string_view name) {
    return IsHopByHopField(name) ||
           (!tokens.empty() && !IsFramingField(name) && !EqualsIgnoreCase(name, "Host") &&
            tokens.count(ToLower(name)) > 0);
  });
}

std::string SerializeHead(const RequestHead& head) {
  std::string out;
  out.reserve(512);
  out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  AppendFields(&out, head.fields);
  AppendFraming(&out, head.body);
  if (!head.keep_alive) {
    AppendField(&out, "Connection", "close");
  }
  out.append("\r\n");
  return out;
}

std::string SerializeHead(const ResponseHead& head, bool is_response_to_head) {
  std::string out;
  out.reserve(512);
  out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
  out.append(head.reason.empty() ? ReasonPhraseOf(head.status) : head.reason).append("\r\n");
  AppendFields(&out, head.fields);
  const auto length = head.fields.Find("Content-Length");
  if (head.body.kind != BodyKind::kNone) {
    AppendFraming(&out, head.body);
  } else if ((is_response_to_head || head.status == 304) && length.has_value()) {
    AppendField(&out, "Content-Length", *length);
  } else if (!is_response_to_head && head.status >= 200 && head.status != 204 &&
             head.status != 304) {
    AppendField(&out, "Content-Length", "0");
  }
  if (!head.keep_alive) {
    AppendField(&out, "Connection", "close");
  }
  out.append("\r\n");
  return out;
}

std::string SerializeChunk(const std::string& piece) {
  char size[24];
  const int length = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  std::string chunk(size, static_cast<std::size_t>(length));
  return chunk.append(piece).append("\r\n");
}

const char* ReasonPhraseOf(int status) {
  const char* text = http_status_str(static_cast<http_status>(status));
  return std::string_view(text) == "<unknown>" ? "Unknown" : text;
}

}  // namespace primroseweir
