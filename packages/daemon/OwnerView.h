// The owner's view of what this daemon may serve.

#ifndef CAMPHORCLEAT_DAEMON_OWNERVIEW_H_
#define CAMPHORCLEAT_DAEMON_OWNERVIEW_H_

#include "daemon/SharedView.h"
#include "fleet/LeaseSettings.h"
#include "traffic/OwnershipView.h"

namespace camphorcleat::daemon {

/// Owner thread only.
class OwnerView : public traffic::OwnershipView
{
public:
  /// aShared outlives the view.
  OwnerView(NodeId aSelf, fleet::LeaseSettings aLease, const SharedView& aShared)
    : mSelf(aSelf)
    , mLease(aLease)
    , mShared(aShared)
    , mState(aShared.state())
  {
  }

  /// Takes the latest published state.
  void refresh() { mState = mShared.state(); }

  const ViewState& state() const { return *mState; }

  /// The grant of this node's incarnation, also while it is being handed over; or nullptr.
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
    if (grant == nullptr || grant->movingTo != kNoNode) {
      return std::nullopt;
    }
    return grant->token;
  }

  TimePoint leaseValidUntil() const override { return mShared.leaseValidUntil(); }

  bool isConfigFresh(TimePoint aNow) const override
  {
    return aNow - mShared.confirmedAt() <= mLease.confirmLimit;
  }

  bool checksGrants() const override
  {
    const wire::Node* node = mState->model->node(mSelf);
    return node != nullptr && node->target.checksGrants;
  }

private:
  NodeId mSelf;
  fleet::LeaseSettings mLease;
  const SharedView& mShared;
  std::shared_ptr<const ViewState> mState;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_OWNERVIEW_H_
