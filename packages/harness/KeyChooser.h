// Chooses the key of each request from numbered or listed keys, uniformly or by Zipf's law.

#ifndef CAMPHORCLEAT_HARNESS_KEYCHOOSER_H_
#define CAMPHORCLEAT_HARNESS_KEYCHOOSER_H_

#include <random>
#include <string>
#include <vector>

#include "harness/LoadPlan.h"

namespace camphorcleat::harness {

/// Not thread-safe.
class KeyChooser
{
public:
  /// Requires a plan that parseLoadPlan() accepts.
  explicit KeyChooser(const LoadStreamPlan& aPlan);

  /// Returns the key of the next request, or an empty text if the stream has no keys.
  std::string nextKey(std::mt19937_64& aRandom);

private:
  std::size_t sampleIndex(std::mt19937_64& aRandom);

  bool mIsKeyed;
  std::vector<std::string> mKeyList;
  std::size_t mFirstKey;
  std::size_t mKeyCount;
  std::vector<double> mCumulative; ///< Cumulative weights of Zipf's law; empty if uniform.
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_KEYCHOOSER_H_
