#ifndef DEMO_DEMO_H_
#define DEMO_DEMO_H_

#include <atomic>
#include <future>
#include <iostream>
#include <string>

#include "caller/address_book.h"
#include "caller/caller.h"
#include "caller/load.h"
#include "support/site.h"

namespace primroseweir::demo {

// Runs the Donaueis desk as processes and prints one key=value line a step with what a caller saw.
class Demo {
 public:
  Demo();

  // Runs all steps. False when an answer was not whole and right, or came too late.
  bool Run();

 private:
  bool AskAddresses();
  bool ReadIceBoard();
  bool Book();
  // Starts the download in a thread of its own; the data centre that serves it.
  std::string StartDownload();
  bool TakeOut(const std::string& data_centre);
  bool BringBack(const std::string& data_centre);
  bool FinishDownload();
  bool FinishLoad();

  // Calls that reached upstreams of the data centre since the last mark.
  std::uint64_t WorkSinceMark(const std::string& data_centre) const;
  // Time after the mark at which the last of them arrived.
  std::int64_t LastWorkMilliseconds(const std::string& data_centre) const;
  void Mark(const std::string& data_centre);

  testing::Site site_;
  standins::AddressCache book_;
  standins::Caller caller_;
  std::atomic<bool> stop_{false};
  std::future<standins::CallReport> download_;
  std::future<standins::LoadResult> load_;
};

}  // namespace primroseweir::demo

#endif  // DEMO_DEMO_H_
