// Interface through which the owner role reads ownership, lease and configuration state before it
// starts a request.

#ifndef CAMPHORCLEAT_TRAFFIC_OWNERSHIPVIEW_H_
#define CAMPHORCLEAT_TRAFFIC_OWNERSHIPVIEW_H_

#include <optional>
#include <string>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::traffic {

/// Called on the thread of the owner role. Each call returns the current state.
class OwnershipView
{
public:
  OwnershipView() = default;
  OwnershipView(const OwnershipView&) = delete;
  OwnershipView& operator=(const OwnershipView&) = delete;
  virtual ~OwnershipView() = default;

  /// Returns the fencing token of a partition, or nothing if this daemon does not own the partition
  /// or is handing it over.
  virtual std::optional<FencingToken> tokenOf(const std::string& aService,
                                              PartitionId aPartition) const = 0;

  /// Returns when this daemon's lease expires, on its own clock.
  virtual TimePoint leaseValidUntil() const = 0;

  /// Returns whether the configuration was confirmed recently enough to accept new work.
  virtual bool isConfigFresh(TimePoint aNow) const = 0;

  /// Returns whether the target may not be sent requests any more because operators have taken its
  /// zone out of service. While its keys are being handed over, it may for a limited time.
  virtual bool isZoneOut(TimePoint aNow) const = 0;

  /// Returns whether the target itself refuses work without a valid grant.
  virtual bool checksGrants() const = 0;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_OWNERSHIPVIEW_H_
