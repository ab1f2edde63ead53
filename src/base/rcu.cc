#include "primroseweir/base/rcu.h"

#include <urcu-bp.h>

namespace primroseweir {

RcuReadLock::RcuReadLock() { urcu_bp_read_lock(); }

RcuReadLock::~RcuReadLock() { urcu_bp_read_unlock(); }

void RcuSynchronize() { urcu_bp_synchronize_rcu(); }

}  // namespace primroseweir
