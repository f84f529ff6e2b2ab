// Answers queries from the state that a daemon has applied, and lays answers out for people.

#ifndef CAMPHORCLEAT_FLEET_QUERYANSWER_H_
#define CAMPHORCLEAT_FLEET_QUERYANSWER_H_

#include <optional>
#include <string>

#include <QJsonObject>

#include "fleet/FleetModel.h"
#include "fleet/Statement.h"

namespace camphorcleat::fleet {

/// The answer to a query as one member that is named after its kind, such as {"zones": [...]}.
/// Owners are {"services": {"NAME": {"PARTITION": NODE}}}, with node 0 for no owner. Never holds
/// account keys or digests. nullopt for kinds that the model knows nothing of: status, members,
/// leases and audit. A filter selects names that contain it; for owners it is a service's whole
/// name. Thread-safe.
std::optional<QJsonObject> answerQuery(const FleetModel& aModel, const Query& aQuery);

/// A JSON answer as aligned text. Arrays of objects become tables; owners become the number of
/// partitions of each node. Thread-safe.
std::string renderTable(const QJsonObject& aAnswer);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_QUERYANSWER_H_
