// Guards against messages that are lost without a report, delivered twice or out of order, and
// against peers that are silent, foreign, or don't read.

#include <catch2/catch.hpp>

#include <map>
#include <vector>

#include "TransportFakes.h"
#include "transport/PeerHub.h"
#include "wire/WireCodec.h"

namespace camphorcleat::transport::testing {
namespace {

struct Loss
{
  LinkId link;
  NodeId peer;
  bool wasDialed;
  bool neverOpened;
};

class RecordingHandler final : public PeerHandler
{
public:
  void onMessage(LinkId aLink, NodeId aFrom, Lane, wire::PeerMessage aMessage) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLastLink = aLink;
    mLastFrom = aFrom;
    mMessages.push_back(std::move(aMessage));
  }
  void onLinkLost(LinkId aLink, NodeId aPeer, Lane, bool aWasDialed, bool aNeverOpened) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLosses.push_back({ aLink, aPeer, aWasDialed, aNeverOpened });
  }

  std::size_t count() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mMessages.size();
  }
  std::vector<wire::PeerMessage> messages() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mMessages;
  }
  std::vector<Loss> losses() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLosses;
  }
  LinkId lastLink() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLastLink;
  }
  NodeId lastFrom() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLastFrom;
  }

private:
  mutable std::mutex mMutex;
  std::vector<wire::PeerMessage> mMessages;
  std::vector<Loss> mLosses;
  LinkId mLastLink = 0;
  NodeId mLastFrom = 0;
};

PeerHubConfig configOf(NodeId aNode, const std::string& aFleet = "tbilisi")
{
  PeerHubConfig config;
  config.self = aNode;
  config.incarnation = 1000 + aNode;
  config.fleet = aFleet;
  config.listenAddress = "127.0.0.1:0";
  return config;
}

std::string addressOf(const PeerHub& aHub)
{
  return "127.0.0.1:" + std::to_string(aHub.port());
}

struct Node
{
  explicit Node(PeerHubConfig aConfig)
    : hub(std::move(aConfig), handler)
  {
    REQUIRE(hub.start());
  }
  RecordingHandler handler;
  PeerHub hub;
};

wire::LeaseRenew numbered(std::uint64_t aSequence)
{
  return wire::LeaseRenew{ 1, 2, aSequence, 0, 0 };
}

} // namespace

TEST_CASE("messages arrive once and in order, also those sent while the link is dialed")
{
  Node a(configOf(1));
  Node b(configOf(2));
  a.hub.setAddress(2, addressOf(b.hub));
  constexpr std::uint64_t kCount = 2000;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    REQUIRE(a.hub.send(2, Lane::Control, numbered(i)).status == SendStatus::Accepted);
  }
  REQUIRE(waitFor([&] { return b.handler.count() >= kCount; }));
  const auto got = b.handler.messages();
  REQUIRE(got.size() == kCount);
  for (std::uint64_t i = 0; i < kCount; ++i) {
    REQUIRE(std::get<wire::LeaseRenew>(got[i]).sequence == i);
  }
  REQUIRE(b.handler.lastFrom() == 1);
  REQUIRE(a.hub.isLinked(2, Lane::Control));
  REQUIRE(!a.hub.isLinked(2, Lane::Data));

  // Answers go back on the same connection, although b knows no address of a.
  REQUIRE(b.hub.send(1, Lane::Control, numbered(1)).status == SendStatus::Unreachable);
  REQUIRE(b.hub.reply(b.handler.lastLink(), numbered(7)) == SendStatus::Accepted);
  REQUIRE(waitFor([&] { return a.handler.count() == 1; }));
}

} // namespace camphorcleat::transport::testing
