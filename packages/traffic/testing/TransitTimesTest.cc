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

  Millis send(Millis aWait, std::uint64_t aLink = 1, Millis aMaxUnread = Millis(0))
  {
    sender += std::chrono::milliseconds(200);
    const Duration received = sender - std::chrono::hours(1) + Millis(1) + aWait;
    const Duration waited =
      times.waitingTime(TimePoint(received), aLink, sender, received, aMaxUnread);
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

// Guards against work for a caller that has left (GONE): the first messages of a link waited unread
// together, so none of them shows how long the others waited.
TEST_CASE("messages that were all read late have waited as long as they may have")
{
  Link link;
  CHECK(link.send(Millis(1500), 1, Millis(1500)) == Millis(1500));
  CHECK(link.send(Millis(1300), 1, Millis(1500)) == Millis(1300)); // Sent 200 ms later.
  CHECK(link.send(Millis(0)) == Millis(0));                        // Read in time.
  CHECK(link.send(Millis(700), 1, Millis(1500)) == Millis(700));
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
  link.times.addSample(TimePoint(opened), 1, opened, opened - std::chrono::hours(1) + Millis(1),
                       Duration::zero());
  CHECK(link.send(Millis(3000)) == Millis(3000));
}

} // namespace camphorcleat::traffic
