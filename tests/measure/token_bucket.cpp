#include "tests/measure/token_bucket.h"

#include <algorithm>

namespace marigold::measure {
namespace {

std::int64_t
stepOf(base::TimePoint aTime)
{
  return aTime.time_since_epoch() / kHistoryStep;
}

} // namespace

void
TokenBucket::note()
{
  const std::int64_t number = stepOf(mFilledAt);
  Step& step = mHistory[static_cast<std::size_t>(number) % kSteps];
  const double headroom = std::max(0.0, mCapacity - mLevel);
  if (step.number != number) {
    step = { number, headroom };
    return;
  }
  step.headroom = std::min(step.headroom, headroom);
}

void
TokenBucket::fill(base::TimePoint aNow)
{
  if (aNow > mFilledAt) {
    const double earned = mRate * base::inSeconds(aNow - mFilledAt);
    mLevel = std::min(mCapacity, mLevel + earned);
    mFilledAt = aNow;
  }
  note();
}

void
TokenBucket::resize(double aRate, double aCapacity)
{
  mRate = aRate;
  mCapacity = aCapacity;
  mLevel = std::min(mLevel, mCapacity);
  note();
}

bool
TokenBucket::take(double aCost)
{
  if (aCost > mLevel) {
    return false;
  }
  mLevel -= aCost;
  return true;
}

void
TokenBucket::add(double aTokens)
{
  mLevel = std::min(mCapacity, mLevel + aTokens);
  note();
}

double
TokenBucket::refund(base::TimePoint aChargedAt, double aUnused)
{
  const std::int64_t last = stepOf(mFilledAt);
  const std::int64_t first = stepOf(aChargedAt);
  if (last - first >= static_cast<std::int64_t>(kSteps) || aUnused <= 0) {
    return 0;
  }
  // Replays the steps with the unused part never charged: what exceeds the
  // headroom of a step would have been lost there, and the headroom that later
  // refunds may use shrinks by the rest.
  double extra = aUnused;
  for (std::int64_t number = first; number <= last; ++number) {
    Step& step = mHistory[static_cast<std::size_t>(number) % kSteps];
    if (step.number == number) {
      extra = std::min(extra, step.headroom);
      step.headroom -= extra;
    }
  }
  mLevel += extra;
  return extra;
}

} // namespace marigold::measure
