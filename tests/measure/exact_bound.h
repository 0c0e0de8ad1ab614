/** @file The exact bucket that no fleet may exceed. */
#pragma once

#include <cstddef>
#include <vector>

namespace marigold::measure {

/** Compares everything that was admitted with one exact token bucket. Times in
 * seconds, amounts in tokens. */
class ExactBound
{
public:
  /** @return index of the admission @param aAt time, in order
   * @param aCost tokens */
  std::size_t admitted(double aAt, double aCost);

  /** @param aIndex admission @param aTokens tokens that came back */
  void refunded(std::size_t aIndex, double aTokens);

  /** @param aRate tokens per second @param aBurst tokens
   * @return the largest amount by which the fleet was ahead of the bucket */
  double excess(double aRate, double aBurst) const;

private:
  struct Admission
  {
    double at = 0;
    double net = 0;
  };
  std::vector<Admission> mAdmissions;
};

} // namespace marigold::measure
