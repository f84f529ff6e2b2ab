// Limits retries to a share of requests, so that retries can't multiply an overload.
//
// Each request adds a tenth of a retry. A small reserve lets a node with little traffic retry at
// all.

#ifndef CAMPHORCLEAT_TRAFFIC_RETRYBUDGET_H_
#define CAMPHORCLEAT_TRAFFIC_RETRYBUDGET_H_

#include <algorithm>

namespace camphorcleat::traffic {

/// Not thread-safe. One for all requests of an entry daemon.
class RetryBudget
{
public:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kReserve = 10; ///< Retries that can be saved up; also the start.

  /// A request, not a retry, has begun.
  void recordRequest() { mRetries = std::min(mRetries + kRetriesPerRequest, kReserve); }

  /// Takes one retry from the budget; false if there is none.
  bool tryAcquire()
  {
    if (mRetries < 1) {
      return false;
    }
    mRetries -= 1;
    return true;
  }

private:
  double mRetries = kReserve;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_RETRYBUDGET_H_
