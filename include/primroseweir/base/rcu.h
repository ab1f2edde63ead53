#ifndef PRIMROSEWEIR_BASE_RCU_H_
#define PRIMROSEWEIR_BASE_RCU_H_

namespace primroseweir {

// RAII guard of a liburcu read-side critical section. Guards may nest. Do not block while holding
// one, since RcuSynchronize waits for it.
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
