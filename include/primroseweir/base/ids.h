#ifndef PRIMROSEWEIR_BASE_IDS_H_
#define PRIMROSEWEIR_BASE_IDS_H_

#include "primroseweir/base/strong_id.h"
#include "primroseweir/base/strong_number.h"

namespace primroseweir {

// Entry instance, from its settings.
using InstanceId = StrongId<struct InstanceIdTag>;
// Upstream, from the platform's list.
using UpstreamId = StrongId<struct UpstreamIdTag>;
// Service, from the operators' text.
using ServiceName = StrongId<struct ServiceNameTag>;
// Data centre, from the settings and the platform's list.
using DataCentre = StrongId<struct DataCentreTag>;
// One caller's call, as it appears in logs and header fields.
using RequestId = StrongId<struct RequestIdTag>;

// Revision of the configuration service. One counter covers all keys; it only grows.
using Revision = StrongNumber<struct RevisionTag>;
// One run of an entry instance: microseconds since 1970 at its start, with random low bits.
using Incarnation = StrongNumber<struct IncarnationTag>;
// Number of the warm-up of an upstream.
using Epoch = StrongNumber<struct EpochTag>;
// Place of an entry instance in the fleet's fixed shares, from 0.
using Seat = StrongNumber<struct SeatTag>;

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_IDS_H_
