#include "primroseweir/filters/request_id_filter.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>

#include "primroseweir/base/random.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/http/request_head.h"

namespace primroseweir {
namespace {

constexpr std::size_t kMaxIdBytes = 128;

bool IsValidId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 127; });
}

std::uint64_t RandomNumber() {
  thread_local Random random(EntropySeed());
  return random.UniformBelow(UINT64_MAX);
}

}  // namespace

CallOutcome RequestIdFilter::Handle(Call* call, const Next& next) {
  auto id = call->request->fields.Get("Primroseweir-Request-Id");
  if (!IsValidId(id)) {
    id = instance_ + "-" + std::to_string(RandomNumber());
  }
  call->id = RequestId(id);
  return next(call);
}

}  // namespace primroseweir
