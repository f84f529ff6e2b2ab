// Evaluates queries on a fleet model and formats the results as text.

#ifndef CAMPHORCLEAT_FLEET_QUERYRESULT_H_
#define CAMPHORCLEAT_FLEET_QUERYRESULT_H_

#include <optional>
#include <string>

#include <QJsonObject>

#include "fleet/FleetModel.h"
#include "fleet/Statement.h"

namespace camphorcleat::fleet {

/// Returns the result of a query as an object with one member named after its kind, such as
/// {"zones": [...]}. Owners are {"services": {"NAME": {"PARTITION": NODE}}}; node 0 means no owner.
/// The result never contains account keys or digests. Returns nullopt for kinds that are not part
/// of the model: status, members, leases and audit. A filter selects names that contain it. Nodes
/// are selected by their zone, their target's service or their complete id, pins by service or key,
/// and owners by the complete name of a service. Thread-safe.
std::optional<QJsonObject> evaluateQuery(const FleetModel& aModel, const Query& aQuery);

/// Formats a JSON result as aligned text. Arrays of objects become tables; for owners, the table
/// shows the number of partitions per node. Thread-safe.
std::string renderTable(const QJsonObject& aResult);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_QUERYRESULT_H_
