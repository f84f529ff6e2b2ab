// Rules of command bodies that operators send.

#include <algorithm>
#include <cmath>
#include <set>

#include "base/Hash.h"
#include "fleet/CommandRules.h"

namespace camphorcleat::fleet {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxRouteBytes = 256;
constexpr std::size_t kDigestLength = 64;

using Verdict = CommandRules::Verdict;

Refusal refuse(ErrorCode aCode, std::string aMessage)
{
  return Refusal{ aCode, std::move(aMessage), false };
}

Refusal unknown(const std::string& aKind, const std::string& aName)
{
  return refuse(ErrorCode::UnknownObject, aKind + " '" + aName + "' does not exist");
}

Refusal exists(const std::string& aKind, const std::string& aName)
{
  return refuse(ErrorCode::ObjectExists, aKind + " '" + aName + "' exists already");
}

Verdict checkName(const std::string& aKind, const std::string& aName)
{
  if (isValidName(aName)) {
    return std::nullopt;
  }
  return refuse(ErrorCode::InvalidCommand,
                aKind + " name '" + aName.substr(0, kMaxNameLength) +
                  "' is not 1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a-z or 0-9");
}

Verdict checkRate(double aRequestsPerSecond, double aBurstRequests)
{
  if (!std::isfinite(aRequestsPerSecond) || aRequestsPerSecond <= 0) {
    return refuse(ErrorCode::InvalidCommand, "the rate must be greater than 0 requests/s");
  }
  if (!std::isfinite(aBurstRequests) || aBurstRequests < 1) {
    return refuse(ErrorCode::InvalidCommand, "the burst must be at least 1 request");
  }
  return std::nullopt;
}

Verdict checkRoutes(const std::vector<std::string>& aRoutes)
{
  if (aRoutes.size() > kMaxOpenRoutes) {
    return refuse(ErrorCode::CapacityTooSmall, "a service has at most 64 open routes");
  }
  for (const auto& it : aRoutes) {
    const bool isPath =
      !it.empty() && it.front() == '/' && it.size() <= kMaxRouteBytes &&
      std::all_of(it.begin(), it.end(), [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
    if (!isPath) {
      return refuse(ErrorCode::InvalidCommand,
                    "open route '" + it.substr(0, kMaxRouteBytes) +
                      "' is not a path of at most 256 printable characters that begins with '/'");
    }
  }
  return std::nullopt;
}

bool isLowerHex(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
}

bool isDigest(const std::string& aText)
{
  return aText.size() == kDigestLength && std::all_of(aText.begin(), aText.end(), isLowerHex);
}

Refusal noNodeLeft(const std::string& aZone, const std::string& aService)
{
  return refuse(ErrorCode::CapacityTooSmall,
                "without zone '" + aZone + "' no node is left for service '" + aService + "'");
}

std::string nodeList(const std::set<NodeId>& aNodes)
{
  std::string out;
  for (const NodeId node : aNodes) {
    out += (out.empty() ? "" : ", ") + std::to_string(node);
  }
  return out;
}

} // namespace

bool isValidName(const std::string& aName)
{
  const auto isAlphanumeric = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9');
  };
  return !aName.empty() && aName.size() <= kMaxNameLength && isAlphanumeric(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), [&](char aChar) {
           return isAlphanumeric(aChar) || aChar == '.' || aChar == '_' || aChar == '-';
         });
}

Verdict CommandRules::operator()(const wire::CreateService& aBody)
{
  const wire::Service& service = aBody.service;
  if (auto verdict = checkName("service", service.name)) {
    return verdict;
  }
  if (auto verdict = checkRoutes(service.openRoutes)) {
    return verdict;
  }
  if (mModel.partitionCount() == 0) {
    return refuse(ErrorCode::InvalidCommand, "the fleet has no partitions yet");
  }
  if (mModel.services().count(service.name) != 0) {
    return exists("service", service.name);
  }
  if (mModel.services().size() >= kMaxServices) {
    return refuse(ErrorCode::CapacityTooSmall, "the fleet has 256 services, the most possible");
  }
  mOut.emplace_back(wire::ServiceSet{ service });
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::SetOpenRoutes& aBody)
{
  const auto it = mModel.services().find(aBody.service);
  if (it == mModel.services().end()) {
    return unknown("service", aBody.service);
  }
  if (auto verdict = checkRoutes(aBody.openRoutes)) {
    return verdict;
  }
  wire::Service service = it->second;
  service.openRoutes = aBody.openRoutes;
  mOut.emplace_back(wire::ServiceSet{ service });
  return std::nullopt;
}

// Removing a service removes its grants. If an owner still served it when the service is created
// again, a key could have two owners until the first owner receives the removal.
Verdict CommandRules::operator()(const wire::RemoveService& aBody)
{
  if (mModel.services().count(aBody.service) == 0) {
    return unknown("service", aBody.service);
  }
  std::set<NodeId> owners;
  for (const auto& it : mModel.grants(aBody.service)) {
    owners.insert(it.owner);
  }
  owners.erase(kNoNode);
  if (!owners.empty()) {
    return refuse(ErrorCode::InvalidCommand, "service '" + aBody.service +
                                               "' still has keys owned by nodes " +
                                               nodeList(owners) + "; stop their daemons first");
  }
  for (const auto& [id, pin] : mModel.pins()) {
    if (pin.service == aBody.service) {
      removePin(pin);
    }
  }
  mOut.emplace_back(wire::ServiceRemoved{ aBody.service });
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::CreateAccount& aBody)
{
  if (auto verdict = checkName("account", aBody.account)) {
    return verdict;
  }
  if (auto verdict = checkRate(aBody.requestsPerSecond, aBody.burstRequests)) {
    return verdict;
  }
  if (mModel.accounts().count(aBody.account) != 0) {
    return exists("account", aBody.account);
  }
  if (mModel.accounts().size() >= kMaxAccounts) {
    return refuse(ErrorCode::CapacityTooSmall, "the fleet has 20,000 accounts, the most possible");
  }
  mOut.emplace_back(wire::AccountSet{
    wire::Account{ aBody.account, aBody.requestsPerSecond, aBody.burstRequests, {}, {} } });
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::SetRate& aBody)
{
  const auto it = mModel.accounts().find(aBody.account);
  if (it == mModel.accounts().end()) {
    return unknown("account", aBody.account);
  }
  if (auto verdict = checkRate(aBody.requestsPerSecond, aBody.burstRequests)) {
    return verdict;
  }
  wire::Account account = it->second;
  account.requestsPerSecond = aBody.requestsPerSecond;
  account.burstRequests = aBody.burstRequests;
  mOut.emplace_back(wire::AccountSet{ account });
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::RemoveAccount& aBody)
{
  if (mModel.accounts().count(aBody.account) == 0) {
    return unknown("account", aBody.account);
  }
  mOut.emplace_back(wire::AccountRemoved{ aBody.account });
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::GrantAccountKey& aBody)
{
  const auto it = mModel.accounts().find(aBody.account);
  if (it == mModel.accounts().end()) {
    return unknown("account", aBody.account);
  }
  if (auto verdict = checkName("key", aBody.keyName)) {
    return verdict;
  }
  if (!isDigest(aBody.digest)) {
    return refuse(ErrorCode::InvalidCommand, "the digest of key '" + aBody.keyName +
                                               "' is not 64 lower-case hexadecimal digits");
  }
  if (it->second.keyDigests.count(aBody.keyName) != 0) {
    return exists("key", aBody.account + "/" + aBody.keyName);
  }
  if (it->second.keyDigests.size() >= kMaxKeysPerAccount) {
    return refuse(ErrorCode::CapacityTooSmall, "an account has at most 16 keys");
  }
  if (const wire::Account* holder = mModel.accountOfDigest(aBody.digest)) {
    return refuse(ErrorCode::ObjectExists, "the value of key '" + aBody.account + "/" +
                                             aBody.keyName + "' belongs to account '" +
                                             holder->name + "' already");
  }
  wire::Account account = it->second;
  account.keyDigests[aBody.keyName] = aBody.digest;
  mOut.emplace_back(wire::AccountSet{ account });
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::WithdrawAccountKey& aBody)
{
  const auto it = mModel.accounts().find(aBody.account);
  if (it == mModel.accounts().end()) {
    return unknown("account", aBody.account);
  }
  if (it->second.keyDigests.count(aBody.keyName) == 0) {
    return unknown("key", aBody.account + "/" + aBody.keyName);
  }
  wire::Account account = it->second;
  account.keyDigests.erase(aBody.keyName);
  mOut.emplace_back(wire::AccountSet{ account });
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::SetZone& aBody)
{
  const auto it = mModel.zones().find(aBody.zone);
  if (it == mModel.zones().end() && !(aBody.isForced && isValidName(aBody.zone))) {
    return unknown("zone", aBody.zone);
  }
  const bool isChange = it == mModel.zones().end() || it->second.isOut != aBody.isOut;
  if (isChange && aBody.isOut && !aBody.isForced) {
    if (auto verdict = checkZoneRemovable(aBody.zone)) {
      return verdict;
    }
  }
  // An order that changes nothing is recorded as well: it prevents an earlier one that was held up
  // from being carried out afterwards.
  mOut.emplace_back(wire::ZoneSet{ wire::Zone{ aBody.zone, aBody.isOut, mRevision } });
  return std::nullopt;
}

// Refuses to take out the last zone with nodes that may own a keyed service. Services that
// currently have no such node are ignored.
Verdict CommandRules::checkZoneRemovable(const std::string& aZone) const
{
  for (const auto& [name, service] : mModel.services()) {
    unsigned before = 0;
    unsigned after = 0;
    for (const auto& [id, node] : mModel.nodes()) {
      if (mModel.mayOwn(node, name)) {
        before += 1;
        after += node.zone == aZone ? 0 : 1;
      }
    }
    if (service.isKeyed && before > 0 && after == 0) {
      return noNodeLeft(aZone, name);
    }
  }
  return std::nullopt;
}

Verdict CommandRules::operator()(const wire::SetRetired& aBody)
{
  const wire::Node* found = mModel.node(aBody.node);
  if (found == nullptr) {
    return unknown("node", std::to_string(aBody.node));
  }
  if (found->isRetired == aBody.isRetired) {
    return std::nullopt;
  }
  wire::Node node = *found;
  node.isRetired = aBody.isRetired;
  mOut.emplace_back(wire::NodeSet{ node });
  return std::nullopt;
}

Verdict CommandRules::checkPin(const wire::PinKey& aBody) const
{
  if (keyedService(aBody.service) == nullptr) {
    return refuse(ErrorCode::UnknownObject, "keyed service '" + aBody.service + "' does not exist");
  }
  if (aBody.key.empty() || aBody.key.size() > kMaxPinnedKeyBytes) {
    return refuse(ErrorCode::InvalidCommand, "a pinned key has 1 to 512 bytes");
  }
  if (mModel.pins().count({ aBody.service, aBody.key }) != 0) {
    return exists("pin", aBody.service + "/" + aBody.key);
  }
  if (mModel.pins().size() >= kMaxPins) {
    return refuse(ErrorCode::CapacityTooSmall, "the fleet has 1,024 pins, the most possible");
  }
  return aBody.node == kNoNode ? std::nullopt : checkReceiver(aBody.service, aBody.node);
}

// The pin's grant is first a copy of the grant of its base partition, so that the owner of the key
// does not change. A moving base partition is refused: its owner may have stopped serving the key,
// and a copy of the grant would make it resume.
Verdict CommandRules::operator()(const wire::PinKey& aBody)
{
  if (auto verdict = checkPin(aBody)) {
    return verdict;
  }
  const PartitionId base = mModel.partitionOf(aBody.service, aBody.key);
  const wire::PartitionGrant* found = mModel.grant(aBody.service, base);
  if (found == nullptr || found->owner == kNoNode) {
    return refuse(ErrorCode::InvalidCommand,
                  "partition " + std::to_string(base) + " of the key has no owner now; ask again");
  }
  if (found->movingTo != kNoNode) {
    return refuse(ErrorCode::InvalidCommand,
                  "partition " + std::to_string(base) + " of the key is moving; ask again");
  }
  const auto slot = findFreePinSlot(aBody.service);
  if (!slot) {
    return refuse(ErrorCode::CapacityTooSmall, "all pin slots of the service are in use");
  }
  wire::PartitionGrant grant = *found;
  grant.token = mRevision;
  grant.movingTo = aBody.node == grant.owner ? kNoNode : aBody.node;
  mOut.emplace_back(wire::PinSet{ wire::Pin{ aBody.service, aBody.key, *slot } });
  setGrant(aBody.service, *slot, grant);
  return std::nullopt;
}

// The key returns to its base partition, which is the one that its hash determines. This is safe if
// both partitions have the same owner, or if the pin has none: an owner is removed only after its
// lease has expired or it has stopped.
Verdict CommandRules::operator()(const wire::UnpinKey& aBody)
{
  const auto it = mModel.pins().find({ aBody.service, aBody.key });
  if (it == mModel.pins().end()) {
    return unknown("pin", aBody.service + "/" + aBody.key);
  }
  const wire::Pin& pin = it->second;
  const wire::PartitionGrant* own = mModel.grant(aBody.service, pin.partition);
  const wire::PartitionGrant* base = mModel.grant(
    aBody.service, camphorcleat::partitionOf(aBody.service, aBody.key, mModel.partitionCount()));
  if (own->owner == kNoNode ||
      (own->owner == base->owner && own->movingTo == kNoNode && base->movingTo == kNoNode)) {
    removePin(pin);
    return std::nullopt;
  }
  Refusal refusal =
    refuse(ErrorCode::InvalidCommand, "the pin and the key's partition have different owners or "
                                      "are moving; ask again with a new command id");
  const wire::Node* to = mModel.node(base->owner);
  const bool canMove = own->movingTo == kNoNode && base->movingTo == kNoNode && to != nullptr &&
                       mModel.mayOwn(*to, aBody.service);
  if (canMove) {
    wire::PartitionGrant grant = *own;
    grant.movingTo = base->owner;
    setGrant(aBody.service, pin.partition, grant);
    refusal.message = "the pin now moves to node " + std::to_string(base->owner) +
                      ", the owner of the key's partition; ask again with a new command id to "
                      "remove it";
    refusal.appliesChanges = true;
  }
  return refusal;
}

std::optional<PartitionId> CommandRules::findFreePinSlot(const std::string& aService) const
{
  std::set<PartitionId> used;
  for (const auto& [id, pin] : mModel.pins()) {
    if (pin.service == aService) {
      used.insert(pin.partition);
    }
  }
  PartitionId slot = mModel.partitionCount();
  while (used.count(slot) != 0) {
    slot += 1;
  }
  if (slot >= mModel.partitionCount() + kMaxPins) {
    return std::nullopt;
  }
  return slot;
}

// Clears the grant of the freed slot, because equal states must have equal encodings and a table
// restored from a snapshot has no free slots at its end. Tokens of later pins are higher anyway.
void CommandRules::removePin(const wire::Pin& aPin)
{
  setGrant(aPin.service, aPin.partition, wire::PartitionGrant());
  mOut.emplace_back(wire::PinRemoved{ aPin.service, aPin.key });
}

} // namespace camphorcleat::fleet
