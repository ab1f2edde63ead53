#ifndef PRIMROSEWEIR_BASE_IDS_H_
#define PRIMROSEWEIR_BASE_IDS_H_

#include "primroseweir/base/strong_id.h"
#include "primroseweir/base/strong_number.h"

namespace primroseweir {

// Id of an entry instance, from its settings.
using InstanceId = StrongId<struct InstanceIdTag>;
// Id of an upstream, from the platform's list.
using UpstreamId = StrongId<struct UpstreamIdTag>;
// Name of a service, from the configuration text of the operators.
using ServiceName = StrongId<struct ServiceNameTag>;
// Name of a customer, from the configuration.
using CustomerName = StrongId<struct CustomerNameTag>;
// Name of a data centre, from the settings and the platform's list.
using DataCentre = StrongId<struct DataCentreTag>;
// Id of a call, as in logs and header fields.
using RequestId = StrongId<struct RequestIdTag>;

// Revision of the configuration service. One counter covers all keys and only increases.
using Revision = StrongNumber<struct RevisionTag>;
// Identifies one run of an entry instance: microseconds since 1970 at its start, with random low
// bits.
using Incarnation = StrongNumber<struct IncarnationTag>;
// Number of a warm-up of an upstream.
using Epoch = StrongNumber<struct EpochTag>;
// Index of an entry instance among the fixed shares of the fleet, from 0.
using Seat = StrongNumber<struct SeatTag>;

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_IDS_H_
