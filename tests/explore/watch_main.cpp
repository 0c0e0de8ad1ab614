#include "program.h"
#include "watch_scenario.h"

namespace marigold::explore {
namespace {

/** Orders that lead to where a view can go wrong: a watch that waits at the
 * store, one that waits at a relay, one with a copy of the store to come back
 * from, and one whose relay is behind. */
const std::vector<std::string> kWatchBeginnings{
  "",
  "answer:0",
  "relay:0 answer:0",
  "copy:0 write:0 answer:0 write:1",
  "relay:0 answer:0 write:0 answer:0 wait:0",
  "answer:0 write:0 remove:0 answer:0 wait:0 relay:0",
};

} // namespace
} // namespace marigold::explore

int
main(int aCount, char** aValues)
{
  using namespace marigold::explore;
  return runProgram<WatchScenario>(
    aCount, aValues, "explore-watches", kWatchBeginnings);
}
