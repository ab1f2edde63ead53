#include "support/site_plan.h"

namespace primroseweir::testing {

SitePlan DonaueisPlan(const std::string& name) {
  ServicePlan reads;
  reads.name = "ice-board";
  reads.prefix = "ib";
  reads.upstreams = 6;
  ServicePlan bookings;
  bookings.name = "booking-ledger";
  bookings.prefix = "bl";
  bookings.repeatable = false;
  bookings.depends_on = {"ice-board"};
  ServicePlan downloads;
  downloads.name = "chart-distribution";
  downloads.prefix = "cd";
  SitePlan plan;
  plan.name = name;
  plan.services = {reads, bookings, downloads};
  return plan;
}

}  // namespace primroseweir::testing
