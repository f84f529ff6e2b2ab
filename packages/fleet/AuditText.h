// Describes the object that a command body changes, for the audit trail and error messages.

#ifndef CAMPHORCLEAT_FLEET_AUDITTEXT_H_
#define CAMPHORCLEAT_FLEET_AUDITTEXT_H_

#include <string>

#include "fleet/FleetModel.h"

namespace camphorcleat::fleet {

/// Returns the wire name of a body's kind, such as "set_zone". Thread-safe.
std::string bodyKind(const wire::CommandBody& aBody);

/// Returns the name of the object that a body changes, such as "zone/a". Thread-safe.
std::string bodyObject(const wire::CommandBody& aBody);

/// Returns the object's current value as JSON without account keys and digests; empty if it does
/// not exist. For bodies that list partitions, the result contains only their number. Thread-safe.
std::string bodyValue(const FleetModel& aModel, const wire::CommandBody& aBody);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_AUDITTEXT_H_
