// The owner's view of the grants and the lease of this daemon.

#ifndef CAMPHORCLEAT_DAEMON_OWNERVIEW_H_
#define CAMPHORCLEAT_DAEMON_OWNERVIEW_H_

#include <algorithm>
#include <map>
#include <optional>

#include "daemon/SharedView.h"
#include "fleet/LeaseSettings.h"
#include "fleet/TargetGrants.h"
#include "traffic/OwnershipView.h"

namespace camphorcleat::daemon {

/// Time for which the target of a zone that operators take out is still sent requests for keys that
/// are being handed over. It is counted from the view that shows the order; R4 allows 5 s from the
/// acknowledgement.
constexpr Millis kMaxZoneDrain{ 4000 };

/// Combines the published state with the grants sent to the target. Owner thread only.
class OwnerView : public traffic::OwnershipView
{
public:
  /// aShared must outlive the view.
  OwnerView(NodeId aSelf, fleet::LeaseSettings aLease, const SharedView& aShared)
    : mSelf(aSelf)
    , mLease(aLease)
    , mShared(aShared)
    , mState(aShared.state())
  {
    updateZone(Clock::now());
  }

  /// Loads the latest published state.
  void refresh()
  {
    mState = mShared.state();
    updateZone(Clock::now());
  }

  const ViewState& state() const { return *mState; }

  /// Returns the grant if it belongs to this node's incarnation, even during its handover;
  /// otherwise nullptr.
  const wire::PartitionGrant* ownGrant(const std::string& aService, PartitionId aPartition) const
  {
    const wire::PartitionGrant* grant = mState->model->grant(aService, aPartition);
    const bool isOwn =
      grant != nullptr && grant->owner == mSelf && grant->incarnation == mState->incarnation;
    return isOwn ? grant : nullptr;
  }

  std::optional<FencingToken> tokenOf(const std::string& aService,
                                      PartitionId aPartition) const override
  {
    const wire::PartitionGrant* grant = ownGrant(aService, aPartition);
    if (grant == nullptr) {
      return std::nullopt;
    }
    // A target that gets its grants by heartbeats serves a moving partition until a response to a
    // heartbeat withdraws the grant.
    const bool isServed = mGrants != nullptr && aService != fleet::kAccountService
                            ? mGrants->isGranted(Clock::now(), aPartition, grant->token)
                            : grant->movingTo == kNoNode;
    return isServed ? std::optional<FencingToken>(grant->token) : std::nullopt;
  }

  /// Sets the record of the grants that are sent to the target in responses to its heartbeats. From
  /// then on, tokenOf() returns a token only if the grant was sent to the target and has not
  /// expired there; this doesn't apply to kAccountService. aGrants must outlive the view.
  void setGrants(const fleet::TargetGrants& aGrants) { mGrants = &aGrants; }

  /// Returns this node's grants for the partitions of a service, including moving ones.
  std::map<PartitionId, wire::PartitionGrant> ownGrants(const std::string& aService) const
  {
    std::map<PartitionId, wire::PartitionGrant> out;
    const std::size_t n = std::min<std::size_t>(mState->model->grants(aService).size(),
                                                mState->model->partitionCount());
    for (PartitionId i = 0; i < n; ++i) {
      if (const auto* grant = ownGrant(aService, i)) {
        out.emplace(i, *grant);
      }
    }
    return out;
  }

  TimePoint leaseValidUntil() const override { return mShared.leaseValidUntil(); }

  bool isConfigFresh(TimePoint aNow) const override
  {
    return aNow - mShared.confirmedAt() <= mLease.confirmLimit;
  }

  bool isZoneOut(TimePoint aNow) const override
  {
    return mZoneOutSince && (mIsServiceOut || aNow >= *mZoneOutSince + kMaxZoneDrain);
  }

  bool checksGrants() const override
  {
    if (mGrants != nullptr) {
      return true;
    }
    const wire::Node* node = mState->model->node(mSelf);
    return node != nullptr && node->target.checksGrants;
  }

private:
  // If the first view says that the zone is out, it is unknown for how long it has been.
  void updateZone(TimePoint aNow)
  {
    const fleet::FleetModel& model = *mState->model;
    const wire::Node* self = model.node(mSelf);
    const bool isOut = self != nullptr && self->hasTarget && model.isZoneOut(self->zone);
    if (!isOut) {
      mZoneOutSince.reset();
    } else if (!mZoneOutSince) {
      mZoneOutSince = mHasSeenZone ? aNow : TimePoint();
    }
    mIsServiceOut = isOut && model.isOutOfService(self->target.service);
    mHasSeenZone = mHasSeenZone || self != nullptr;
  }

  NodeId mSelf;
  fleet::LeaseSettings mLease;
  const SharedView& mShared;
  const fleet::TargetGrants* mGrants = nullptr;
  std::shared_ptr<const ViewState> mState;
  bool mHasSeenZone = false;              // Some view contained this node.
  std::optional<TimePoint> mZoneOutSince; // When a view first said that its zone is out.
  bool mIsServiceOut = false;             // So are the zones of all usable targets of its service.
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_OWNERVIEW_H_
