// Describes the object of a command body for the audit trail and for error messages.

#ifndef CAMPHORCLEAT_FLEET_AUDITTEXT_H_
#define CAMPHORCLEAT_FLEET_AUDITTEXT_H_

#include <string>

#include "fleet/FleetModel.h"

namespace camphorcleat::fleet {

/// The wire name of a body's kind, such as "set_zone". Thread-safe.
std::string bodyKind(const wire::CommandBody& aBody);

/// The object that a body is about, such as "zone/a". Thread-safe.
std::string bodyObject(const wire::CommandBody& aBody);

/// The object's present value as JSON without account keys and digests; empty if it does not exist.
/// Bodies about partitions give their number instead. Thread-safe.
std::string bodyValue(const FleetModel& aModel, const wire::CommandBody& aBody);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_AUDITTEXT_H_
