/** @file Fuzzes the claims library with generated sequences of faults. */
#include "property.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace marigold::claims::testing;

namespace {

constexpr const char* kUsage =
  R"(Checks in generated sequences of faults that no key is executed twice.

Usage:
  fuzz-claims --seed N [--runs N]
  fuzz-claims (-h | --help)

Options:
  --seed N   Seed of the sequences.
  --runs N   Number of sequences [default: 10000].
  -h --help  Show this text.
)";

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true, "");
  const long seed = arguments["--seed"].asLong();
  const long runs = arguments["--runs"].asLong();
  const PropertyResult result =
    checkAtMostOnce(static_cast<std::uint64_t>(seed), static_cast<int>(runs));
  std::cout << "seed " << seed << ", " << runs << " sequences, "
            << result.executions << " executions";
  for (const auto& [name, count] : result.outcomes) {
    std::cout << ", " << name << " " << count;
  }
  std::cout << "\n" << result.report;
  std::cout << "fuzz-claims: " << (result.holds ? "no violation" : "VIOLATION")
            << "\n";
  return result.holds ? 0 : 1;
}
