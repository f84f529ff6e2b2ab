// Watches the target beside the daemon: polls its health and passes it fenced grants.
//
// Health is a hint about load, but two facts in it are taken as given: the incarnation, since a new
// one means a cold start, and the target's clock, in which grants are expressed.

#ifndef CAMPHORCLEAT_DAEMON_TARGETWATCH_H_
#define CAMPHORCLEAT_DAEMON_TARGETWATCH_H_

#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "traffic/OwnerMessages.h"
#include "transport/TargetClient.h"
#include "wire/FleetMessages.h"

namespace camphorcleat::daemon {

/// What one health answer says.
struct TargetHealth
{
  Incarnation incarnation = 0;
  std::int64_t clockMillis = 0;
  std::string service;
  std::uint32_t slots = 0;
  std::uint32_t coldSlots = 0;
  Millis warmUp{ 0 };
  bool checksGrants = false;
  std::string state;
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

/// A fenced grant as the target takes it.
struct TargetGrant
{
  FencingToken token = 0;
  std::int64_t validUntilClockMillis = 0;
  static constexpr auto fields()
  {
    return std::make_tuple(field("token", &TargetGrant::token),
                           field("valid_until_clock_ms", &TargetGrant::validUntilClockMillis));
  }
};

/// The grant that ends no later than the lease, or nothing if the lease leaves no time. aReceivedAt
/// is when the health answer arrived, so the target's clock was read earlier and shows at least
/// clockMillis + (t - aReceivedAt) at any later moment t of the daemon's clock.
std::optional<TargetGrant> grantFor(const TargetHealth& aHealth, TimePoint aReceivedAt,
                                    TimePoint aLeaseValidUntil, FencingToken aToken);

/// Owner thread only.
class TargetWatch
{
public:
  struct Callbacks
  {
    std::function<void(const traffic::TargetReport&)> onReport;
    std::function<void(bool aIsReachable, const wire::Announcement&)> onAnnouncement;
    std::function<TimePoint()> leaseValidUntil;
    std::function<FencingToken()> token; ///< Of this incarnation's registration; 0: none yet.
  };

  /// The context and the client outlive the watch.
  TargetWatch(boost::asio::io_context& aIo, transport::TargetClient& aClient, Millis aInterval,
              Callbacks aCallbacks);

  void start();
  void stop();

  /// After this moment the target refuses all work that it has not begun, if it checks grants.
  TimePoint grantedUntil() const { return mGrantedUntil; }

  bool isReachable() const { return mIsReachable; }

private:
  void poll();
  void handleHealth(const transport::FetchResult& aResult);
  void recordAnswer(const TargetHealth& aHealth, TimePoint aReceivedAt);
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
