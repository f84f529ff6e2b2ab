// Chooses the key of each request: from a list, uniformly, or by Zipf's law.

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
  /// The plan is valid as by parseLoadPlan().
  explicit KeyChooser(const LoadStreamPlan& aPlan);

  /// The key of the next request; empty if the stream's service is unkeyed.
  std::string next(std::mt19937_64& aRandom);

private:
  std::size_t index(std::mt19937_64& aRandom);

  bool mIsKeyed;
  std::vector<std::string> mList;
  std::size_t mFirst;
  std::size_t mCount;
  std::vector<double> mCumulative; ///< Weights of Zipf's law summed up; empty for uniform.
};

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_KEYCHOOSER_H_
