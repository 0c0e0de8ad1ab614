#include "placement/tests/world_property.h"

#include "placement/tests/world.h"

#include <array>
#include <cstdlib>
#include <rapidcheck.h>

namespace marigold::placement::test {
namespace {

constexpr std::array kStrategies{ "forecast", "lru", "static" };
constexpr int kMostWaitTenths = 60;

rc::Gen<Step>
anyStep()
{
  return rc::gen::apply(
    [](int aFault, int aTarget, int aWait) {
      return Step{ static_cast<Fault>(aFault), aTarget, aWait };
    },
    rc::gen::inRange(0, static_cast<int>(Fault::Count)),
    rc::gen::inRange(0, 6),
    rc::gen::inRange(0, kMostWaitTenths));
}

} // namespace

bool
checkRandomFaults(std::uint64_t aSeed, int aRuns)
{
  const std::string parameters = "seed=" + std::to_string(aSeed) +
                                 " max_success=" + std::to_string(aRuns) +
                                 " max_size=80";
  setenv("RC_PARAMS", parameters.c_str(), 1);
  return rc::check("random faults break no promise of placement", [] {
    WorldOptions options;
    options.seed = *rc::gen::arbitrary<std::uint16_t>().as("world seed");
    options.strategy = *rc::gen::elementOf(kStrategies).as("strategy");
    const auto steps =
      *rc::gen::container<std::vector<Step>>(anyStep()).as("steps");
    World world(options);
    world.run(steps);
    if (world.violation().empty()) {
      world.recover();
    }
    if (!world.violation().empty()) {
      RC_FAIL(world.violation());
    }
  });
}

} // namespace marigold::placement::test
