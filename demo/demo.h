#ifndef DEMO_DEMO_H_
#define DEMO_DEMO_H_

#include <atomic>
#include <future>
#include <iostream>
#include <string>

#include "caller/address_cache.h"
#include "caller/caller.h"
#include "caller/load.h"
#include "support/site.h"

namespace primroseweir::demo {

// Runs the services of the Donaueis desk as processes and prints one line of key=value pairs per
// step, with what a caller observed.
class Demo {
 public:
  Demo();

  // Runs all steps. Returns false when a response was incomplete, incorrect or late.
  bool Run();

 private:
  bool RequestAddresses();
  bool ReadIceBoard();
  bool Book();
  // Starts the download in a separate thread, then the background load. Returns the data centre
  // that serves the download; empty if no upstream started it in time.
  std::string StartDownload();
  bool DeclareDataCentreOut(const std::string& data_centre);
  bool ReturnDataCentre(const std::string& data_centre);
  bool FinishDownload();
  bool FinishLoad();

  // Returns the number of calls that reached upstreams of the data centre since MarkUpstreams.
  std::uint64_t CallsSinceMark(const std::string& data_centre) const;
  // Returns the time from MarkUpstreams to the arrival of the last of these calls; 0 if there was
  // none.
  std::int64_t LastCallMilliseconds(const std::string& data_centre) const;
  void MarkUpstreams(const std::string& data_centre);

  testing::Site site_;
  standins::AddressCache address_cache_;
  standins::Caller caller_;
  std::atomic<bool> stop_load_{false};
  std::future<standins::CallReport> download_report_;
  std::future<standins::LoadResult> load_result_;
};

}  // namespace primroseweir::demo

#endif  // DEMO_DEMO_H_
