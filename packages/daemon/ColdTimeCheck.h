// Asks the target's health path for how long the target stays cold.

#ifndef CAMPHORCLEAT_DAEMON_COLDTIMECHECK_H_
#define CAMPHORCLEAT_DAEMON_COLDTIMECHECK_H_

#include <functional>
#include <optional>
#include <string>

#include "daemon/Dialect.h"
#include "transport/TargetClient.h"

namespace camphorcleat::daemon {

/// Uses a connection of its own, which is kept open: a response without the id of a request must
/// not arrive between those to requests. Use on the thread of the io_context only.
class ColdTimeCheck
{
public:
  /// Receives how long the target stays cold, or no value if its response doesn't say so.
  using Callback = std::function<void(std::optional<Millis> aColdFor)>;

  /// Both references must outlive this object.
  ColdTimeCheck(boost::asio::io_context& aIo, const std::string& aAddress, const Dialect& aDialect);

  /// Sends a GET of aPath. A response of another process than aInstance has no value. The callback
  /// runs once, never within this call, and not at all if this object is destroyed first.
  void start(const std::string& aPath, const std::string& aInstance, Callback aCallback);

private:
  transport::TargetClient mClient;
  const Dialect& mDialect;
};

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_COLDTIMECHECK_H_
