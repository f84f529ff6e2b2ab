// Guards against accepting heartbeats that arrive out of order or from a process that has ended,
// which would report an outdated state of the target or give grants to an ended process.

#include <catch2/catch.hpp>

#include "daemon/HeartbeatTracker.h"

namespace camphorcleat::daemon {
namespace {

TargetHeartbeat makeHeartbeat(const std::string& aInstance, std::int64_t aStartedAt,
                              std::uint64_t aSequence, bool aIsDraining = false)
{
  TargetHeartbeat out;
  out.announcement.instance = aInstance;
  out.announcement.startedAtUnixMillis = aStartedAt;
  out.sequence = aSequence;
  out.isDraining = aIsDraining;
  return out;
}

} // namespace

TEST_CASE("a late heartbeat of the current or an earlier process is ignored")
{
  HeartbeatTracker tracker;
  CHECK(tracker.record(makeHeartbeat("a", 100, 3)) == HeartbeatTracker::Verdict::NewTarget);
  CHECK(tracker.record(makeHeartbeat("a", 100, 2)) == HeartbeatTracker::Verdict::Stale);
  CHECK(tracker.record(makeHeartbeat("a", 100, 3)) == HeartbeatTracker::Verdict::Stale);
  CHECK(tracker.record(makeHeartbeat("a", 100, 4)) == HeartbeatTracker::Verdict::Current);
  CHECK(tracker.record(makeHeartbeat("b", 200, 1)) == HeartbeatTracker::Verdict::NewTarget);
  CHECK(tracker.record(makeHeartbeat("a", 100, 9)) == HeartbeatTracker::Verdict::Stale);
  CHECK(tracker.last().announcement.instance == "b");
}

TEST_CASE("a restarted process with the same name is a new target")
{
  HeartbeatTracker tracker;
  tracker.record(makeHeartbeat("a", 100, 50, true));
  const Incarnation first = tracker.processNumber();
  CHECK(tracker.isLeaving());
  CHECK(tracker.record(makeHeartbeat("a", 300, 1)) == HeartbeatTracker::Verdict::NewTarget);
  CHECK(tracker.processNumber() != first);
  CHECK_FALSE(tracker.isLeaving());
}

TEST_CASE("a deregistration applies only to the current process and is not undone by heartbeats")
{
  HeartbeatTracker tracker;
  CHECK_FALSE(tracker.recordLeaving({ "a", 100 }));
  tracker.record(makeHeartbeat("a", 100, 1));
  CHECK_FALSE(tracker.recordLeaving({ "b", 100 }));
  CHECK_FALSE(tracker.recordLeaving({ "a", 99 }));
  CHECK(tracker.recordLeaving({ "a", 100 }));
  tracker.record(makeHeartbeat("a", 100, 2));
  CHECK(tracker.isLeaving());
}

TEST_CASE("heartbeats of a process that has ended are stale")
{
  HeartbeatTracker tracker;
  tracker.record(makeHeartbeat("a", 100, 1));
  tracker.recordEnd();
  CHECK_FALSE(tracker.hasTarget());
  CHECK(tracker.record(makeHeartbeat("a", 100, 2)) == HeartbeatTracker::Verdict::Stale);
  CHECK(tracker.record(makeHeartbeat("c", 101, 1)) == HeartbeatTracker::Verdict::NewTarget);
  CHECK(tracker.hasTarget());
}

} // namespace camphorcleat::daemon
