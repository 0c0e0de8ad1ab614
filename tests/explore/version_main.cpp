#include "program.h"
#include "version_scenario.h"

namespace marigold::explore {
namespace {

/** Orders that lead to where streams can be joined: a stream that has begun,
 * one whose take-up waits for an answer, one whose upstream has restarted with
 * the other software, one whose question was read by a process that ended, and
 * one that begins at a process whose record is late. */
const std::vector<std::string> kVersionBeginnings{
  "",
  "begin run accept:1 run event:1 run",
  "begin run accept:1 run event:1 run leave:0 run take:0 run",
  "begin run accept:1 run event:1 run restart:0 run",
  ("begin run accept:1 run event:1 run begin run accept:3 run event:3 run "
   "break:1 run read:1 restart:1 run"),
  ("begin run accept:1 run event:1 run restart:0 run leave:0 run fail:0 fail:1 "
   "run accept:2 run begin run refuse:4 run accept:5 run refuse:6 run accept:7 "
   "run refuse:8 run accept:10 run event:10 run"),
};

} // namespace
} // namespace marigold::explore

int
main(int aCount, char** aValues)
{
  using namespace marigold::explore;
  return runProgram<VersionScenario>(
    aCount, aValues, "explore-versions", kVersionBeginnings);
}
