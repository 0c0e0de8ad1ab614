/** @file The property that a sequence of steps must keep. */
#pragma once

#include "world.h"

#include <string>
#include <vector>

namespace marigold::claims::testing {

/** What came out of many generated sequences. */
struct PropertyResult
{
  bool holds = true;
  std::string report; ///< seed and steps of a shrunk failure
  std::size_t executions = 0;
  std::map<std::string, int> outcomes;
};

/**
 * Generates sequences and shrinks one that violates the oracle.
 * @param aSeed seed of the sequences @param aRuns number of sequences
 * @param aDisabled mechanisms that are switched off
 */
PropertyResult
checkAtMostOnce(std::uint64_t aSeed, int aRuns, Disabled aDisabled = {});

/** @param aSeed seed of delays and losses @param aSteps sequence
 * @param aDisabled mechanisms that are switched off
 * @return the violation, empty if there is none */
std::string
runSteps(std::uint64_t aSeed,
         const std::vector<Step>& aSteps,
         Disabled aDisabled = {});

} // namespace marigold::claims::testing
