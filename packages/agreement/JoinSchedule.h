// Decides which node a daemon asks for admission to the group, and when.
//
// Only the leader admits nodes, and what it knows of a node that isn't a voter ends with its
// leadership. So the request is repeated until the membership lists the node: to the leader if it
// is known, otherwise to all nodes that may know it, in turn.

#ifndef CAMPHORCLEAT_AGREEMENT_JOINSCHEDULE_H_
#define CAMPHORCLEAT_AGREEMENT_JOINSCHEDULE_H_

#include <cstddef>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace camphorcleat::agreement {

/// Maximum number of nodes that are remembered from the settings, and from one reply.
constexpr std::size_t kMaxKnownNodes = 16;
constexpr Millis kJoinRequestInterval{ 400 };
/// A member that has known no leader for this time requests to join, because it may have been
/// removed without being informed.
constexpr Millis kLeaderlessTimeout{ 1500 };

/// Not thread-safe.
class JoinSchedule
{
public:
  /// aKnown are nodes that may be members, in the order in which they are asked.
  JoinSchedule(NodeId aSelf, std::vector<NodeId> aKnown);

  /// Adds nodes that may be members. They are asked before those known so far.
  void addKnown(const std::vector<NodeId>& aNodes);

  /// Returns the node to send a join request to now, or kNoNode if none is due. aLeader is the
  /// current leader, or kNoNode if it isn't known. aMembers is the membership in force as far as
  /// this node knows it, which is empty if its log is.
  NodeId next(TimePoint aNow, NodeId aLeader, const std::vector<NodeId>& aMembers);

  /// Handles a node's reply to a join request, with the leader and the membership that it knows.
  /// Returns the node to send the request to at once, or kNoNode. At most one hint is followed in
  /// each interval, because members may name each other.
  NodeId onReply(NodeId aFrom, NodeId aLeaderHint, const std::vector<NodeId>& aReported,
                 NodeId aLeader);

private:
  NodeId nextCandidate(const std::vector<NodeId>& aMembers);

  NodeId mSelf;
  std::vector<NodeId> mKnown;
  std::vector<NodeId> mReported; // By the latest reply.
  std::size_t mNextCandidate = 0;
  bool mMayFollowHint = false;
  TimePoint mNextRequestAt;
  TimePoint mLeaderKnownAt;
};

} // namespace camphorcleat::agreement

#endif // CAMPHORCLEAT_AGREEMENT_JOINSCHEDULE_H_
