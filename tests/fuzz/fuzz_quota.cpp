/** @file Fuzzes the quotas of small fleets against the users' bound. */
#include "quota_world.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace marigold;

namespace {

constexpr const char* kUsage =
  R"(Fuzzes the quotas of small fleets against the users' bound: in no 8 s more than
(rate x 8 s + burst) x 1.1 + tolerance, over all VMs, under cuts, pauses, restarts
and refunds.

Usage:
  fuzz-quota [--seed N] [--runs N] [--without-usage]
  fuzz-quota (-h | --help)

Options:
  --seed N         Seed of the random sequences [default: 1].
  --runs N         Sequences to run [default: 10000].
  --without-usage  Let reports tell of no usage, to verify that the check detects it.
  -h --help        Show this text.
)";

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  const long seed = arguments["--seed"].asLong();
  const long runs = arguments["--runs"].asLong();
  if (!quota::test::checkRandomFaults(static_cast<std::uint64_t>(seed),
                                      static_cast<int>(runs),
                                      !arguments["--without-usage"].asBool())) {
    std::cout << "fuzz-quota: failed\n";
    return 1;
  }
  std::cout << "fuzz-quota: " << runs << " sequences of seed " << seed
            << " kept the limit\n";
  return 0;
}
