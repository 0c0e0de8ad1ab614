/** @file Generation, checking and shrinking of sequences with rapidcheck. */
#include "property.h"

#include <rapidcheck.h>
#include <sstream>

namespace marigold::claims::testing {
namespace {

/** Lengthens the sequences of rapidcheck, which have up to 100 steps. */
constexpr double kLength = 1.5;

/** Requests and time are frequent; faults come in between. */
rc::Gen<Step>
anyStep()
{
  const auto kind = rc::gen::weightedElement<StepKind>({
    { 10, StepKind::Request },
    { 10, StepKind::Advance },
    { 2, StepKind::Kill },
    { 3, StepKind::Restart },
    { 2, StepKind::Pause },
    { 3, StepKind::Resume },
    { 2, StepKind::Cut },
    { 1, StepKind::Heal },
    { 3, StepKind::Platform },
    { 1, StepKind::Network },
  });
  return rc::gen::build<Step>(
    rc::gen::set(&Step::kind, kind),
    rc::gen::set(&Step::first, rc::gen::inRange(0, 60)),
    rc::gen::set(&Step::second, rc::gen::inRange(0, 60)));
}

} // namespace

std::string
runSteps(std::uint64_t aSeed,
         const std::vector<Step>& aSteps,
         Disabled aDisabled)
{
  World world(aSeed, aDisabled);
  for (const Step& step : aSteps) {
    world.apply(step);
  }
  world.settle();
  return world.violation();
}

PropertyResult
checkAtMostOnce(std::uint64_t aSeed, int aRuns, Disabled aDisabled)
{
  PropertyResult result;
  const auto property = [&] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000);
    const auto steps = *rc::gen::scale(
      kLength, rc::gen::container<std::vector<Step>>(anyStep()));
    World world(seed, aDisabled);
    for (const Step& step : steps) {
      world.apply(step);
    }
    world.settle();
    result.executions += world.executions();
    for (const auto& [name, count] : world.outcomes()) {
      result.outcomes[name] += count;
    }
    if (!world.violation().empty()) {
      std::ostringstream text;
      text << world.violation() << "; seed of delays " << seed << ", steps";
      for (const Step& step : steps) {
        text << " " << step;
      }
      RC_FAIL(text.str());
    }
  };
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aRuns;
  const auto outcome =
    rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  rc::detail::SuccessResult success;
  result.holds = outcome.match(success);
  if (!result.holds) {
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    result.report = text.str();
  }
  return result;
}

} // namespace marigold::claims::testing
