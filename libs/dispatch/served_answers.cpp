#include "dispatch/served_answers.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr base::Duration kPeriod = 500ms;
/** Fewer answers say nothing of an upstream. */
constexpr std::uint32_t kMinAnswers = 4;
/** Share of its answers above which an upstream serves, and the same as a part
 * of the share that its siblings reach. A stream that breaks off has counted as
 * served and as failed. */
constexpr double kMaxServedShare = 0.5;
constexpr double kMaxShareOfSiblings = 0.5;

double
servedShare(const peers::AnswerCounts& aCounts)
{
  const double answers =
    static_cast<double>(aCounts.served) + static_cast<double>(aCounts.failed);
  return answers > 0 ? aCounts.served / answers : 0;
}

} // namespace

base::Duration::rep
ServedAnswers::periodAt(base::TimePoint aTime)
{
  return aTime.time_since_epoch() / kPeriod;
}

void
ServedAnswers::onAnswer(peers::ProcessTag aProcess,
                        Service aService,
                        base::TimePoint aNow)
{
  Window& window = mWindows[aProcess];
  const auto period = periodAt(aNow);
  const auto passed = std::min<base::Duration::rep>(
    std::max<base::Duration::rep>(period - window.latest, 0), kPeriods);
  for (base::Duration::rep i = 0; i < passed; ++i) {
    window.counts.at(static_cast<std::size_t>(period - i) % kPeriods) = {};
  }
  window.latest = std::max(window.latest, period);
  auto& counts =
    window.counts.at(static_cast<std::size_t>(window.latest) % kPeriods);
  ++(aService == Service::Served ? counts.served : counts.failed);
}

peers::AnswerCounts
ServedAnswers::counts(peers::ProcessTag aProcess, base::TimePoint aNow) const
{
  peers::AnswerCounts sum;
  const auto found = mWindows.find(aProcess);
  if (found == mWindows.end()) {
    return sum;
  }
  const Window& window = found->second;
  const auto oldest = std::max<base::Duration::rep>(
    periodAt(aNow) - static_cast<base::Duration::rep>(kPeriods) + 1, 0);
  for (auto period = oldest; period <= window.latest; ++period) {
    const auto& counts =
      window.counts.at(static_cast<std::size_t>(period) % kPeriods);
    sum.served += counts.served;
    sum.failed += counts.failed;
  }
  return sum;
}

void
ServedAnswers::expire(base::TimePoint aNow)
{
  std::erase_if(mWindows, [this, aNow](const auto& aItem) {
    return counts(aItem.first, aNow) == peers::AnswerCounts{};
  });
}

std::set<base::UpstreamName>
impairedUpstreams(
  const std::map<base::UpstreamName, peers::AnswerCounts>& aAnswers)
{
  peers::AnswerCounts all;
  for (const auto& [name, counts] : aAnswers) {
    all.served += counts.served;
    all.failed += counts.failed;
  }
  std::set<base::UpstreamName> impaired;
  for (const auto& [name, counts] : aAnswers) {
    const peers::AnswerCounts siblings{ all.served - counts.served,
                                        all.failed - counts.failed };
    const double share = servedShare(counts);
    if (counts.served + counts.failed >= kMinAnswers &&
        share <= kMaxServedShare && siblings.served > 0 &&
        share <= kMaxShareOfSiblings * servedShare(siblings)) {
      impaired.insert(name);
    }
  }
  return impaired;
}

} // namespace marigold::dispatch
