// Answers queries from a daemon's fleet model and formats answers as text.

#ifndef CAMPHORCLEAT_FLEET_QUERYANSWER_H_
#define CAMPHORCLEAT_FLEET_QUERYANSWER_H_

#include <optional>
#include <string>

#include <QJsonObject>

#include "fleet/FleetModel.h"
#include "fleet/Statement.h"

namespace camphorcleat::fleet {

/// Returns the answer to a query as an object with one member named after its kind, such as
/// {"zones": [...]}. Owners are {"services": {"NAME": {"PARTITION": NODE}}}; node 0 means no owner.
/// The answer never contains account keys or digests. Returns nullopt for kinds that are not part
/// of the model: status, members, leases and audit. A filter selects names that contain it; for
/// owners it is the complete name of a service. Thread-safe.
std::optional<QJsonObject> answerQuery(const FleetModel& aModel, const Query& aQuery);

/// Formats a JSON answer as aligned text. Arrays of objects become tables; for owners, the table
/// shows the number of partitions per node. Thread-safe.
std::string renderTable(const QJsonObject& aAnswer);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_QUERYANSWER_H_
