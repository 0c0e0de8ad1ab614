/** @file Seeded random numbers, identical on every platform. */
#pragma once

#include <cstdint>
#include <random>

namespace marigold::base {

/** Deterministic generator: the same seed gives the same sequence. */
class Random
{
public:
  /** @param aSeed start of the sequence */
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /** @return 64 uniformly distributed bits */
  std::uint64_t bits() { return mEngine(); }

  /**
   * @param aBound exclusive upper bound, at least 1
   * @return a number in [0, aBound)
   */
  std::uint64_t below(std::uint64_t aBound) { return mEngine() % aBound; }

  /** @return a number in [0, 1) */
  double unit() { return static_cast<double>(mEngine() >> 11U) * 0x1.0p-53; }

  /**
   * @param aProbability in [0, 1]
   * @return true with that probability
   */
  bool chance(double aProbability) { return unit() < aProbability; }

private:
  std::mt19937_64 mEngine;
};

} // namespace marigold::base
