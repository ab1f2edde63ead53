#include "primroseweir/gateway/page_server.h"

#include <cstdlib>
#include <utility>

#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/http_server_stream.h"

namespace primroseweir {
namespace {

constexpr int kNotFound = 404;
constexpr int kHexadecimal = 16;

std::string Decode(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result +=
          static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHexadecimal));
      i += 2;
    } else {
      result += text[i] == '+' ? ' ' : text[i];
    }
  }
  return result;
}

}  // namespace

PageServer::PageServer(EventLoop* loop) : port_(loop, this, [] { return CallerLimits(); }) {}

void PageServer::Add(const std::string& path, PageFactory factory) {
  pages_[path] = std::move(factory);
}

void PageServer::OnRequest(HttpServerStream* stream, RequestHead* head, std::string /*body*/) {
  const auto split = head->target.find('?');
  const auto found = pages_.find(head->target.substr(0, split));
  Page page;
  if (found == pages_.end()) {
    page.status = kNotFound;
  } else {
    page = found->second(
        ParseQuery(split == std::string::npos ? std::string() : head->target.substr(split + 1)));
  }
  ResponseHead response;
  response.status = page.status;
  response.fields.Add("Content-Type", page.type);
  stream->Respond(std::move(response), page.body);
}

PageServer::Query PageServer::ParseQuery(const std::string& text) {
  Query query;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const auto end = std::min(text.find('&', begin), text.size());
    const auto pair = text.substr(begin, end - begin);
    const auto equals = pair.find('=');
    const auto value = equals == std::string::npos ? std::string() : pair.substr(equals + 1);
    query[Decode(pair.substr(0, equals))] = Decode(value);
    begin = end + 1;
  }
  return query;
}

}  // namespace primroseweir
