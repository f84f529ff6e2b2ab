// Grants of a target that receives its keys by calls ("orders") of the daemon beside it.
//
// An order without a response may be carried out late, even after newer ones, and a grant counts
// from its arrival. So the target may take keys that have meanwhile been granted elsewhere. This
// can't happen for a partition that is *settled*: each of its grant orders was answered, or was
// answered after a later order with a higher token, which makes the target refuse the earlier one,
// or is older than the longest delay. Only the keys of a settled partition are withdrawn and passed
// on; until then the target keeps them and serves them.
//
// The token of an order is that of the log's grant, or a later revision at which the log still
// shows the grant. Both are below the token of the next owner, because the log has yet to make that
// grant.

#ifndef CAMPHORCLEAT_FLEET_CALLGRANTS_H_
#define CAMPHORCLEAT_FLEET_CALLGRANTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/EnumNames.h"
#include "fleet/FleetModel.h"
#include "fleet/TargetGrants.h"

namespace camphorcleat::fleet {

enum class OrderKind
{
  Grant,   ///< The target may run work for the keys.
  Release, ///< The target must start no more work for the keys, and responds when none is running.
};

/// A call to the target.
struct TargetOrder
{
  std::uint64_t id = 0;
  OrderKind kind = OrderKind::Grant;
  std::uint32_t from = 0;
  std::uint32_t to = 0; ///< Included.
  FencingToken token = 0;
  Millis length{ 0 };   ///< Of a grant, counted from its arrival.
  std::string handover; ///< Data from the previous owner's target; empty if there is none.
  TimePoint sendUntil;  ///< The order must not be sent later.
  TimePoint answerUntil;
};

enum class OrderOutcome
{
  Done,     ///< Carried out.
  Fenced,   ///< Refused, because the target has seen a higher token.
  Rejected, ///< Refused as malformed.
  NotSent,  ///< No byte of the order was sent.
  Unknown,  ///< It may have been carried out, or may still be.
};

class CallGrants : public TargetGrants
{
public:
  struct Config
  {
    Millis maxLength{ 9000 };      ///< Of a grant.
    Millis renewInterval{ 1500 };  ///< Between answered grants of a partition.
    Millis grantTimeout{ 500 };    ///< For the response to a grant.
    Millis releaseTimeout{ 1500 }; ///< For the response to a release, then it is sent again.
    /// Longest time between the sending of an order without a response and its execution.
    Millis longestDelay{ 12'000 };
  };

  /// Concurrent orders of each kind. A grant without a response blocks the others no longer than
  /// its timeout. A release waits for the work that is running.
  static constexpr std::size_t kMaxGrantsInFlight = 4;
  static constexpr std::size_t kMaxReleasesInFlight = 8;

  explicit CallGrants(Config aConfig)
    : mConfig(aConfig)
  {
  }

  /// Sets the revision of this process's first view. Grants of the log up to it may have been sent
  /// to the target by an earlier process of this daemon, with unknown outcomes. Call before
  /// update().
  void setFirstRevision(Revision aRevision) { mFirstRevision = aRevision; }

  /// Sets the partitions of the target's service that this node owns, including moving ones, as of
  /// aRevision.
  void update(TimePoint aNow, Revision aRevision,
              const std::map<PartitionId, wire::PartitionGrant>& aOwned);

  /// Returns the orders to send now. Each one must be ended by orderEnded(). No grant that is
  /// answered within its time is valid after aLeaseValidUntil.
  std::vector<TargetOrder> nextOrders(TimePoint aNow, const FleetModel& aModel,
                                      TimePoint aLeaseValidUntil);

  /// Reports the outcome of an order. Ignores orders from before the last reset(). aHandover is the
  /// data that the target sent in response to a release.
  void orderEnded(TimePoint aNow, std::uint64_t aId, OrderOutcome aOutcome,
                  const std::string& aHandover);

  /// Grants a partition again soon, because the target has refused a request for it.
  void renewEarly(TimePoint aNow, PartitionId aPartition);

  void reset() override;
  std::vector<ReleasedPartition> takeReleased(TimePoint aNow) override;
  bool isGranted(TimePoint aNow, PartitionId aPartition, FencingToken aToken) const override;

private:
  struct Record
  {
    FencingToken token = 0;      ///< Of the log's grant.
    FencingToken orderToken = 0; ///< Sent in orders.
    std::string handover;        ///< For the target, until it has acknowledged a grant.
    bool isMoving = false;
    bool isFenced = false;         ///< The target has refused orderToken.
    bool isWithdrawn = false;      ///< A release was sent, so the target can't be counted on.
    bool isReleased = false;       ///< The target has released the keys.
    bool isTaken = false;          ///< takeReleased() has returned the partition.
    std::string releaseHandover;   ///< From the target.
    TimePoint usableUntil;         ///< The target certainly holds the keys until then.
    TimePoint heldUntil;           ///< The target may hold the keys until then.
    TimePoint delayedUntil;        ///< An order without a response may be executed until then.
    FencingToken delayedToken = 0; ///< The highest token of such an order.
    TimePoint nextOrderAt;
    bool isOrderInFlight = false;
  };
  struct SentOrder
  {
    OrderKind kind = OrderKind::Grant;
    FencingToken token = 0;
    Millis length{ 0 };
    TimePoint sentAt;
    std::map<PartitionId, FencingToken> partitions; ///< With the tokens of the log's grants.
  };
  using Records = std::map<PartitionId, Record>;
  /// Adjacent partitions that one order covers.
  struct Run
  {
    OrderKind kind = OrderKind::Grant;
    Records::iterator first;
    Records::iterator end; ///< Excluded.
  };

  static bool isSettled(TimePoint aNow, const Record& aRecord);
  static bool canJoin(const Record& aFirst, const Record& aNext);
  std::optional<OrderKind> dueOrder(TimePoint aNow, const Record& aRecord, Duration aAhead) const;
  Record firstRecord(TimePoint aNow, const wire::PartitionGrant& aGrant) const;
  void updateRecord(TimePoint aNow, Revision aRevision, const wire::PartitionGrant& aGrant,
                    Record& aRecord) const;
  TargetOrder makeOrder(TimePoint aNow, const FleetModel& aModel, const Run& aRun, Millis aLength);
  void grantEnded(TimePoint aNow, const SentOrder& aOrder, OrderOutcome aOutcome,
                  Record& aRecord) const;
  void releaseEnded(TimePoint aNow, OrderOutcome aOutcome, const std::string& aHandover,
                    Record& aRecord) const;
  std::size_t inFlight(OrderKind aKind) const;

  Config mConfig;
  Revision mFirstRevision = 0;
  std::uint64_t mLastOrder = 0;
  Records mRecords;
  std::map<std::uint64_t, SentOrder> mSentOrders;
};

} // namespace camphorcleat::fleet

namespace camphorcleat {

template<>
struct EnumNames<fleet::OrderKind>
{
  static constexpr EnumName<fleet::OrderKind> kTable[] = {
    { fleet::OrderKind::Grant, "grant" },
    { fleet::OrderKind::Release, "release" },
  };
};

template<>
struct EnumNames<fleet::OrderOutcome>
{
  static constexpr EnumName<fleet::OrderOutcome> kTable[] = {
    { fleet::OrderOutcome::Done, "done" },         { fleet::OrderOutcome::Fenced, "fenced" },
    { fleet::OrderOutcome::Rejected, "rejected" }, { fleet::OrderOutcome::NotSent, "not_sent" },
    { fleet::OrderOutcome::Unknown, "unknown" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_FLEET_CALLGRANTS_H_
