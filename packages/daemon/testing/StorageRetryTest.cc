// Guards against a daemon that ends at its start because a disk is full, and is restarted again and
// again until it has room.

#include <cerrno>

#include <catch2/catch.hpp>

#include "daemon/StorageRetry.h"

namespace camphorcleat::daemon {
namespace {

/// Fails with the given system errors, one after another, and then succeeds.
class Opening
{
public:
  explicit Opening(std::vector<int> aErrors)
    : mErrors(std::move(aErrors))
  {
  }

  Result<void> operator()()
  {
    if (mCalls < mErrors.size()) {
      return fail(StorageError{ "log", "writing", mErrors[mCalls++] });
    }
    ++mCalls;
    return {};
  }

  std::size_t calls() const { return mCalls; }

private:
  std::vector<int> mErrors;
  std::size_t mCalls = 0;
};

// Returns the system error of the result, 0 if it succeeded.
int errorOf(Opening& aOpening, const std::function<bool()>& aIsStopRequested)
{
  return leaf::try_handle_all(
    [&]() -> Result<int> {
      BOOST_LEAF_CHECK(retryWhileDiskFails([&] { return aOpening(); }, aIsStopRequested));
      return 0;
    },
    [](const StorageError& aError) { return aError.systemError; }, [] { return -1; });
}

bool never()
{
  return false;
}

} // namespace

TEST_CASE("opening is repeated while the disk is full")
{
  Opening opening({ ENOSPC, EIO, ENOSPC });
  CHECK(errorOf(opening, never) == 0);
  CHECK(opening.calls() == 4);
}

TEST_CASE("an error that doesn't pass by itself ends the opening")
{
  Opening opening({ ENOSPC, EWOULDBLOCK });
  CHECK(errorOf(opening, never) == EWOULDBLOCK);
  CHECK(opening.calls() == 2);
}

TEST_CASE("a stop ends the repeated opening")
{
  Opening opening({ ENOSPC, ENOSPC, ENOSPC });
  CHECK(errorOf(opening, [&] { return opening.calls() == 2; }) == ENOSPC);
  CHECK(opening.calls() == 2);
}

} // namespace camphorcleat::daemon
