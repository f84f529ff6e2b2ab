// Orders to the target and records of their outcomes.

#include "fleet/CallGrants.h"

#include <algorithm>

namespace camphorcleat::fleet {

namespace {

// Shorter grants would expire before the next renewal, so they are not sent.
constexpr Millis kMinGrantLength{ 100 };

// After this time an order is not sent any more, since its length was computed for the earlier
// time. It is issued again.
constexpr Millis kSendTimeout{ 100 };

// Delays before an order is repeated: after a connection failure or an unknown outcome, and after a
// refusal that a repetition won't change soon.
constexpr Millis kRetryDelay{ 50 };
constexpr Millis kRejectedDelay{ 1000 };

} // namespace

void CallGrants::reset()
{
  mRecords.clear();
  mSentOrders.clear();
}

bool CallGrants::isSettled(TimePoint aNow, const Record& aRecord)
{
  return aNow >= aRecord.delayedUntil;
}

CallGrants::Record CallGrants::firstRecord(TimePoint aNow, const wire::PartitionGrant& aGrant) const
{
  Record out;
  out.token = aGrant.token;
  out.orderToken = aGrant.token;
  out.handover = aGrant.handover;
  out.nextOrderAt = aNow;
  if (aGrant.token <= mFirstRevision) {
    out.delayedUntil = aNow + mConfig.longestDelay;
    out.delayedToken = mFirstRevision;
    out.heldUntil = out.delayedUntil + withTargetClockSlack(mConfig.maxLength);
  }
  return out;
}

void CallGrants::updateRecord(TimePoint aNow, Revision aRevision,
                              const wire::PartitionGrant& aGrant, Record& aRecord) const
{
  if (aRecord.token != aGrant.token) {
    const Record previous = aRecord;
    aRecord = firstRecord(aNow, aGrant);
    aRecord.heldUntil = std::max(aRecord.heldUntil, previous.heldUntil);
    aRecord.delayedUntil = std::max(aRecord.delayedUntil, previous.delayedUntil);
    aRecord.delayedToken = std::max(aRecord.delayedToken, previous.delayedToken);
    aRecord.isOrderInFlight = previous.isOrderInFlight;
  }
  aRecord.isMoving = aGrant.movingTo != kNoNode;
  if (!aRecord.isMoving && aRecord.isWithdrawn) {
    // The move was cancelled.
    aRecord.isWithdrawn = false;
    aRecord.isReleased = false;
    aRecord.isTaken = false;
    aRecord.nextOrderAt = aNow;
  }
  const FencingToken highest = std::max(aRecord.orderToken, aRecord.delayedToken);
  const bool needsNewToken =
    aRecord.isFenced || (aRecord.isMoving && !aRecord.isWithdrawn && !isSettled(aNow, aRecord));
  if (needsNewToken && aRevision > highest) {
    aRecord.orderToken = aRevision;
    aRecord.isFenced = false;
    aRecord.nextOrderAt = aNow;
  }
}

void CallGrants::update(TimePoint aNow, Revision aRevision,
                        const std::map<PartitionId, wire::PartitionGrant>& aOwned)
{
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    it = aOwned.count(it->first) == 0 ? mRecords.erase(it) : std::next(it);
  }
  for (const auto& [partition, grant] : aOwned) {
    const auto it = mRecords.try_emplace(partition, firstRecord(aNow, grant)).first;
    updateRecord(aNow, aRevision, grant, it->second);
  }
}

// Returns the order that the partition needs by aNow + aAhead.
std::optional<OrderKind> CallGrants::dueOrder(TimePoint aNow, const Record& aRecord,
                                              Duration aAhead) const
{
  if (aRecord.isOrderInFlight || aRecord.isReleased || aRecord.isFenced) {
    return std::nullopt;
  }
  if (aRecord.isMoving && (aRecord.isWithdrawn || isSettled(aNow, aRecord))) {
    const bool mayBeHeld = aNow < aRecord.heldUntil;
    const bool isDue = !aRecord.isWithdrawn || aNow >= aRecord.nextOrderAt;
    return mayBeHeld && isDue ? std::optional<OrderKind>(OrderKind::Release) : std::nullopt;
  }
  return aNow + aAhead >= aRecord.nextOrderAt ? std::optional<OrderKind>(OrderKind::Grant)
                                              : std::nullopt;
}

bool CallGrants::canJoin(const Record& aFirst, const Record& aNext)
{
  return aFirst.orderToken == aNext.orderToken && aFirst.handover == aNext.handover;
}

std::vector<TargetOrder> CallGrants::nextOrders(TimePoint aNow, const FleetModel& aModel,
                                                TimePoint aLeaseValidUntil)
{
  std::vector<TargetOrder> out;
  // The grant begins with its arrival, at most grantTimeout from now if it is answered in time.
  const Millis length =
    std::min(grantLengthWithin(aLeaseValidUntil - aNow - mConfig.grantTimeout), mConfig.maxLength);
  // Neighbours whose renewal is due a little later join an order, so that they stay together.
  const Duration ahead = mConfig.renewInterval / 2;
  std::vector<Run> runs;
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    const auto kind = dueOrder(aNow, it->second, Duration::zero());
    if (!kind) {
      ++it;
      continue;
    }
    auto end = std::next(it);
    while (end != mRecords.end() && end->first == std::prev(end)->first + 1 &&
           canJoin(it->second, end->second) && dueOrder(aNow, end->second, ahead) == kind) {
      ++end;
    }
    runs.push_back({ *kind, it, end });
    it = end;
  }
  std::stable_sort(runs.begin(), runs.end(), [](const Run& aLeft, const Run& aRight) {
    return aLeft.first->second.nextOrderAt < aRight.first->second.nextOrderAt;
  });
  std::size_t grants = inFlight(OrderKind::Grant);
  std::size_t releases = inFlight(OrderKind::Release);
  for (const auto& run : runs) {
    const bool isGrant = run.kind == OrderKind::Grant;
    const bool hasRoom = isGrant ? grants < kMaxGrantsInFlight && length >= kMinGrantLength
                                 : releases < kMaxReleasesInFlight;
    if (hasRoom) {
      out.push_back(makeOrder(aNow, aModel, run, length));
      (isGrant ? grants : releases) += 1;
    }
  }
  return out;
}

TargetOrder CallGrants::makeOrder(TimePoint aNow, const FleetModel& aModel, const Run& aRun,
                                  Millis aLength)
{
  const bool isGrant = aRun.kind == OrderKind::Grant;
  TargetOrder out;
  out.id = ++mLastOrder;
  out.kind = aRun.kind;
  out.from = aModel.rangeOf(aRun.first->first).first;
  out.to = aModel.rangeOf(std::prev(aRun.end)->first).second;
  out.token = aRun.first->second.orderToken;
  out.length = isGrant ? aLength : Millis(0);
  out.handover = isGrant ? aRun.first->second.handover : std::string();
  out.sendUntil = aNow + kSendTimeout;
  out.answerUntil = aNow + (isGrant ? mConfig.grantTimeout : mConfig.releaseTimeout);
  SentOrder& sent = mSentOrders[out.id];
  sent.kind = aRun.kind;
  sent.token = out.token;
  sent.length = out.length;
  sent.sentAt = aNow;
  for (auto it = aRun.first; it != aRun.end; ++it) {
    it->second.isOrderInFlight = true;
    it->second.isWithdrawn = it->second.isWithdrawn || !isGrant;
    sent.partitions.emplace(it->first, it->second.token);
  }
  return out;
}

std::size_t CallGrants::inFlight(OrderKind aKind) const
{
  return static_cast<std::size_t>(
    std::count_if(mSentOrders.begin(), mSentOrders.end(),
                  [&](const auto& aOrder) { return aOrder.second.kind == aKind; }));
}

void CallGrants::orderEnded(TimePoint aNow, std::uint64_t aId, OrderOutcome aOutcome,
                            const std::string& aHandover)
{
  const auto sent = mSentOrders.find(aId);
  if (sent == mSentOrders.end()) {
    return;
  }
  const SentOrder order = std::move(sent->second);
  mSentOrders.erase(sent);
  for (const auto& [partition, token] : order.partitions) {
    const auto it = mRecords.find(partition);
    if (it == mRecords.end()) {
      continue;
    }
    Record& record = it->second;
    record.isOrderInFlight = false;
    if (order.kind == OrderKind::Grant) {
      grantEnded(aNow, order, aOutcome, record);
    } else if (record.token == token && record.isWithdrawn) {
      releaseEnded(aNow, aOutcome, aHandover, record);
    }
  }
}

void CallGrants::grantEnded(TimePoint aNow, const SentOrder& aOrder, OrderOutcome aOutcome,
                            Record& aRecord) const
{
  const bool isCurrent = aOrder.token >= aRecord.token;
  switch (aOutcome) {
    case OrderOutcome::Done:
      aRecord.heldUntil = std::max(aRecord.heldUntil, aNow + withTargetClockSlack(aOrder.length));
      if (aOrder.token > aRecord.delayedToken) {
        aRecord.delayedUntil = TimePoint();
      }
      if (isCurrent) {
        aRecord.usableUntil = aOrder.sentAt + aOrder.length;
        aRecord.handover.clear();
        aRecord.nextOrderAt = aOrder.sentAt + mConfig.renewInterval;
      }
      break;
    case OrderOutcome::Fenced:
      if (aOrder.token == aRecord.orderToken) {
        aRecord.isFenced = true;
        aRecord.usableUntil = TimePoint();
      }
      break;
    case OrderOutcome::Rejected:
      aRecord.nextOrderAt = aNow + kRejectedDelay;
      break;
    case OrderOutcome::NotSent:
      aRecord.nextOrderAt = aNow + kRetryDelay;
      break;
    case OrderOutcome::Unknown:
      aRecord.delayedUntil = std::max(aRecord.delayedUntil, aOrder.sentAt + mConfig.longestDelay);
      aRecord.delayedToken = std::max(aRecord.delayedToken, aOrder.token);
      aRecord.heldUntil = std::max(aRecord.heldUntil, aOrder.sentAt + mConfig.longestDelay +
                                                        withTargetClockSlack(aOrder.length));
      aRecord.nextOrderAt = aNow + kRetryDelay;
      break;
  }
}

void CallGrants::releaseEnded(TimePoint aNow, OrderOutcome aOutcome, const std::string& aHandover,
                              Record& aRecord) const
{
  if (aOutcome == OrderOutcome::Done) {
    aRecord.isReleased = true;
    aRecord.releaseHandover = aHandover;
    return;
  }
  const bool isRefused = aOutcome == OrderOutcome::Fenced || aOutcome == OrderOutcome::Rejected;
  aRecord.nextOrderAt = aNow + (isRefused ? kRejectedDelay : kRetryDelay);
}

void CallGrants::renewEarly(TimePoint aNow, PartitionId aPartition)
{
  const auto it = mRecords.find(aPartition);
  if (it != mRecords.end() && !it->second.isWithdrawn) {
    it->second.nextOrderAt = std::min(it->second.nextOrderAt, aNow + kRetryDelay);
  }
}

std::vector<ReleasedPartition> CallGrants::takeReleased(TimePoint aNow)
{
  std::vector<ReleasedPartition> out;
  for (auto& [partition, record] : mRecords) {
    const bool hasExpired =
      aNow >= record.heldUntil && isSettled(aNow, record) && !record.isOrderInFlight;
    if (!record.isMoving || record.isTaken || !(record.isReleased || hasExpired)) {
      continue;
    }
    record.isTaken = true;
    record.isWithdrawn = true;
    record.isReleased = true;
    out.push_back({ partition, record.token, record.releaseHandover });
  }
  return out;
}

bool CallGrants::isGranted(TimePoint aNow, PartitionId aPartition, FencingToken aToken) const
{
  const auto it = mRecords.find(aPartition);
  return it != mRecords.end() && !it->second.isWithdrawn && it->second.token == aToken &&
         aNow < it->second.usableUntil;
}

} // namespace camphorcleat::fleet
