// Sampling of keys.

#include "harness/KeyChooser.h"

#include <algorithm>
#include <cmath>

namespace camphorcleat::harness {

KeyChooser::KeyChooser(const LoadStreamPlan& aPlan)
  : mIsKeyed(aPlan.keyed.value_or(true))
  , mList(aPlan.keyList.value_or(std::vector<std::string>()))
  , mFirst(aPlan.firstKey.value_or(0))
  , mCount(mList.empty() ? aPlan.keys.value_or(1000) : mList.size())
{
  if (!aPlan.zipf || !mIsKeyed) {
    return;
  }
  mCumulative.reserve(mCount);
  double sum = 0;
  for (std::size_t i = 1; i <= mCount; ++i) {
    sum += std::pow(static_cast<double>(i), -*aPlan.zipf);
    mCumulative.push_back(sum);
  }
}

std::size_t KeyChooser::index(std::mt19937_64& aRandom)
{
  if (mCumulative.empty()) {
    return std::uniform_int_distribution<std::size_t>(0, mCount - 1)(aRandom);
  }
  const double at = std::uniform_real_distribution<double>(0, mCumulative.back())(aRandom);
  const auto it = std::upper_bound(mCumulative.begin(), mCumulative.end(), at);
  return std::min<std::size_t>(static_cast<std::size_t>(it - mCumulative.begin()), mCount - 1);
}

std::string KeyChooser::next(std::mt19937_64& aRandom)
{
  if (!mIsKeyed) {
    return {};
  }
  const std::size_t n = index(aRandom);
  return mList.empty() ? "k" + std::to_string(mFirst + n) : mList[n];
}

} // namespace camphorcleat::harness
