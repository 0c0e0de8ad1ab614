#include "observe/line_budget.h"

#include <algorithm>
#include <utility>

namespace marigold::observe {
namespace {

/** @return lines of the burst that lines of this weight leave to others */
double
reserve(LineWeight aWeight)
{
  switch (aWeight) {
    case LineWeight::Routine:
      return 100;
    case LineWeight::Notable:
      return 20;
    case LineWeight::Rare:
      return 0;
  }
  return 0;
}

} // namespace

bool
LineBudget::take(LineWeight aWeight, base::TimePoint aNow)
{
  if (mRefilledAt != base::TimePoint{}) {
    mTokens =
      std::min(kBurstLines,
               mTokens + kLinesPerSecond * base::inSeconds(aNow - mRefilledAt));
  }
  mRefilledAt = aNow;
  if (mTokens < reserve(aWeight) + 1) {
    ++mRefused;
    return false;
  }
  mTokens -= 1;
  return true;
}

std::uint64_t
LineBudget::takeRefused()
{
  return std::exchange(mRefused, 0);
}

} // namespace marigold::observe
