// What the owner role asks about ownership, lease and configuration before it starts work.

#ifndef CAMPHORCLEAT_TRAFFIC_OWNERSHIPVIEW_H_
#define CAMPHORCLEAT_TRAFFIC_OWNERSHIPVIEW_H_

#include <optional>
#include <string>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::traffic {

/// Called on the thread of the owner role. Each call gives the state at that moment.
class OwnershipView
{
public:
  OwnershipView() = default;
  OwnershipView(const OwnershipView&) = delete;
  OwnershipView& operator=(const OwnershipView&) = delete;
  virtual ~OwnershipView() = default;

  /// The fencing token of a partition, or nothing if this daemon doesn't own it or hands it over.
  virtual std::optional<FencingToken> tokenOf(const std::string& aService,
                                              PartitionId aPartition) const = 0;

  /// The end of this daemon's lease on its own clock.
  virtual TimePoint leaseValidUntil() const = 0;

  /// Whether the configuration was confirmed recently enough to take new work.
  virtual bool isConfigFresh(TimePoint aNow) const = 0;

  /// Whether the target refuses work without a live grant.
  virtual bool checksGrants() const = 0;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_OWNERSHIPVIEW_H_
