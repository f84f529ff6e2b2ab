// Polls the health of the daemon's target and sends it grants with fencing tokens.
//
// The load in a health response is only a hint, but two of its values must be correct: the
// incarnation, because a new one means a cold start, and the target's clock, because the ends of
// grants are expressed in it.

#ifndef CAMPHORCLEAT_DAEMON_TARGETWATCH_H_
#define CAMPHORCLEAT_DAEMON_TARGETWATCH_H_

#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "traffic/OwnerMessages.h"
#include "transport/TargetClient.h"
#include "wire/FleetMessages.h"

namespace camphorcleat::daemon {

/// The content of a health response.
struct TargetHealth
{
  Incarnation incarnation = 0;  ///< New with each start; 0 if the target has none.
  std::int64_t clockMillis = 0; ///< The target's clock when it wrote the response.
  std::string service;
  std::uint32_t slots = 0;
  std::uint32_t coldSlots = 0;
  Millis warmUp{ 0 };
  bool checksGrants = false; ///< Whether the target refuses requests without a valid grant.
  std::string state;         ///< Only "cold" and "draining" have a meaning here.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("incarnation", &TargetHealth::incarnation),
      field("clock_ms", &TargetHealth::clockMillis), field("service", &TargetHealth::service),
      field("slots", &TargetHealth::slots), field("cold_slots", &TargetHealth::coldSlots),
      field("warm_up_ms", &TargetHealth::warmUp),
      field("checks_grants", &TargetHealth::checksGrants), field("state", &TargetHealth::state));
  }
};

/// A grant with its fencing token, as it is sent to the target.
struct TargetGrant
{
  FencingToken token = 0;
  std::int64_t validUntilClockMillis = 0; ///< On the target's clock.
  static constexpr auto fields()
  {
    return std::make_tuple(field("token", &TargetGrant::token),
                           field("valid_until_clock_ms", &TargetGrant::validUntilClockMillis));
  }
};

/// Returns a grant that ends no later than the lease, or nullopt if the lease has expired or aToken
/// is 0. aReceivedAt is the arrival time of the health response that contained
/// aHealth.clockMillis. The target read its clock before then, so at any later time t of the
/// daemon's clock, the target's clock shows at least clockMillis + (t - aReceivedAt).
std::optional<TargetGrant> grantFor(const TargetHealth& aHealth, TimePoint aReceivedAt,
                                    TimePoint aLeaseValidUntil, FencingToken aToken);

/// Use on the owner thread only.
class TargetWatch
{
public:
  struct Callbacks
  {
    /// Called after each valid health response, and once when the target becomes unreachable.
    std::function<void(const traffic::TargetReport&)> onReport;
    /// Called together with onReport. aIsReachable is also false while the target is draining.
    std::function<void(bool aIsReachable, const wire::Announcement&)> onAnnouncement;
    std::function<TimePoint()> leaseValidUntil;
    /// Returns the token of this incarnation's registration, or 0 if there is none yet.
    std::function<FencingToken()> token;
  };

  /// aIo and aClient must outlive this object.
  TargetWatch(boost::asio::io_context& aIo, transport::TargetClient& aClient, Millis aInterval,
              Callbacks aCallbacks);

  /// Sends the first poll.
  void start();
  /// Sends no further polls. A pending response is still handled, so the object must exist until
  /// aIo is stopped.
  void stop();

  /// Returns the latest end of the grants sent. A target that checks grants starts no work after
  /// this time.
  TimePoint grantedUntil() const { return mGrantedUntil; }

  bool isReachable() const { return mIsReachable; }

private:
  void poll();
  void handleHealth(const transport::FetchResult& aResult);
  void recordHealth(const TargetHealth& aHealth, TimePoint aReceivedAt);
  void recordFailure(const std::string& aReason);
  void sendGrant(const TargetHealth& aHealth, TimePoint aReceivedAt);

  boost::asio::steady_timer mTimer;
  transport::TargetClient& mClient;
  Millis mInterval;
  Callbacks mCallbacks;
  bool mIsStopped = false;
  bool mIsReachable = false;
  unsigned mFailures = 0;
  TimePoint mGrantedUntil;
  wire::Announcement mAnnouncement;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_TARGETWATCH_H_
