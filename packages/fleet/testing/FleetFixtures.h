// Creates commands, nodes and fleet states for the tests of this package.

#ifndef CAMPHORCLEAT_FLEET_TESTING_FLEETFIXTURES_H_
#define CAMPHORCLEAT_FLEET_TESTING_FLEETFIXTURES_H_

#include "base/Hash.h"
#include "fleet/FleetState.h"
#include "wire/WireCodec.h"

namespace camphorcleat::fleet {

inline wire::Command systemCommand(std::vector<wire::CommandBody> aBodies)
{
  return wire::Command{ "", "system", 1, std::nullopt, std::move(aBodies) };
}

inline wire::Command operatorCommand(std::string aId, std::vector<wire::CommandBody> aBodies,
                                     std::optional<Revision> aExpected = std::nullopt)
{
  return wire::Command{ std::move(aId), "ana", 1, aExpected, std::move(aBodies) };
}

inline wire::Node nodeOf(NodeId aId, Incarnation aIncarnation, const std::string& aZone = "a",
                         const std::string& aService = "lookup")
{
  wire::Node out;
  out.id = aId;
  out.incarnation = aIncarnation;
  out.zone = aZone;
  out.peerAddress = "127.0.0.1:1";
  out.target = wire::Announcement{ aService, 20, 2, Millis(100), true };
  return out;
}

/// The fleet state of a control member. Commands are applied with consecutive revisions.
struct Member
{
  FleetState state;

  AppliedCommand apply(const wire::Command& aCommand)
  {
    return state.apply(state.revision() + 1, aCommand);
  }
  AppliedCommand system(wire::CommandBody aBody)
  {
    return apply(systemCommand({ std::move(aBody) }));
  }
  ErrorCode code(const wire::Command& aCommand) { return apply(aCommand).result.code; }
  wire::PartitionGrant grant(PartitionId aPartition, const std::string& aService = "lookup") const
  {
    return *state.model().grant(aService, aPartition);
  }
};

/// Returns the partitions 0 to aCount - 1.
inline std::vector<PartitionId> partitionsUpTo(PartitionId aCount)
{
  std::vector<PartitionId> out(aCount);
  for (PartitionId i = 0; i < aCount; ++i) {
    out[i] = i;
  }
  return out;
}

/// Returns a member with 16 partitions, the keyed service "lookup", and nodes 1 and 2 in zones a
/// and b. Node 1 owns all partitions.
inline Member smallFleet()
{
  Member out;
  out.system(wire::CreateFleet{ 16 });
  out.apply(operatorCommand("set-up", { wire::CreateService{ { "lookup", true, {} } } }));
  out.system(wire::RegisterNode{ nodeOf(1, 11, "a") });
  out.system(wire::RegisterNode{ nodeOf(2, 22, "b") });
  out.system(wire::AssignPartitions{ "lookup", 1, 11, partitionsUpTo(16) });
  return out;
}

inline std::string bytesOf(const FleetModel& aModel)
{
  return wire::encodeChanges(aModel.toChanges());
}

/// Returns the error code of a call that returns a Result, or ErrorCode::None if it succeeds.
template<class Call>
ErrorCode codeOfCall(Call&& aCall)
{
  return orElse(
    [&]() -> Result<ErrorCode> {
      BOOST_LEAF_CHECK(aCall());
      return ErrorCode::None;
    },
    [](const ErrorInfo& aInfo) { return aInfo.code; });
}

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_TESTING_FLEETFIXTURES_H_
