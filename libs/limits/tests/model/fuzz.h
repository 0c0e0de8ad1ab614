/** @file Random sequences of steps, shrunk when they fail. */
#pragma once

#include "model/step.h"

namespace marigold::limits::model {

/** Result of a run of the fuzzer. */
struct FuzzResult
{
  bool passed = false;
  std::string failure; ///< seed and shrunk steps
};

/** @param aSeed seed @param aRuns sequences @param aWithout mechanisms that
 * are switched off @return whether every sequence kept the bound */
FuzzResult
fuzz(std::uint64_t aSeed, int aRuns, const Without& aWithout = {});

} // namespace marigold::limits::model
