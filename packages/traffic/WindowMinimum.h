// The minimum of recent values in constant memory.
//
// Two windows follow each other. The minimum is that of the current and the last complete window,
// so a value is forgotten after one to two windows.

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
  /// aWindow > 0.
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

  /// Nothing before the first value.
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
