// Builds results as QJsonObject: QCborMap searches its keys linearly, which would take seconds for
// 16,384 owners.

#include "fleet/QueryResult.h"

#include <algorithm>
#include <map>

#include <QJsonArray>

#include "base/Codec.h"

namespace camphorcleat::fleet {

namespace {

QString text(const std::string& aText)
{
  return QString::fromStdString(aText);
}

template<class T>
QJsonObject objectOf(const T& aValue)
{
  return toCborValue(aValue).toJsonValue().toObject();
}

bool passes(const Query& aQuery, const std::string& aName)
{
  return aName.find(aQuery.filter) != std::string::npos;
}

QJsonArray services(const FleetModel& aModel, const Query& aQuery)
{
  QJsonArray out;
  for (const auto& [name, service] : aModel.services()) {
    if (passes(aQuery, name)) {
      out.append(objectOf(service));
    }
  }
  return out;
}

QJsonArray accounts(const FleetModel& aModel, const Query& aQuery)
{
  QJsonArray out;
  for (const auto& [name, account] : aModel.accounts()) {
    if (!passes(aQuery, name)) {
      continue;
    }
    QJsonArray keys;
    for (const auto& [keyName, digest] : account.keyDigests) {
      keys.append(text(keyName));
    }
    out.append(QJsonObject{ { "name", text(name) },
                            { "requests_per_second", account.requestsPerSecond },
                            { "burst_requests", account.burstRequests },
                            { "keys", keys } });
  }
  return out;
}

QJsonArray nodes(const FleetModel& aModel, const Query& aQuery)
{
  QJsonArray out;
  for (const auto& [id, node] : aModel.nodes()) {
    const bool isWanted = passes(aQuery, node.zone) || passes(aQuery, node.target.service) ||
                          aQuery.filter == std::to_string(id);
    if (!isWanted) {
      continue;
    }
    QJsonObject item = objectOf(node);
    item.insert("takes_work", aModel.mayReceiveRequests(node));
    out.append(item);
  }
  return out;
}

QJsonArray zones(const FleetModel& aModel, const Query& aQuery)
{
  std::map<std::string, int> counts;
  for (const auto& [id, node] : aModel.nodes()) {
    counts[node.zone] += node.status == wire::NodeStatus::Lost ? 0 : 1;
  }
  QJsonArray out;
  for (const auto& [name, zone] : aModel.zones()) {
    if (passes(aQuery, name)) {
      QJsonObject item = objectOf(zone);
      item.insert("nodes", counts[name]);
      out.append(item);
    }
  }
  return out;
}

// Inserts keys in sorted order, so that QJsonObject appends them without moving others.
QJsonObject ownersOf(const GrantTable& aTable)
{
  std::map<std::string, NodeId> sorted;
  for (PartitionId i = 0; i < aTable.size(); ++i) {
    sorted.emplace(std::to_string(i), aTable[i].owner);
  }
  QJsonObject out;
  for (const auto& [partition, owner] : sorted) {
    out.insert(text(partition), static_cast<qint64>(owner));
  }
  return out;
}

QJsonObject owners(const FleetModel& aModel, const Query& aQuery)
{
  QJsonObject out;
  for (const auto& service : aModel.grantedServices()) {
    if (aQuery.filter.empty() || aQuery.filter == service) {
      out.insert(text(service), ownersOf(aModel.grants(service)));
    }
  }
  return out;
}

QJsonArray pins(const FleetModel& aModel, const Query& aQuery)
{
  QJsonArray out;
  for (const auto& [name, pin] : aModel.pins()) {
    const wire::PartitionGrant* grant = aModel.grant(pin.service, pin.partition);
    if (grant == nullptr || !(passes(aQuery, pin.service) || passes(aQuery, pin.key))) {
      continue;
    }
    out.append(QJsonObject{ { "service", text(pin.service) },
                            { "key", text(pin.key) },
                            { "partition", static_cast<qint64>(pin.partition) },
                            { "owner", static_cast<qint64>(grant->owner) },
                            { "moving_to", static_cast<qint64>(grant->movingTo) } });
  }
  return out;
}

} // namespace

std::optional<QJsonObject> evaluateQuery(const FleetModel& aModel, const Query& aQuery)
{
  switch (aQuery.kind) {
    case QueryKind::Services:
      return QJsonObject{ { "services", services(aModel, aQuery) } };
    case QueryKind::Accounts:
      return QJsonObject{ { "accounts", accounts(aModel, aQuery) } };
    case QueryKind::Nodes:
      return QJsonObject{ { "nodes", nodes(aModel, aQuery) } };
    case QueryKind::Zones:
      return QJsonObject{ { "zones", zones(aModel, aQuery) } };
    case QueryKind::Owners:
      return QJsonObject{ { "services", owners(aModel, aQuery) } };
    case QueryKind::Pins:
      return QJsonObject{ { "pins", pins(aModel, aQuery) } };
    default:
      return std::nullopt;
  }
}

} // namespace camphorcleat::fleet
