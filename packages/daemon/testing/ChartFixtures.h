// What the tests of state charts share.

#ifndef CAMPHORCLEAT_DAEMON_TESTING_CHARTFIXTURES_H_
#define CAMPHORCLEAT_DAEMON_TESTING_CHARTFIXTURES_H_

#include <optional>

#include <QCoreApplication>

namespace camphorcleat::daemon {

/// The application object that state machines need; keeps one that another test has made.
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
