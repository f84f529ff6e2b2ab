// Finds the most frequent keys of a stream in bounded memory with the Space-Saving algorithm
// (Metwally, Agrawal, El Abbadi 2005) and exponential decay.
//
// One counter per key needs too much memory for 370 million keys. The summary has a fixed number of
// counters. A new key replaces the key with the smallest count and inherits that count as its
// error. The summary contains every key with more than total / capacity requests, and the true
// count of a key is between count - error and count.

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
  double count = 0; ///< Upper bound of the key's requests.
  double error = 0; ///< count - error is the lower bound.
};

/// Not thread-safe.
class HeavyHitters
{
public:
  /// aCapacity is the number of counters and must be above 0.
  explicit HeavyHitters(std::size_t aCapacity);

  /// Adds aCount requests of a key. Takes time logarithmic in the capacity.
  void add(const std::string& aKey, double aCount = 1);

  /// Multiplies all counts by a factor from 0 to 1, so that old requests weigh less, and removes
  /// counters below one half.
  void decay(double aFactor);

  /// Returns up to aLimit keys with the largest counts in descending order of count, then of key.
  std::vector<HeavyHitter> top(std::size_t aLimit) const;

  std::size_t size() const { return mCounters.size(); }

  /// Returns the number of all requests, decayed like the counts.
  double total() const { return mTotal; }

private:
  struct Counter
  {
    double count = 0;
    double error = 0;
  };
  void setCount(const std::string& aKey, Counter& aCounter, double aCount);

  std::size_t mCapacity;
  double mTotal = 0;
  std::unordered_map<std::string, Counter> mCounters;
  std::set<std::pair<double, std::string>> mByCount;
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_HEAVYHITTERS_H_
