// Guards against wrong conclusions from messages that a full ring has dropped.

#include <catch2/catch.hpp>

#include "daemon/PeerRouter.h"

namespace camphorcleat::daemon {

// Guards against refusals as not run of requests that have run (REFUSED, TWICE): the answer was
// dropped before the goodbye of its link arrived.
TEST_CASE("requests on a link of which an answer was dropped aren't taken as not run")
{
  constexpr transport::LinkId kDropped = 7;
  constexpr transport::LinkId kOther = 8;
  Rings rings;
  PeerRouter router(1, rings);
  while (rings.entry.tryPush(EntryMessage(ViewPublished{}))) {
  }
  router.onMessage(kDropped, 2, transport::Lane::Data, wire::RequestFailed());
  rings.entry.popMany(kEntryRingSize);
  router.onMessage(kOther, 3, transport::Lane::Data, wire::RequestFailed());
  router.onLinkLost(kDropped, 2, transport::Lane::Data, true, true);
  router.onLinkLost(kOther, 3, transport::Lane::Data, true, true);
  std::map<transport::LinkId, bool> isNotRun;
  for (const auto& it : rings.entry.popMany(kEntryRingSize)) {
    if (const auto* lost = std::get_if<LinkLost>(&it)) {
      isNotRun[lost->link] = lost->isNotRun;
    }
  }
  CHECK(isNotRun == std::map<transport::LinkId, bool>{ { kDropped, false }, { kOther, true } });
}

} // namespace camphorcleat::daemon
