/**
 * @file
 * Runs placers against simulated engines and a simulated platform under random
 * faults. The oracle checks memory use of the engines at all times, the limits
 * of the weights store, and that each model is resident again after the faults.
 */
#include "placement/tests/world_property.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace marigold;

namespace {

constexpr const char* kUsage = R"(Fuzzes the placement library.

Usage:
  fuzz-placement [--seed N] [--runs N]
  fuzz-placement (-h | --help)

Options:
  --seed N   Seed of the random numbers [default: 1].
  --runs N   Number of sequences [default: 10000].
  -h --help  Show this text.
)";

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage, { aValues + 1, aValues + aCount });
  const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  const int runs = static_cast<int>(arguments["--runs"].asLong());
  const bool passed = placement::test::checkRandomFaults(seed, runs);
  std::cout << "fuzz-placement: seed " << seed << ", " << runs << " sequences, "
            << (passed ? "no violation" : "FAILED") << "\n";
  return passed ? 0 : 1;
}
