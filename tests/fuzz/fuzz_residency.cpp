/** @file Fuzzes the plans and orders of the residency library against engines
 * that answer late, lose answers, execute orders late, err and restart. */
#include "residency_world.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace marigold;

namespace {

constexpr const char* kUsage =
  R"(Fuzzes the plans and orders of the owner of orders: no engine is ordered to hold
more than it can or to unload a model in use that no other engine serves, unless
another model has waited for long, and each model is loaded once its callers wait
and nothing fails.

Usage:
  fuzz-residency [--seed N] [--runs N] [--without-order-count]
  fuzz-residency (-h | --help)

Options:
  --seed N               Seed of the first sequence; the next ones follow it [default: 1].
  --runs N               Sequences to run [default: 10000].
  --without-order-count  Let engines ignore the order count that orders expect, to verify
                         that the check detects it.
  -h --help              Show this text.
)";

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  const auto first = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  const auto runs = static_cast<std::uint64_t>(arguments["--runs"].asLong());
  const bool checksCount = !arguments["--without-order-count"].asBool();
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const std::string fault =
      residency::test::runSequence({ seed, checksCount });
    if (!fault.empty()) {
      std::cout << "fuzz-residency: seed " << seed << ": " << fault << "\n";
      return 1;
    }
  }
  std::cout << "fuzz-residency: " << runs << " sequences from seed " << first
            << " held all promises\n";
  return 0;
}
