#ifndef PRIMROSEWEIR_FILTERS_FILTER_CHAIN_H_
#define PRIMROSEWEIR_FILTERS_FILTER_CHAIN_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "primroseweir/filters/call_outcome.h"
#include "primroseweir/filters/filter.h"
#include "primroseweir/http/request_handler.h"

namespace primroseweir {

class EventLog;

// Runs each request of the caller port through the filters and sends the local replies.
class FilterChain : public RequestHandler {
 public:
  FilterChain(std::vector<std::unique_ptr<Filter>> filters, EventLog* events);
  ~FilterChain() override;

  void Handle(ServerConnection* connection) override;
  void HandleFault(ServerConnection* connection, int http_status,
                   const absl::Status& fault) override;
  void HandleOverflow(ServerConnection* connection) override;

 private:
  CallOutcome RunFrom(std::size_t position, Call* call) const;

  const std::vector<std::unique_ptr<Filter>> filters_;
  EventLog* const events_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_FILTER_CHAIN_H_
