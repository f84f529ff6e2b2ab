// Names and values of the objects in command bodies. Accounts are not encoded with the codec, since
// it would include the digests of their keys.

#include "fleet/AuditText.h"

namespace camphorcleat::fleet {

namespace {

std::string nodeObject(NodeId aNode)
{
  return "node/" + std::to_string(aNode);
}

std::string keyObject(const std::string& aAccount, const std::string& aKeyName)
{
  return "account/" + aAccount + "/key/" + aKeyName;
}

struct ObjectName
{
  std::string operator()(const wire::CreateService& aBody) const
  {
    return "service/" + aBody.service.name;
  }
  std::string operator()(const wire::SetOpenRoutes& aBody) const
  {
    return "service/" + aBody.service;
  }
  std::string operator()(const wire::RemoveService& aBody) const
  {
    return "service/" + aBody.service;
  }
  std::string operator()(const wire::CreateAccount& aBody) const
  {
    return "account/" + aBody.account;
  }
  std::string operator()(const wire::SetRate& aBody) const { return "account/" + aBody.account; }
  std::string operator()(const wire::RemoveAccount& aBody) const
  {
    return "account/" + aBody.account;
  }
  std::string operator()(const wire::GrantAccountKey& aBody) const
  {
    return keyObject(aBody.account, aBody.keyName);
  }
  std::string operator()(const wire::WithdrawAccountKey& aBody) const
  {
    return keyObject(aBody.account, aBody.keyName);
  }
  std::string operator()(const wire::SetZone& aBody) const { return "zone/" + aBody.zone; }
  std::string operator()(const wire::SetRetired& aBody) const { return nodeObject(aBody.node); }
  std::string operator()(const wire::ReplaceConfiguration& aBody) const
  {
    return "configuration/" + std::to_string(aBody.configuration.version);
  }
  std::string operator()(const wire::PinKey& aBody) const
  {
    return "pin/" + aBody.service + "/" + aBody.key;
  }
  std::string operator()(const wire::UnpinKey& aBody) const
  {
    return "pin/" + aBody.service + "/" + aBody.key;
  }
  std::string operator()(const wire::CreateFleet& /*aBody*/) const { return "fleet"; }
  std::string operator()(const wire::RegisterNode& aBody) const
  {
    return nodeObject(aBody.node.id);
  }
  std::string operator()(const wire::SetNodeStatus& aBody) const { return nodeObject(aBody.node); }
  std::string operator()(const wire::SetTargetLeaving& aBody) const
  {
    return nodeObject(aBody.node);
  }
  std::string operator()(const wire::NodeLost& aBody) const { return nodeObject(aBody.node); }
  std::string operator()(const wire::AssignPartitions& aBody) const
  {
    return "partitions/" + aBody.service + "/" + nodeObject(aBody.node);
  }
  std::string operator()(const wire::BeginPartitionMove& aBody) const
  {
    return "partitions/" + aBody.service + "/" + nodeObject(aBody.to);
  }
  std::string operator()(const wire::ReleasePartitions& aBody) const
  {
    return "partitions/" + aBody.service + "/" + nodeObject(aBody.node);
  }
};

class ObjectValue
{
public:
  explicit ObjectValue(const FleetModel& aModel)
    : mModel(aModel)
  {
  }

  std::string operator()(const wire::CreateService& aBody) const
  {
    return service(aBody.service.name);
  }
  std::string operator()(const wire::SetOpenRoutes& aBody) const { return service(aBody.service); }
  std::string operator()(const wire::RemoveService& aBody) const { return service(aBody.service); }
  std::string operator()(const wire::CreateAccount& aBody) const { return account(aBody.account); }
  std::string operator()(const wire::SetRate& aBody) const { return account(aBody.account); }
  std::string operator()(const wire::RemoveAccount& aBody) const { return account(aBody.account); }
  std::string operator()(const wire::GrantAccountKey& aBody) const
  {
    return account(aBody.account);
  }
  std::string operator()(const wire::WithdrawAccountKey& aBody) const
  {
    return account(aBody.account);
  }
  std::string operator()(const wire::SetZone& aBody) const
  {
    const auto it = mModel.zones().find(aBody.zone);
    return it == mModel.zones().end() ? std::string() : toJson(it->second);
  }
  std::string operator()(const wire::SetRetired& aBody) const { return node(aBody.node); }
  std::string operator()(const wire::ReplaceConfiguration& /*aBody*/) const
  {
    const auto version = static_cast<qint64>(mModel.configuration().version);
    return writeJson(QCborMap{ { "version", version } });
  }
  std::string operator()(const wire::PinKey& aBody) const { return pin(aBody.service, aBody.key); }
  std::string operator()(const wire::UnpinKey& aBody) const
  {
    return pin(aBody.service, aBody.key);
  }
  std::string operator()(const wire::CreateFleet& /*aBody*/) const
  {
    return mModel.partitionCount() == 0
             ? std::string()
             : writeJson(QCborMap{ { "partitions", qint64(mModel.partitionCount()) } });
  }
  std::string operator()(const wire::RegisterNode& aBody) const { return node(aBody.node.id); }
  std::string operator()(const wire::SetNodeStatus& aBody) const { return node(aBody.node); }
  std::string operator()(const wire::SetTargetLeaving& aBody) const { return node(aBody.node); }
  std::string operator()(const wire::NodeLost& aBody) const { return node(aBody.node); }
  std::string operator()(const wire::AssignPartitions& aBody) const
  {
    return partitionCount(aBody.partitions.size());
  }
  std::string operator()(const wire::BeginPartitionMove& aBody) const
  {
    return partitionCount(aBody.partitions.size());
  }
  std::string operator()(const wire::ReleasePartitions& aBody) const
  {
    return partitionCount(aBody.grants.size());
  }

private:
  std::string service(const std::string& aName) const
  {
    const auto it = mModel.services().find(aName);
    return it == mModel.services().end() ? std::string() : toJson(it->second);
  }
  std::string account(const std::string& aName) const
  {
    const auto it = mModel.accounts().find(aName);
    if (it == mModel.accounts().end()) {
      return {};
    }
    QCborArray keys;
    for (const auto& [keyName, digest] : it->second.keyDigests) {
      keys.append(QString::fromStdString(keyName));
    }
    QCborMap out;
    out.insert(QLatin1String("requests_per_second"), it->second.requestsPerSecond);
    out.insert(QLatin1String("burst_requests"), it->second.burstRequests);
    out.insert(QLatin1String("keys"), keys);
    return writeJson(out);
  }
  std::string node(NodeId aId) const
  {
    const wire::Node* node = mModel.node(aId);
    return node == nullptr ? std::string() : toJson(*node);
  }
  std::string pin(const std::string& aService, const std::string& aKey) const
  {
    const auto it = mModel.pins().find({ aService, aKey });
    if (it == mModel.pins().end()) {
      return {};
    }
    const wire::PartitionGrant* grant = mModel.grant(aService, it->second.partition);
    return grant == nullptr ? std::string() : toJson(*grant);
  }
  static std::string partitionCount(std::size_t aCount)
  {
    return writeJson(QCborMap{ { "partitions", qint64(aCount) } });
  }

  const FleetModel& mModel;
};

} // namespace

std::string bodyKind(const wire::CommandBody& aBody)
{
  return std::visit([](const auto& aAlternative) -> std::string { return aAlternative.kName; },
                    aBody);
}

std::string bodyObject(const wire::CommandBody& aBody)
{
  return std::visit(ObjectName(), aBody);
}

std::string bodyValue(const FleetModel& aModel, const wire::CommandBody& aBody)
{
  return std::visit(ObjectValue(aModel), aBody);
}

} // namespace camphorcleat::fleet
