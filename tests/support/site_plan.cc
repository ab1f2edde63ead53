#include "support/site_plan.h"

namespace primroseweir::testing {

SitePlan DonaueisPlan(const std::string& name) {
  ServicePlan reads;
  reads.name = "ice-board";
  reads.prefix = "ib";
  reads.upstreams = 20;
  ServicePlan bookings;
  bookings.name = "booking-ledger";
  bookings.prefix = "bl";
  bookings.upstreams = 10;
  bookings.idempotent = false;
  bookings.depends_on = {"ice-board"};
  ServicePlan downloads;
  downloads.name = "chart-distribution";
  downloads.prefix = "cd";
  downloads.upstreams = 5;
  SitePlan plan;
  plan.name = name;
  plan.services = {reads, bookings, downloads};
  return plan;
}

}  // namespace primroseweir::testing
