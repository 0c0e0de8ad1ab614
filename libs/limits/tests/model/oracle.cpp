#include "model/oracle.h"

#include <algorithm>
#include <sstream>

namespace marigold::limits::model {
namespace {

/** Rounding of the sums of shares, in tokens. */
constexpr double kTolerance = 1e-3;

Bound
inForce(const std::vector<Bound>& aBounds, double aAt)
{
  Bound largest;
  for (const Bound& bound : aBounds) {
    if (bound.from <= aAt && aAt <= bound.until) {
      largest.rate = std::max(largest.rate, bound.rate);
      largest.burst = std::max(largest.burst, bound.burst);
    }
  }
  return largest;
}

} // namespace

std::size_t
Oracle::admitted(double aAt, double aCost)
{
  mAdmissions.push_back({ aAt, aCost });
  return mAdmissions.size() - 1;
}

void
Oracle::refunded(std::size_t aIndex, double aTokens)
{
  mAdmissions[aIndex].net -= aTokens;
}

double
Oracle::total() const
{
  double sum = 0;
  for (const Admission& admission : mAdmissions) {
    sum += admission.net;
  }
  return sum;
}

Oracle::Excess
Oracle::excess(const std::vector<Bound>& aBounds) const
{
  // A zero charge at each change of a bound lets the bucket follow it.
  std::vector<Admission> events = mAdmissions;
  for (const Bound& bound : aBounds) {
    events.push_back({ bound.from, 0 });
    events.push_back({ bound.until, 0 });
  }
  std::stable_sort(events.begin(),
                   events.end(),
                   [](const Admission& aLeft, const Admission& aRight) {
                     return aLeft.at < aRight.at;
                   });
  Excess largest;
  double level = aBounds.front().burst;
  double filledAt = 0;
  for (const Admission& event : events) {
    // Both ends of the interval, because a bound can begin or end there.
    const Bound before = inForce(aBounds, (filledAt + event.at) / 2);
    const Bound now = inForce(aBounds, event.at);
    level = std::min(std::max(before.burst, now.burst),
                     level + before.rate * (event.at - filledAt));
    filledAt = event.at;
    level -= event.net;
    if (-level > largest.tokens) {
      largest = { event.at, -level };
    }
  }
  return largest;
}

std::string
Oracle::violation(const std::vector<Bound>& aBounds) const
{
  const Excess largest = excess(aBounds);
  if (largest.tokens <= kTolerance) {
    return {};
  }
  std::ostringstream text;
  text << "at " << largest.at << " s the fleet has admitted " << largest.tokens
       << " tokens more than the exact bucket";
  return text.str();
}

} // namespace marigold::limits::model
