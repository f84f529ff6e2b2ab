// Finds the most frequent keys of a stream in bounded memory: the space-saving summary (Metwally,
// Agrawal, El Abbadi 2005) with decay.
//
// At 370 million keys no counter per key fits. The summary holds a fixed number of counters; a new
// key takes over the smallest one and inherits its count as error. Every key with more than total /
// capacity requests is in it, and a key's true count lies between count - error and count.

#ifndef CAMPHORCLEAT_FLEET_HEAVYHITTERS_H_
#define CAMPHORCLEAT_FLEET_HEAVYHITTERS_H_

#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorcleat::fleet {

/// One key of the summary.
struct HeavyHitter
{
  std::string key;
  double count = 0; ///< Upper bound of its requests.
  double error = 0; ///< count - error is the lower bound.
};

/// Not thread-safe.
class HeavyHitters
{
public:
  /// aCapacity > 0 counters.
  explicit HeavyHitters(std::size_t aCapacity);

  /// Counts requests of a key, in time logarithmic in the capacity.
  void add(const std::string& aKey, double aCount = 1);

  /// Multiplies all counts by a factor from 0 to 1, so that old requests weigh less, and drops
  /// counters below one half.
  void decay(double aFactor);

  /// The keys with the largest counts, largest first; equal counts by key.
  std::vector<HeavyHitter> top(std::size_t aLimit) const;

  std::size_t size() const { return mCounters.size(); }

  /// All requests counted, decayed alike.
  double total() const { return mTotal; }

private:
  struct Counter
  {
    double count = 0;
    double error = 0;
  };
  void change(const std::string& aKey, Counter& aCounter, double aCount);

  std::size_t mCapacity;
  double mTotal = 0;
  std::unordered_map<std::string, Counter> mCounters;
  std::set<std::pair<double, std::string>> mByCount;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_HEAVYHITTERS_H_
