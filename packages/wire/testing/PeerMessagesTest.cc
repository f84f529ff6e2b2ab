// Guards against messages that a peer can't read back, and against input that crashes the reader.

#include <random>

#include <catch2/catch.hpp>

#include "wire/WireCodec.h"

namespace camphorcleat::wire {
namespace {

std::vector<PeerMessage> examples()
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
           ViewUpdate{ 1, 2, {} },
           CommandSubmit{ {}, command },
           head,
           BodyChunk{},
           TokenRequest{},
           TokenAnswer{} };
}

} // namespace

TEST_CASE("every kind of peer message is read back as it was written")
{
  for (const auto& it : examples()) {
    const std::string buf = encodePeerMessage(it);
    const auto back = decodePeerMessage(buf);
    REQUIRE(back);
    REQUIRE(encodePeerMessage(*back) == buf);
  }
}

TEST_CASE("damaged messages fail or decode, but never crash")
{
  std::mt19937_64 random(20261204);
  for (const auto& it : examples()) {
    const std::string whole = encodePeerMessage(it);
    for (int i = 0; i < 2000; ++i) {
      std::string buf = whole;
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
