#include "program.h"
#include "scenario.h"

namespace marigold::explore {
namespace {

/** Orders that lead to where most faults were: an idle connection that has had
 * an answer, a request at an upstream, a stream before and after its beginning,
 * planned stops of these, and answers to callers that do not read. */
const std::vector<std::string> kBeginnings{
  "",
  "connect send:0 run accept:1 run answer:1 run",
  "connect send:0 run accept:1 run",
  ("connect send:0 run accept:1 run answer:1 run send:0 run answer:1 run "
   "send:0 "
   "run part:1 run"),
  "connect send:0 run accept:1 run answer:1 run stop:0",
  ("connect send:0 run accept:1 run answer:1 run send:0 run answer:1 run "
   "send:0 "
   "run part:1 run stop:0 wait run wait run wait run"),
  ("connect send:0 run accept:1 run answer:1 run send:0 run answer:1 run "
   "send:0 run"),
  "connect send:0 run accept:1 run stop:0 pause:0 answer:1 run",
  ("connect send:0 run accept:1 run answer:1 run send:0 run answer:1 run "
   "large:0 run pause:0 part:1 run"),
};

} // namespace
} // namespace marigold::explore

int
main(int aCount, char** aValues)
{
  using namespace marigold::explore;
  return runProgram<Scenario>(aCount, aValues, "explore", kBeginnings);
}
