// Events that the daemon's threads post to the state charts, and the resulting states.
//
// The names in the tables are the event names in charts/*.scxml, except those of ZoneEvent::Added
// and ZoneEvent::Removed, which no chart handles.

#ifndef CAMPHORCLEAT_DAEMON_CHARTEVENTS_H_
#define CAMPHORCLEAT_DAEMON_CHARTEVENTS_H_

#include <map>
#include <string>
#include <variant>

#include "base/Codec.h"
#include "base/EnumNames.h"

namespace camphorcleat::daemon {

/// Events of lease-holder.scxml. Posted by the agent thread.
enum class LeaseEvent
{
  Registering,
  Granted,
  Expired,
  Refused, ///< The leader refused the incarnation, and the daemon started a new one.
};

/// Events of target.scxml. Posted by the owner thread.
enum class TargetEvent
{
  Announced, ///< A new incarnation is reachable.
  Cold,
  Warming,
  Warm,
  Draining,
  Unreachable,
  Reachable, ///< The same incarnation is reachable again.
};

/// Added and Removed create and remove a zone's chart; the others are events of zone.scxml. Posted
/// by the agent thread.
enum class ZoneEvent
{
  Added,
  Out,      ///< The zone was taken out of service.
  In,       ///< The zone is in service again.
  Empty,    ///< No node of the zone owns a partition of a keyed service.
  Occupied, ///< A node of the zone owns such a partition, or none of its nodes may own one.
  Removed,
};

struct ZoneReport
{
  std::string zone;
  ZoneEvent event = ZoneEvent::Added;
};

using ChartEvent = std::variant<LeaseEvent, TargetEvent, ZoneReport>;

/// Names of the current states, as shown by /status.
struct ChartStates
{
  std::string lease;
  std::string target; ///< "none" on a daemon without a target.
  std::map<std::string, std::string> zones;
  static constexpr auto fields()
  {
    return std::make_tuple(field("lease", &ChartStates::lease),
                           field("target", &ChartStates::target),
                           field("zones", &ChartStates::zones));
  }
};

} // namespace camphorcleat::daemon

namespace camphorcleat {

template<>
struct EnumNames<daemon::LeaseEvent>
{
  static constexpr EnumName<daemon::LeaseEvent> kTable[] = {
    { daemon::LeaseEvent::Registering, "lease.registering" },
    { daemon::LeaseEvent::Granted, "lease.granted" },
    { daemon::LeaseEvent::Expired, "lease.expired" },
    { daemon::LeaseEvent::Refused, "lease.refused" },
  };
};

template<>
struct EnumNames<daemon::TargetEvent>
{
  static constexpr EnumName<daemon::TargetEvent> kTable[] = {
    { daemon::TargetEvent::Announced, "target.announced" },
    { daemon::TargetEvent::Cold, "target.cold" },
    { daemon::TargetEvent::Warming, "target.warming" },
    { daemon::TargetEvent::Warm, "target.warm" },
    { daemon::TargetEvent::Draining, "target.draining" },
    { daemon::TargetEvent::Unreachable, "target.unreachable" },
    { daemon::TargetEvent::Reachable, "target.back" },
  };
};

template<>
struct EnumNames<daemon::ZoneEvent>
{
  static constexpr EnumName<daemon::ZoneEvent> kTable[] = {
    { daemon::ZoneEvent::Added, "zone.seen" },
    { daemon::ZoneEvent::Out, "zone.out" },
    { daemon::ZoneEvent::In, "zone.in" },
    { daemon::ZoneEvent::Empty, "zone.empty" },
    { daemon::ZoneEvent::Occupied, "zone.occupied" },
    { daemon::ZoneEvent::Removed, "zone.forgotten" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_DAEMON_CHARTEVENTS_H_
