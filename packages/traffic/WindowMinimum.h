// Minimum of recent values in constant memory.
//
// The minimum covers the current window and the last complete one, so a value expires after one to
// two windows. A window ends with the first value after its time, so without new values the minimum
// does not change.

#ifndef CAMPHORCLEAT_TRAFFIC_WINDOWMINIMUM_H_
#define CAMPHORCLEAT_TRAFFIC_WINDOWMINIMUM_H_

#include <algorithm>
#include <optional>

#include "base/Time.h"

namespace camphorcleat::traffic {

/// Not thread-safe. Times must not decrease between calls.
class WindowMinimum
{
public:
  /// aWindow must be positive.
  explicit WindowMinimum(Duration aWindow)
    : mWindow(aWindow)
  {
  }

  void add(TimePoint aNow, double aValue)
  {
    if (!mCurrent || aNow - mStart >= mWindow) {
      mPrevious = mCurrent;
      mCurrent = aValue;
      mStart = aNow;
    }
    mCurrent = std::min(*mCurrent, aValue);
  }

  /// Returns the minimum, or nothing before the first value.
  std::optional<double> value() const
  {
    return mCurrent && mPrevious ? std::min(*mCurrent, *mPrevious) : mCurrent;
  }

private:
  Duration mWindow;
  TimePoint mStart;
  std::optional<double> mCurrent;
  std::optional<double> mPrevious;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_WINDOWMINIMUM_H_
