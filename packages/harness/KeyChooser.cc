// Samples keys from a list, a uniform distribution or Zipf's law.

#include "harness/KeyChooser.h"

#include <algorithm>
#include <cmath>

namespace camphorcleat::harness {

KeyChooser::KeyChooser(const LoadStreamPlan& aPlan)
  : mIsKeyed(aPlan.isKeyed.value_or(true))
  , mKeyList(aPlan.keyList.value_or(std::vector<std::string>()))
  , mFirstKey(aPlan.firstKey.value_or(0))
  , mKeyCount(mKeyList.empty() ? aPlan.keyCount.value_or(1000) : mKeyList.size())
{
  if (!aPlan.zipfExponent || !mIsKeyed) {
    return;
  }
  mCumulative.reserve(mKeyCount);
  double sum = 0;
  for (std::size_t i = 1; i <= mKeyCount; ++i) {
    sum += std::pow(static_cast<double>(i), -*aPlan.zipfExponent);
    mCumulative.push_back(sum);
  }
}

std::size_t KeyChooser::sampleIndex(std::mt19937_64& aRandom)
{
  if (mCumulative.empty()) {
    return std::uniform_int_distribution<std::size_t>(0, mKeyCount - 1)(aRandom);
  }
  const double sample = std::uniform_real_distribution<double>(0, mCumulative.back())(aRandom);
  const auto it = std::upper_bound(mCumulative.begin(), mCumulative.end(), sample);
  return std::min<std::size_t>(static_cast<std::size_t>(it - mCumulative.begin()), mKeyCount - 1);
}

std::string KeyChooser::nextKey(std::mt19937_64& aRandom)
{
  if (!mIsKeyed) {
    return {};
  }
  const std::size_t n = sampleIndex(aRandom);
  return mKeyList.empty() ? "k" + std::to_string(mFirstKey + n) : mKeyList[n];
}

} // namespace camphorcleat::harness
