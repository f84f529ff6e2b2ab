// Shared fixtures for tests of state charts.

#ifndef CAMPHORCLEAT_DAEMON_TESTING_CHARTFIXTURES_H_
#define CAMPHORCLEAT_DAEMON_TESTING_CHARTFIXTURES_H_

#include <optional>

#include <QCoreApplication>

namespace camphorcleat::daemon {

/// Creates the QCoreApplication that state machines need, unless one exists already.
class QtScope
{
public:
  QtScope()
  {
    if (QCoreApplication::instance() == nullptr) {
      mApp.emplace(mArgCount, mArgs);
    }
  }

private:
  int mArgCount = 1;
  char mName[5] = "test";
  char* mArgs[2] = { mName, nullptr };
  std::optional<QCoreApplication> mApp;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_TESTING_CHARTFIXTURES_H_
