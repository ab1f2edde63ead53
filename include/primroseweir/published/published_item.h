#ifndef PRIMROSEWEIR_PUBLISHED_PUBLISHED_ITEM_H_
#define PRIMROSEWEIR_PUBLISHED_PUBLISHED_ITEM_H_

#include <string>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// One value published by operators or upstreams, as stored.
struct PublishedItem {
  std::string key;
  std::string value;
  // Revision of the last change.
  Revision revision;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PUBLISHED_PUBLISHED_ITEM_H_
