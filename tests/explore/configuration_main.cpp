#include "configuration_scenario.h"
#include "program.h"

namespace marigold::explore {
namespace {

/** Orders that lead to where versions meet: none yet, one in the middle of its
 * slices, one in force with the next in the middle, and two that wait. */
const std::vector<std::string> kConfigurationBeginnings{
  "",
  "change:1 slice:0",
  "change:1 slice:0 slice:0 slice:0 slice:0 slice:0 change:1 slice:0",
  "change:1 change:0 slice:0 peer:1",
};

} // namespace
} // namespace marigold::explore

int
main(int aCount, char** aValues)
{
  using namespace marigold::explore;
  return runProgram<ConfigurationScenario>(
    aCount, aValues, "explore-configurations", kConfigurationBeginnings);
}
