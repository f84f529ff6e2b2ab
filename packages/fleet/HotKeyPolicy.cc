// Moves keys from overloaded nodes to the least loaded node, the hottest key first, if the move
// reduces the imbalance.

#include "fleet/HotKeyPolicy.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace camphorcleat::fleet {

// One decision about one service. Its loads include the effect of the moves decided so far.
class HotKeyPolicy::Round
{
public:
  Round(TimePoint aNow, const FleetModel& aModel, const std::string& aService,
        const std::map<NodeId, NodeLoad>& aLoads, const std::set<PinName>& aProtected)
    : now(aNow)
    , model(aModel)
    , service(aService)
    , protectedPins(aProtected)
  {
    double load = 0;
    double weight = 0;
    for (const auto& [id, node] : aModel.nodes()) {
      if (aModel.mayOwn(node, aService)) {
        const auto it = aLoads.find(id);
        mLoads[id] = it == aLoads.end() ? 0 : it->second.requestsPerSecond;
        mWeights[id] = node.target.slots;
        load += mLoads[id];
        weight += mWeights[id];
      }
    }
    mFairShare = weight > 0 ? load / weight : 0;
  }

  bool hasLoad() const { return mFairShare > 0; }
  double fairLoad(NodeId aNode) const { return mFairShare * mWeights.at(aNode); }
  double share(NodeId aNode) const { return mLoads.at(aNode) / mWeights.at(aNode); }
  bool isCandidate(NodeId aNode) const { return mLoads.count(aNode) != 0; }
  bool isOverloaded(NodeId aNode, double aFactor) const
  {
    return isCandidate(aNode) && share(aNode) > aFactor * mFairShare;
  }

  // Returns the least loaded node other than the owner, if its share with the key's load would stay
  // below the owner's present share.
  std::optional<NodeId> receiverFor(NodeId aOwner, double aRate) const
  {
    std::optional<NodeId> best;
    for (const auto& [id, load] : mLoads) {
      if (id != aOwner && (!best || share(id) < share(*best))) {
        best = id;
      }
    }
    const bool reducesImbalance =
      best && (mLoads.at(*best) + aRate) / mWeights.at(*best) < share(aOwner);
    return reducesImbalance ? best : std::nullopt;
  }

  void recordMove(NodeId aFrom, NodeId aTo, double aRate)
  {
    mLoads[aFrom] -= aRate;
    mLoads[aTo] += aRate;
  }

  const wire::PartitionGrant* grantOf(const std::string& aKey) const
  {
    return model.grant(service, model.partitionOf(service, aKey));
  }
  const wire::Pin* pinOf(const std::string& aKey) const
  {
    const auto it = model.pins().find({ service, aKey });
    return it == model.pins().end() ? nullptr : &it->second;
  }

  const TimePoint now;
  const FleetModel& model;
  const std::string& service;
  const std::set<PinName>& protectedPins;
  std::vector<wire::CommandBody> bodies;

private:
  std::map<NodeId, double> mLoads;
  std::map<NodeId, double> mWeights;
  double mFairShare = 0; // Load per slot.
};

HotKeyPolicy::HotKeyPolicy(HotKeySettings aSettings)
  : mSettings(aSettings)
{
}

std::vector<wire::CommandBody> HotKeyPolicy::decide(TimePoint aNow, const FleetModel& aModel,
                                                    const std::string& aService,
                                                    std::vector<HotKey> aHotKeys,
                                                    const std::map<NodeId, NodeLoad>& aLoads,
                                                    const std::set<PinName>& aProtected)
{
  removeMissingPins(aModel);
  for (auto it = mCooldownUntil.begin(); it != mCooldownUntil.end();) {
    it = it->second <= aNow ? mCooldownUntil.erase(it) : std::next(it);
  }
  Round round(aNow, aModel, aService, aLoads, aProtected);
  if (!round.hasLoad()) {
    return {};
  }
  std::sort(aHotKeys.begin(), aHotKeys.end(), [](const HotKey& aLeft, const HotKey& aRight) {
    return std::tie(aRight.requestsPerSecond, aLeft.key) <
           std::tie(aLeft.requestsPerSecond, aRight.key);
  });
  std::map<std::string, double> rates;
  for (const auto& it : aHotKeys) {
    rates[it.key] = it.requestsPerSecond;
    moveAway(round, it);
  }
  unpinCooled(round, rates);
  return std::move(round.bodies);
}

bool HotKeyPolicy::mayMove(const Round& aRound, const HotKey& aKey) const
{
  const wire::PartitionGrant* grant = aRound.grantOf(aKey.key);
  const PinName name{ aRound.service, aKey.key };
  return grant != nullptr && grant->movingTo == kNoNode &&
         aRound.isOverloaded(grant->owner, mSettings.overloadFactor) &&
         aKey.requestsPerSecond >= mSettings.minKeyShare * aRound.fairLoad(grant->owner) &&
         aRound.protectedPins.count(name) == 0 && mCooldownUntil.count(name) == 0 &&
         aRound.bodies.size() < mSettings.maxMovesPerRound;
}

void HotKeyPolicy::moveAway(Round& aRound, const HotKey& aKey)
{
  const wire::Pin* pin = aRound.pinOf(aKey.key);
  const std::size_t pins = aRound.model.pins().size() + aRound.bodies.size();
  if (!mayMove(aRound, aKey) || (pin == nullptr && pins + mSettings.reservedPins >= kMaxPins)) {
    return;
  }
  const NodeId owner = aRound.grantOf(aKey.key)->owner;
  const auto to = aRound.receiverFor(owner, aKey.requestsPerSecond);
  if (!to) {
    return;
  }
  if (pin != nullptr) {
    aRound.bodies.emplace_back(wire::BeginPartitionMove{ aRound.service, *to, { pin->partition } });
  } else {
    aRound.bodies.emplace_back(wire::PinKey{ aRound.service, aKey.key, *to });
  }
  aRound.recordMove(owner, *to, aKey.requestsPerSecond);
  mCooldownUntil[{ aRound.service, aKey.key }] = aRound.now + mSettings.moveCooldown;
}

void HotKeyPolicy::unpinCooled(Round& aRound, const std::map<std::string, double>& aRates)
{
  for (const auto& [name, pin] : aRound.model.pins()) {
    if (pin.service != aRound.service || aRound.protectedPins.count(name) != 0) {
      continue;
    }
    const wire::PartitionGrant* grant = aRound.grantOf(pin.key);
    const auto rate = aRates.find(pin.key);
    const bool isCool =
      grant != nullptr && (!aRound.isCandidate(grant->owner) || rate == aRates.end() ||
                           rate->second < mSettings.unpinKeyShare * aRound.fairLoad(grant->owner));
    if (!isCool) {
      mCoolSince.erase(name);
    } else if (mCoolSince.emplace(name, aRound.now).first->second + mSettings.unpinDelay <=
                 aRound.now &&
               mCooldownUntil.count(name) == 0) {
      aRound.bodies.emplace_back(wire::UnpinKey{ pin.service, pin.key });
      mCooldownUntil[name] = aRound.now + mSettings.moveCooldown;
    }
  }
}

void HotKeyPolicy::removeMissingPins(const FleetModel& aModel)
{
  for (auto it = mCoolSince.begin(); it != mCoolSince.end();) {
    it = aModel.pins().count(it->first) == 0 ? mCoolSince.erase(it) : std::next(it);
  }
}

} // namespace camphorcleat::fleet
