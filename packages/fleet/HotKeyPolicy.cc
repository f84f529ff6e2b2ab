// Hottest key first, from an overloaded node to the least loaded one, if that narrows the gap.

#include "fleet/HotKeyPolicy.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace camphorcleat::fleet {

// One decision about one service, with the loads as they will be after its own moves.
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

  // The receiver that would stay below the owner's present share.
  std::optional<NodeId> receiverFor(NodeId aOwner, double aRate) const
  {
    std::optional<NodeId> best;
    for (const auto& [id, load] : mLoads) {
      if (id != aOwner && (!best || share(id) < share(*best))) {
        best = id;
      }
    }
    const bool narrows = best && (mLoads.at(*best) + aRate) / mWeights.at(*best) < share(aOwner);
    return narrows ? best : std::nullopt;
  }

  void shift(NodeId aFrom, NodeId aTo, double aRate)
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
  forgetMissing(aModel);
  for (auto it = mRestsUntil.begin(); it != mRestsUntil.end();) {
    it = it->second <= aNow ? mRestsUntil.erase(it) : std::next(it);
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
  takeBackCooled(round, rates);
  return std::move(round.bodies);
}

bool HotKeyPolicy::mayMove(const Round& aRound, const HotKey& aKey) const
{
  const wire::PartitionGrant* grant = aRound.grantOf(aKey.key);
  const PinName name{ aRound.service, aKey.key };
  return grant != nullptr && grant->movingTo == kNoNode &&
         aRound.isOverloaded(grant->owner, mSettings.overload) &&
         aKey.requestsPerSecond >= mSettings.minKeyShare * aRound.fairLoad(grant->owner) &&
         aRound.protectedPins.count(name) == 0 && mRestsUntil.count(name) == 0 &&
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
    aRound.bodies.emplace_back(wire::BeginMove{ aRound.service, *to, { pin->partition } });
  } else {
    aRound.bodies.emplace_back(wire::PinKey{ aRound.service, aKey.key, *to });
  }
  aRound.shift(owner, *to, aKey.requestsPerSecond);
  mRestsUntil[{ aRound.service, aKey.key }] = aRound.now + mSettings.moveRest;
}

void HotKeyPolicy::takeBackCooled(Round& aRound, const std::map<std::string, double>& aRates)
{
  for (const auto& [name, pin] : aRound.model.pins()) {
    if (pin.service != aRound.service || aRound.protectedPins.count(name) != 0) {
      continue;
    }
    const wire::PartitionGrant* grant = aRound.grantOf(pin.key);
    const auto rate = aRates.find(pin.key);
    const bool isCool =
      grant != nullptr && (!aRound.isCandidate(grant->owner) || rate == aRates.end() ||
                           rate->second < mSettings.coolKeyShare * aRound.fairLoad(grant->owner));
    if (!isCool) {
      mCoolSince.erase(name);
    } else if (mCoolSince.emplace(name, aRound.now).first->second + mSettings.coolTime <=
                 aRound.now &&
               mRestsUntil.count(name) == 0) {
      aRound.bodies.emplace_back(wire::UnpinKey{ pin.service, pin.key });
      mRestsUntil[name] = aRound.now + mSettings.moveRest;
    }
  }
}

void HotKeyPolicy::forgetMissing(const FleetModel& aModel)
{
  for (auto it = mCoolSince.begin(); it != mCoolSince.end();) {
    it = aModel.pins().count(it->first) == 0 ? mCoolSince.erase(it) : std::next(it);
  }
}

} // namespace camphorcleat::fleet
