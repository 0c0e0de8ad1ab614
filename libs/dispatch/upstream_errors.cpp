#include "dispatch/upstream_errors.h"

#include <algorithm>
#include <cmath>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Time constant of the counts from which the usual share is learnt. */
constexpr double kMemorySeconds = 60;
/** Time constant of a score, so that an upstream that gets few requests is not
 * held to an old error. */
constexpr double kScoreSeconds = 20;
/** The same while it is avoided, when trials are rare. */
constexpr double kAvoidedScoreSeconds = 5;
/** What is assumed of a service before its answers show it, as a count. */
constexpr double kPriorAnswers = 10;
constexpr double kPriorErrors = 0.2;
constexpr double kMinUsualShare = 0.02;
constexpr double kMaxUsualShare = 0.9;
/** Share of errors of an upstream in trouble above the usual one. */
constexpr double kExcessShare = 0.35;
constexpr double kMaxShare = 0.95;
/** Weight of the newest answer in the moving average of an upstream. */
constexpr double kAnswerWeight = 0.15;
/** Answers of siblings without which nothing is usual. */
constexpr double kMinSiblingAnswers = 3;
/** Score at which an upstream is avoided, where errors are rare and where they
 * are usual. One error says much where there are none, and a sound upstream is
 * avoided as rarely as it errs; where many requests fail, errors of sound ones
 * come in a row, too. */
constexpr double kMinAvoidScore = 2.9;
constexpr double kMaxAvoidScore = 7;
constexpr double kUsualShareOfMaxScore = 0.12;
/** Scores at which an upstream has shown that it is sound again, as a fraction
 * of the one above, and may be at fault for its latest error. */
constexpr double kMaxExcessScore = 1.5;
constexpr double kRestoreFraction = 0.6;
constexpr double kDoubtScore = 2.9;
/** Pauses between trials. */
constexpr base::Duration kMinPause = 500ms;
constexpr base::Duration kMaxPause = 1s;
constexpr base::Duration kPauseAfterSuccess = 200ms;
constexpr unsigned kMaxDoublings = 1;
/** A request that may not be repeated is a trial only if no other has come. */
constexpr base::Duration kMaxWaitForRepeatable = 1s;
/** Fraction of a service's upstreams in doubt at which the cause is a common
 * one. */
constexpr double kCommonCauseShare = 2.0 / 3;

double
fade(base::TimePoint aFrom, base::TimePoint aTo, double aSeconds)
{
  return std::exp(-base::inSeconds(aTo - aFrom) / aSeconds);
}

/** @return score at which an upstream is avoided beside siblings with this
 * share of errors */
double
avoidScore(double aUsualShare)
{
  const double part =
    (aUsualShare - kMinUsualShare) / (kUsualShareOfMaxScore - kMinUsualShare);
  return std::clamp(kMinAvoidScore + part * (kMaxAvoidScore - kMinAvoidScore),
                    kMinAvoidScore,
                    kMaxAvoidScore);
}

} // namespace

void
UpstreamErrors::decay(State& aState, base::TimePoint aNow)
{
  if (aNow <= aState.at) {
    return;
  }
  const double kept = fade(aState.at, aNow, kMemorySeconds);
  aState.answers *= kept;
  aState.errors *= kept;
  aState.score *= fade(
    aState.at, aNow, aState.avoided ? kAvoidedScoreSeconds : kScoreSeconds);
  aState.at = aNow;
  if (aState.avoided && aState.score < aState.restoreScore) {
    // Its next answers alone decide.
    aState.avoided = false;
    aState.answers = 0;
    aState.errors = 0;
  }
}

/** Upstreams that are avoided do not show what is usual. */
UpstreamErrors::Siblings
UpstreamErrors::siblings(const Service& aService,
                         const base::UpstreamName& aUpstream,
                         base::TimePoint aNow)
{
  Siblings all;
  double errors = 0;
  for (const auto& [name, state] : aService) {
    if (name == aUpstream) {
      continue;
    }
    State now = state;
    decay(now, aNow);
    ++all.total;
    all.avoided += now.avoided ? 1 : 0;
    all.doubtful += now.avoided || now.score >= kDoubtScore ? 1 : 0;
    if (!now.avoided) {
      all.answers += now.answers;
      errors += now.errors;
    }
  }
  all.usual =
    std::clamp((errors + kPriorErrors) / (all.answers + kPriorAnswers),
               kMinUsualShare,
               kMaxUsualShare);
  return all;
}

void
UpstreamErrors::avoid(State& aState, base::TimePoint aNow)
{
  aState.avoided = true;
  aState.pause = std::min(
    kMaxPause, kMinPause * (1U << std::min(aState.avoidances, kMaxDoublings)));
  ++aState.avoidances;
  aState.nextTrial = aNow + aState.pause;
}

UpstreamErrors::Change
UpstreamErrors::onAnswer(const catalog::ServiceName& aService,
                         const base::UpstreamName& aUpstream,
                         bool aError,
                         base::TimePoint aNow)
{
  Service& service = mServices[aService];
  State& state = service[aUpstream];
  const bool wasAvoided = state.avoided;
  decay(state, aNow);
  const bool returned = wasAvoided && !state.avoided;
  state.answers += 1;
  state.errors += aError ? 1 : 0;
  state.share += kAnswerWeight * ((aError ? 1 : 0) - state.share);
  if (!aError && state.score <= 0) {
    return returned ? Change::Restored : Change::None;
  }
  const Siblings all = siblings(service, aUpstream, aNow);
  const double threshold = avoidScore(all.usual);
  if (all.answers < kMinSiblingAnswers) {
    state.score = 0;
  } else {
    const double excess = std::min(kMaxShare, all.usual + kExcessShare);
    const double assumed =
      state.avoided ? std::clamp(state.share, excess, kMaxShare) : excess;
    state.score += aError ? std::log(assumed / all.usual)
                          : std::log((1 - assumed) / (1 - all.usual));
    state.score = std::clamp(state.score, 0.0, threshold + kMaxExcessScore);
  }
  if (state.score <= 0) {
    state.avoidances = 0;
  }
  const auto total = static_cast<double>(all.total);
  const auto doubtful =
    static_cast<double>(all.doubtful) + (state.score >= kDoubtScore ? 1 : 0);
  const bool common = doubtful > total * kCommonCauseShare;
  if (state.avoided) {
    if (common || state.score < state.restoreScore) {
      state.avoided = false;
      state.answers = 0;
      state.errors = 0;
      return Change::Restored;
    }
    state.pause = aError
                    ? std::min(kMaxPause, std::max(kMinPause, state.pause * 2))
                    : kPauseAfterSuccess;
    state.nextTrial = aNow + (aError ? state.pause : base::Duration::zero());
    return Change::None;
  }
  const bool mayAvoid = (all.avoided + 1) * 2 <= all.total && !common;
  if (state.score < threshold || !mayAvoid) {
    return returned ? Change::Restored : Change::None;
  }
  state.restoreScore = threshold * kRestoreFraction;
  avoid(state, aNow);
  return returned ? Change::None : Change::Avoided;
}

const UpstreamErrors::State*
UpstreamErrors::find(const catalog::ServiceName& aService,
                     const base::UpstreamName& aUpstream) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return nullptr;
  }
  const auto found = service->second.find(aUpstream);
  return found == service->second.end() ? nullptr : &found->second;
}

void
UpstreamErrors::onSent(const catalog::ServiceName& aService,
                       const base::UpstreamName& aUpstream,
                       base::TimePoint aNow)
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return;
  }
  const auto found = service->second.find(aUpstream);
  if (found != service->second.end() && found->second.avoided) {
    found->second.nextTrial = aNow + found->second.pause;
  }
}

bool
UpstreamErrors::avoided(const catalog::ServiceName& aService,
                        const base::UpstreamName& aUpstream,
                        Repetition aRepetition,
                        base::TimePoint aNow) const
{
  const State* found = find(aService, aUpstream);
  if (found == nullptr || !found->avoided) {
    return false;
  }
  State state = *found;
  decay(state, aNow);
  const base::Duration wait = aRepetition == Repetition::Allowed
                                ? base::Duration::zero()
                                : kMaxWaitForRepeatable;
  return state.avoided && aNow < state.nextTrial + wait;
}

bool
UpstreamErrors::doubtful(const catalog::ServiceName& aService,
                         const base::UpstreamName& aUpstream,
                         base::TimePoint aNow) const
{
  const State* state = find(aService, aUpstream);
  if (state == nullptr) {
    return false;
  }
  State now = *state;
  decay(now, aNow);
  return now.avoided || now.score >= kDoubtScore;
}

UpstreamErrors::Shares
UpstreamErrors::shares(const catalog::ServiceName& aService,
                       const base::UpstreamName& aUpstream,
                       base::TimePoint aNow) const
{
  Shares found;
  const auto service = mServices.find(aService);
  if (service != mServices.end()) {
    found.usual = siblings(service->second, aUpstream, aNow).usual;
  }
  if (const State* state = find(aService, aUpstream)) {
    State now = *state;
    decay(now, aNow);
    found.own = now.share;
    found.avoided = now.avoided;
  }
  return found;
}

void
UpstreamErrors::erase(const base::UpstreamName& aUpstream)
{
  for (auto& [name, service] : mServices) {
    service.erase(aUpstream);
  }
}

} // namespace marigold::dispatch
