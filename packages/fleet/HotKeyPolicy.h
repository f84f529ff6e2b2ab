// Decides which hot keys to pin to another node and which cooled pins to take back.
//
// Partitions balance the many cool keys; a few hot keys can fill one node. Giving a hot key a
// partition of its own lets it move alone. Load reports lag, so a decision projects its own effect,
// and a key that was moved rests before it may move again.

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
  double overload = 1.1;       ///< A node above so many times its fair share gives keys away.
  double minKeyShare = 0.01;   ///< Keys below this part of a node's fair share aren't worth a pin.
  double coolKeyShare = 0.005; ///< A pin below this part is cool.
  Millis coolTime{ 30000 };    ///< So long must it be cool before it is taken back.
  Millis moveRest{ 5000 };     ///< So long rests a key after a move.
  std::size_t maxMovesPerRound = 8;
  std::size_t reservedPins = 128; ///< Pin slots left to operators.
};

/// Not thread-safe. Lives as long as its process is control leader.
class HotKeyPolicy
{
public:
  using PinName = std::pair<std::string, std::string>; ///< Service and key.

  explicit HotKeyPolicy(HotKeySettings aSettings = {});

  /// Commands for one keyed service: PinKey, BeginMove of a pin, UnpinKey. The loads must be those
  /// of the service's nodes. Pins in aProtected, those that operators made, are left alone.
  /// Propose the bodies as single commands. UnpinKey comes again after moveRest until the pin is
  /// gone.
  std::vector<wire::CommandBody> decide(TimePoint aNow, const FleetModel& aModel,
                                        const std::string& aService, std::vector<HotKey> aHotKeys,
                                        const std::map<NodeId, NodeLoad>& aLoads,
                                        const std::set<PinName>& aProtected);

private:
  class Round;
  bool mayMove(const Round& aRound, const HotKey& aKey) const;
  void moveAway(Round& aRound, const HotKey& aKey);
  void forgetMissing(const FleetModel& aModel);
  void takeBackCooled(Round& aRound, const std::map<std::string, double>& aRates);

  HotKeySettings mSettings;
  std::map<PinName, TimePoint> mCoolSince;  ///< At most kMaxPins.
  std::map<PinName, TimePoint> mRestsUntil; ///< Those of the last moveRest.
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_HOTKEYPOLICY_H_
