/** @file Fuzzes the team limits against a single exact token bucket. */
#include "model/fuzz.h"

#include <docopt/docopt.h>
#include <iostream>
#include <map>

using namespace marigold;

namespace {

constexpr const char* kUsage =
  R"(Fuzzes the team limits against a single exact token bucket.

Usage:
  fuzz-limits [--seed N] [--runs N] [--without NAME]
  fuzz-limits (-h | --help)

Options:
  --seed N   Seed of the random sequences [default: 1].
  --runs N   Sequences to run [default: 10000].
  --without NAME  Disable a mechanism to verify that the check detects it:
             deduct, grant-ids, validity, reclaim-margin, refund-clipping,
             zero-tokens or settling.
  -h --help  Show this text.
)";

/** @param aName value of --without @return the mechanism to disable */
limits::model::Without
readWithout(const std::string& aName)
{
  limits::model::Without without;
  const std::map<std::string, bool*> names = {
    { "deduct", &without.deduct },
    { "grant-ids", &without.grantIds },
    { "validity", &without.validity },
    { "reclaim-margin", &without.reclaimMargin },
    { "refund-clipping", &without.refundClipping },
    { "zero-tokens", &without.zeroTokens },
    { "settling", &without.settling },
  };
  *names.at(aName) = true;
  return without;
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  const long seed = arguments["--seed"].asLong();
  const long runs = arguments["--runs"].asLong();
  limits::model::Without without;
  if (arguments["--without"]) {
    without = readWithout(arguments["--without"].asString());
  }
  const limits::model::FuzzResult result = limits::model::fuzz(
    static_cast<std::uint64_t>(seed), static_cast<int>(runs), without);
  if (!result.passed) {
    std::cout << result.failure << "\nfuzz-limits: failed\n";
    return 1;
  }
  std::cout << "fuzz-limits: " << runs << " sequences of seed " << seed
            << " kept the limit\n";
  return 0;
}
