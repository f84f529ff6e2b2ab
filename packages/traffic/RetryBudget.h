// Limits retries to a fraction of the requests, so that retries cannot multiply an overload.
//
// Each request adds a tenth of a retry to the budget. The budget starts full, which allows retries
// on a node with little traffic. The reserve is small, because those of all entries add up at a
// service whose targets refuse requests.

#ifndef CAMPHORCLEAT_TRAFFIC_RETRYBUDGET_H_
#define CAMPHORCLEAT_TRAFFIC_RETRYBUDGET_H_

#include <algorithm>

namespace camphorcleat::traffic {

/// Not thread-safe. One instance serves all requests of an entry daemon for one service.
class RetryBudget
{
public:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kReserve = 2; ///< Maximum and initial number of retries in the budget.

  /// Records the start of a request. Must not be called for retries.
  void recordRequest() { mRetries = std::min(mRetries + kRetriesPerRequest, kReserve); }

  /// Takes one retry from the budget. Returns false if the budget is empty.
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
