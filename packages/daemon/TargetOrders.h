// Sends the orders of CallGrants to the target beside this daemon.
//
// Grants use kept connections. A response names no order, so a second copy of one could be taken
// for the response to a later order. For a grant, the target then refuses the requests of keys that
// it doesn't have. For a release, the keys would get another owner while they are in use, so each
// release has a connection of its own.

#ifndef CAMPHORCLEAT_DAEMON_TARGETORDERS_H_
#define CAMPHORCLEAT_DAEMON_TARGETORDERS_H_

#include <functional>
#include <string>

#include "daemon/Dialect.h"
#include "fleet/CallGrants.h"
#include "transport/TargetClient.h"

namespace camphorcleat::daemon {

/// A target didn't carry out an order, or it isn't known whether it did.
struct OrderFailed
{
  fleet::TargetOrder order;
  fleet::OrderOutcome outcome = fleet::OrderOutcome::Unknown;
  std::string reason;
};

/// Use on the owner thread only.
class TargetOrders
{
public:
  /// Called after the outcome of an order was recorded in the grants.
  using EndCallback = std::function<void()>;

  /// The context and the protocol must outlive the object.
  TargetOrders(boost::asio::io_context& aIo, const std::string& aAddress,
               const OrderProtocol& aProtocol, fleet::CallGrants::Config aConfig,
               EndCallback aOnEnd);

  fleet::CallGrants& grants() { return mGrants; }
  const fleet::CallGrants& grants() const { return mGrants; }

  /// Sends the orders that are due.
  void send(const fleet::FleetModel& aModel, TimePoint aLeaseValidUntil);

private:
  class Call;

  void ended(const fleet::TargetOrder& aOrder, const OrderResponse& aResponse);

  const OrderProtocol& mProtocol;
  EndCallback mOnEnd;
  fleet::CallGrants mGrants;
  transport::TargetClient mGrantClient;
  transport::TargetClient mReleaseClient;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_TARGETORDERS_H_
