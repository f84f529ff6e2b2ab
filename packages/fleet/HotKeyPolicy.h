// Decides which hot keys to pin to another node and which pins to remove because the key is no
// longer hot.
//
// Moving partitions balances the load of many ordinary keys, but a few hot keys can overload one
// node. A pin gives a hot key a partition of its own, which can be moved alone. Load reports lag,
// so a decision accounts for the effect of its own moves, and a moved key has a cooldown before it
// may move again.

#ifndef CAMPHORCLEAT_FLEET_HOTKEYPOLICY_H_
#define CAMPHORCLEAT_FLEET_HOTKEYPOLICY_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "fleet/Placement.h"

namespace camphorcleat::fleet {

/// One hot key as its owner reports it.
struct HotKey
{
  std::string key;
  double requestsPerSecond = 0; ///< Lower bound, such as HeavyHitter's count - error per second.
};

struct HotKeySettings
{
  /// A node is overloaded if its load exceeds its fair share by this factor.
  double overloadFactor = 1.1;
  /// Keys below this fraction of a node's fair share are not moved, since a move would gain little.
  double minKeyShare = 0.01;
  /// A pinned key is no longer hot below this fraction of its node's fair share.
  double unpinKeyShare = 0.005;
  Millis unpinDelay{ 30000 };       ///< A pin is removed after its key was not hot for this time.
  Millis moveCooldown{ 5000 };      ///< A key isn't moved again within this time after a move.
  std::size_t maxMovesPerRound = 8; ///< Keys that one call of decide() moves at most.
  std::size_t reservedPins = 128;   ///< Pin slots reserved for operators.
};

/// Not thread-safe. Exists while its process is the control leader.
class HotKeyPolicy
{
public:
  using PinName = std::pair<std::string, std::string>; ///< Service and key.

  explicit HotKeyPolicy(HotKeySettings aSettings = {});

  /// Returns commands for one keyed service: PinKey, BeginPartitionMove of a pin, UnpinKey. aLoads
  /// must be the loads of the service's nodes. Pins in aProtected, which operators made, are not
  /// changed. Propose each body as a command of its own. UnpinKey is returned again after
  /// moveCooldown until the pin is removed.
  std::vector<wire::CommandBody> decide(TimePoint aNow, const FleetModel& aModel,
                                        const std::string& aService, std::vector<HotKey> aHotKeys,
                                        const std::map<NodeId, NodeLoad>& aLoads,
                                        const std::set<PinName>& aProtected);

private:
  class Round;
  bool mayMove(const Round& aRound, const HotKey& aKey) const;
  void moveAway(Round& aRound, const HotKey& aKey);
  void removeMissingPins(const FleetModel& aModel);
  void unpinCooled(Round& aRound, const std::map<std::string, double>& aRates);

  HotKeySettings mSettings;
  /// Since when the keys of pins have not been hot; at most kMaxPins entries.
  std::map<PinName, TimePoint> mCoolSince;
  /// End of moveCooldown for keys for which a move or an UnpinKey was returned.
  std::map<PinName, TimePoint> mCooldownUntil;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_HOTKEYPOLICY_H_
