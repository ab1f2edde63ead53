#ifndef PRIMROSEWEIR_BASE_RCU_H_
#define PRIMROSEWEIR_BASE_RCU_H_

namespace primroseweir {

// Read-side critical section of liburcu. Nests; never block inside one.
class RcuReadLock {
 public:
  RcuReadLock();
  ~RcuReadLock();
  RcuReadLock(const RcuReadLock&) = delete;
  RcuReadLock& operator=(const RcuReadLock&) = delete;
};

// Waits until every read-side critical section that was open at the call has ended.
void RcuSynchronize();

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_RCU_H_
