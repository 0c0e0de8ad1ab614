/** @file The property that random sequences of faults break no promise. */
#pragma once

#include <cstdint>

namespace marigold::placement::test {

/**
 * Runs random sequences with rapidcheck and prints the seed and the shrunk
 * steps of a failure. The seed applies to the first call in a process, because
 * rapidcheck reads it once.
 * @param aSeed start of the random numbers
 * @param aRuns sequences
 * @return true if all passed
 */
bool
checkRandomFaults(std::uint64_t aSeed, int aRuns);

} // namespace marigold::placement::test
