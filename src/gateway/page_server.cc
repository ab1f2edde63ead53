#include "primroseweir/gateway/page_server.h"

#include <cstdlib>
#include <utility>

#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/http_server_exchange.h"

namespace primroseweir {
namespace {

constexpr int kNotFound = 404;
constexpr int kHexBase = 16;

std::string DecodeUrlComponent(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHexBase));
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

void PageServer::OnRequest(HttpServerExchange* stream, RequestHead* head, std::string /*body*/) {
  const auto query_mark = head->target.find('?');
  const auto page_entry = pages_.find(head->target.substr(0, query_mark));
  Page page;
  if (page_entry == pages_.end()) {
    page.status = kNotFound;
  } else {
    page = page_entry->second(ParseQuery(
        query_mark == std::string::npos ? std::string() : head->target.substr(query_mark + 1)));
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
    const auto parameter = text.substr(begin, end - begin);
    const auto equals = parameter.find('=');
    const auto value = equals == std::string::npos ? std::string() : parameter.substr(equals + 1);
    query[DecodeUrlComponent(parameter.substr(0, equals))] = DecodeUrlComponent(value);
    begin = end + 1;
  }
  return query;
}

}  // namespace primroseweir
