// Guards against messages that a peer can't decode, and against input that crashes the decoder.

#include <random>

#include <catch2/catch.hpp>

#include "wire/WireCodec.h"

namespace camphorcleat::wire {
namespace {

std::vector<PeerMessage> sampleMessages()
{
  RequestHead head;
  head.id = { 1, 2 };
  head.service = "station-lookup";
  head.key = "rustaveli";
  head.headers = { { "Accept", "*/*" } };
  AppendRequest append;
  append.entries = { LogEntry{ 4, 2, EntryKind::Command, Bytes("x") } };
  Command command;
  command.bodies = { SetZone{ "a", true }, NodeLost{ 3, 9 } };
  return { Hello{ 1, 2, "lagos" },
           LogFrame{ append },
           LeaseRenew{ 1, 2, 3, 4, 5 },
           ViewUpdate{ 1, 2, {}, {} },
           CommandSubmit{ {}, command },
           head,
           BodyChunk{},
           TokenRequest{},
           TokenReply{} };
}

} // namespace

TEST_CASE("peer messages decode to the encoded values")
{
  for (const auto& it : sampleMessages()) {
    const std::string buf = encodePeerMessage(it);
    const auto decoded = decodePeerMessage(buf);
    REQUIRE(decoded);
    REQUIRE(encodePeerMessage(*decoded) == buf);
  }
}

// A received message with a wrong byte may be refused or decoded, but must not end the process.
TEST_CASE("corrupted messages don't crash the decoder")
{
  std::mt19937_64 random(20261204);
  for (const auto& it : sampleMessages()) {
    const std::string encoded = encodePeerMessage(it);
    for (int i = 0; i < 2000; ++i) {
      std::string buf = encoded;
      buf[random() % buf.size()] = static_cast<char>(random());
      orElse(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(decodePeerMessage(buf));
          return true;
        },
        [](const ErrorInfo&) { return false; });
    }
  }
}

} // namespace camphorcleat::wire
