/** @file Bounds the number of log lines without losing the rare ones. */
#pragma once

#include "base/base.h"

#include <cstdint>

namespace marigold::observe {

/** How much a log line would be missed. Less important lines leave room for
 * more important ones. */
enum class LineWeight
{
  Routine, ///< work that went as expected
  Notable, ///< failures, refusals and what led to them
  Rare     ///< what hardly ever happens and has no other trace
};

/** Token bucket for log lines. */
class LineBudget
{
public:
  /** @param aWeight importance of the line @param aNow time
   * @return true if the line may be written; otherwise it is counted */
  bool take(LineWeight aWeight, base::TimePoint aNow);

  /** @return the number of lines that were refused since the last call */
  std::uint64_t takeRefused();

  /** @return the number of lines that were refused since takeRefused() */
  std::uint64_t refused() const { return mRefused; }

private:
  /** A line takes about 30 microseconds, so that logging stays below two
   * percent of a quarter of a core. */
  static constexpr double kLinesPerSecond = 100;
  static constexpr double kBurstLines = 200;

  double mTokens = kBurstLines;
  base::TimePoint mRefilledAt{};
  std::uint64_t mRefused = 0;
};

} // namespace marigold::observe
