#include "tests/measure/exact_bound.h"

#include <algorithm>

namespace marigold::measure {

std::size_t
ExactBound::admitted(double aAt, double aCost)
{
  mAdmissions.push_back({ aAt, aCost });
  return mAdmissions.size() - 1;
}

void
ExactBound::refunded(std::size_t aIndex, double aTokens)
{
  mAdmissions[aIndex].net -= aTokens;
}

double
ExactBound::excess(double aRate, double aBurst) const
{
  double largest = 0;
  double level = aBurst;
  double filledAt = 0;
  for (const Admission& admission : mAdmissions) {
    level = std::min(aBurst, level + aRate * (admission.at - filledAt));
    filledAt = admission.at;
    level -= admission.net;
    largest = std::max(largest, -level);
  }
  return largest;
}

} // namespace marigold::measure
