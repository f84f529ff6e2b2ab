// Guards against requests that run after their caller has left, because the time that they spent
// between two overloaded daemons is not counted.

#include <catch2/catch.hpp>

#include <cmath>

#include "traffic/TransitTimes.h"

namespace camphorcleat::traffic {
namespace {

// The sender's clock is ahead by an hour, and a message takes 1 ms if it doesn't wait.
struct Link
{
  TransitTimes times;
  Duration sender = std::chrono::hours(5);

  Duration receiverClock() const { return sender - std::chrono::hours(1); }

  void open(Millis aWait, Millis aMaxWait)
  {
    sender += Millis(200);
    const Duration received = receiverClock() + Millis(1) + aWait;
    times.addOpening(TimePoint(received), 1, sender, received, aMaxWait);
  }

  // Sends a message that waits. The sender knows the receiver's clock up to aError; zero if it
  // doesn't know it.
  Millis send(Millis aWait, std::uint64_t aLink = 1, Millis aError = Millis(0))
  {
    sender += Millis(200);
    const Duration received = receiverClock() + Millis(1) + aWait;
    const Duration known = aError == Millis(0) ? Duration::zero() : receiverClock() - aError;
    const Duration waited = times.waitingTime(TimePoint(received), aLink, sender, received, known);
    return Millis(std::llround(toSeconds(waited) * 1000));
  }
};

} // namespace

TEST_CASE("messages that hardly wait on a link have no waiting time")
{
  Link link;
  CHECK(link.send(Millis(0)) == Millis(0));
  CHECK(link.send(Millis(0)) == Millis(0));
}

TEST_CASE("the waiting time of a message is its excess over the fastest one of its link")
{
  Link link;
  link.send(Millis(2));
  CHECK(link.send(Millis(800)) == Millis(798));
  CHECK(link.send(Millis(0)) == Millis(0));
  CHECK(link.send(Millis(800)) == Millis(800));
}

TEST_CASE("overload of a minute still counts as waiting, a change of the clocks heals after two")
{
  Link link;
  link.send(Millis(0));
  for (int i = 0; i < 295; ++i) { // 59 s
    CHECK(link.send(Millis(500)) == Millis(500));
  }
  for (int i = 0; i < 600; ++i) { // 2 minutes
    link.send(Millis(500));
  }
  CHECK(link.send(Millis(500)) == Millis(0));
}

// Guards against work for callers that have left (GONE): the message that opened the link waited as
// long as those behind it, so none of them shows how long the others waited.
TEST_CASE(
  "messages of a link that was opened while the way was full have waited as long as they may "
  "have")
{
  Link link;
  link.open(Millis(1500), Millis(1500)); // The opening shows the clocks up to 1 ms.
  CHECK(link.send(Millis(1500)) == Millis(1500));
  CHECK(link.send(Millis(1300)) == Millis(1300));
  CHECK(link.send(Millis(0)) == Millis(0));
  CHECK(link.send(Millis(700)) == Millis(700));
}

// Guards against work for callers that have left (GONE): all messages of the link have waited.
TEST_CASE("a sender that knows the receiver's clock shows how long its messages waited")
{
  Link link;
  link.open(Millis(1500), Millis(2500)); // Up to a second too much.
  CHECK(link.send(Millis(1000)) == Millis(2000));
  CHECK(link.send(Millis(1000), 1, Millis(20)) == Millis(1021));
  CHECK(link.send(Millis(1200), 1, Millis(60)) == Millis(1221));
  CHECK(link.send(Millis(0)) == Millis(21));
  CHECK(link.send(Millis(0), 1, Millis(5)) == Millis(6));
}

// Guards against requests that are refused for as long as their link is open, because its set-up
// took long and their sender never says what it knows of the clock.
TEST_CASE("the bound of a link's opening expires without newer ones")
{
  Link link;
  link.open(Millis(0), Millis(400));
  CHECK(link.send(Millis(0)) == Millis(400));
  for (int i = 0; i < 700; ++i) { // 140 s
    link.send(Millis(0));
  }
  CHECK(link.send(Millis(0)) == Millis(0));
}

TEST_CASE("messages from a peer show the least that its clock shows")
{
  Link link;
  CHECK_FALSE(link.times.senderClock(1, link.receiverClock()));
  link.send(Millis(300));
  link.send(Millis(40));
  link.send(Millis(800));
  const auto clock = link.times.senderClock(1, link.receiverClock());
  REQUIRE(clock);
  CHECK(link.sender - *clock == Millis(41));
}

TEST_CASE("a new link begins without the clocks of the earlier one")
{
  Link link;
  link.send(Millis(0));
  CHECK(link.send(Millis(3000), 2) == Millis(0));
  link.times.removeLink(1);
  CHECK(link.send(Millis(3000)) == Millis(0));
}

TEST_CASE("a message that waited for its link to open is compared with the sample of the opening")
{
  Link link;
  const Duration opened = link.sender + Millis(5000);
  link.times.addSample(TimePoint(opened), 1, opened, opened - std::chrono::hours(1) + Millis(1));
  CHECK(link.send(Millis(3000)) == Millis(3000));
}

} // namespace camphorcleat::traffic
