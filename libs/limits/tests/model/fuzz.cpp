#include "model/fuzz.h"

#include <rapidcheck.h>
#include <rapidcheck/detail/Property.h>
#include <sstream>

namespace marigold::limits::model {
namespace {

/** Advance and Soak come often, so that budgets move and are used up. */
constexpr Op kChoices[] = {
  Op::Advance,     Op::Advance,      Op::Advance,    Op::Soak,
  Op::Soak,        Op::Soak,         Op::Soak,       Op::Admit,
  Op::Drain,       Op::Refund,       Op::Refund,     Op::Pause,
  Op::Resume,      Op::Resume,       Op::Cut,        Op::Heal,
  Op::Heal,        Op::PlatformDown, Op::PlatformUp, Op::PlatformUp,
  Op::AdvanceLong, Op::Restart,      Op::Replace,    Op::Stop,
  Op::Limits,
};

rc::Gen<Step>
anyStep()
{
  constexpr int kChoiceCount = sizeof(kChoices) / sizeof(kChoices[0]);
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, kChoiceCount),
                                     rc::gen::inRange(0, 32),
                                     rc::gen::inRange(0, 1001)),
                      [](const std::tuple<int, int, int>& aDrawn) {
                        return Step{ kChoices[std::get<0>(aDrawn)],
                                     std::get<1>(aDrawn),
                                     std::get<2>(aDrawn) };
                      });
}

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  constexpr const char* kNames[kOps] = {
    "Advance", "AdvanceLong", "Soak", "Admit",  "Drain",        "Refund",
    "Pause",   "Resume",      "Cut",  "Heal",   "PlatformDown", "PlatformUp",
    "Restart", "Replace",     "Stop", "Limits",
  };
  return aOut << "{Op::" << kNames[static_cast<int>(aStep.op)] << ", "
              << aStep.vm << ", " << aStep.amount << "}";
}

FuzzResult
fuzz(std::uint64_t aSeed, int aRuns, const Without& aWithout)
{
  const auto property = [aWithout] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    const std::string violation = run({ seed, steps, aWithout, Network{}, {} });
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  };
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aRuns;
  rc::detail::TestMetadata metadata;
  metadata.description = "limits seed " + std::to_string(aSeed);
  const auto result = rc::detail::checkTestable(property, metadata, params);
  FuzzResult answer;
  answer.passed = result.template is<rc::detail::SuccessResult>();
  if (!answer.passed) {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    answer.failure = "seed " + std::to_string(aSeed) + "\n" + text.str();
  }
  return answer;
}

} // namespace marigold::limits::model
