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
constexpr double kPriorBad = 0.2;
constexpr double kMinUsualShare = 0.02;
constexpr double kMaxUsualShare = 0.9;
/** Share of bad answers of an upstream in trouble above the usual one. */
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
/** Share of the latest answers of an upstream that puts it in doubt for this,
 * also if its siblings have no answers to compare with. */
constexpr double kCommonShare = 0.5;

/** Rejections in a row: a single one may have a reason that this VM has not
 * heard of yet, as the unload of a model. */
constexpr unsigned kMinRejections = 2;
/** By how much the share of bad answers must differ for an upstream to take
 * the place of another among those avoided. */
constexpr double kMinShareGap = 0.2;

constexpr Evidence kKinds[] = { Evidence::Error, Evidence::Rejection };

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

bool
speaksAgainstUpstream(const RejectionFacts& aFacts)
{
  return aFacts.hasRoom && !aFacts.othersWait && !aFacts.namesTime &&
         !aFacts.brittle && !aFacts.deadlineNear && !aFacts.byPeer &&
         !aFacts.modelLeaves;
}

bool
UpstreamErrors::State::doubtful(Evidence aKind) const
{
  return avoidedFor == aKind || record(aKind).score >= kDoubtScore;
}

/** Its next answers alone decide. */
void
UpstreamErrors::State::restore()
{
  if (avoidedFor) {
    record(*avoidedFor).answers = 0;
    record(*avoidedFor).bad = 0;
  }
  avoidedFor.reset();
}

void
UpstreamErrors::decay(State& aState, base::TimePoint aNow)
{
  if (aNow <= aState.at) {
    return;
  }
  const double kept = fade(aState.at, aNow, kMemorySeconds);
  for (const Evidence kind : kKinds) {
    Record& record = aState.record(kind);
    record.answers *= kept;
    record.bad *= kept;
    record.score *=
      fade(aState.at,
           aNow,
           aState.avoidedFor == kind ? kAvoidedScoreSeconds : kScoreSeconds);
  }
  aState.at = aNow;
  if (aState.avoidedFor &&
      aState.record(*aState.avoidedFor).score < aState.restoreScore) {
    aState.restore();
  }
}

/** Upstreams that are avoided do not show what is usual. */
UpstreamErrors::Siblings
UpstreamErrors::siblings(const Service& aService,
                         const base::UpstreamName& aUpstream,
                         Evidence aKind,
                         base::TimePoint aNow)
{
  Siblings all;
  double bad = 0;
  for (const auto& [name, state] : aService) {
    if (name == aUpstream) {
      continue;
    }
    State now = state;
    decay(now, aNow);
    ++all.total;
    all.avoided += now.avoidedFor ? 1 : 0;
    const double recent = now.record(aKind).share *
                          fade(std::min(state.at, aNow), aNow, kScoreSeconds);
    all.doubtful += now.doubtful(aKind) || recent >= kCommonShare ? 1 : 0;
    if (!now.avoidedFor) {
      all.answers += now.record(aKind).answers;
      bad += now.record(aKind).bad;
    }
  }
  all.usual = std::clamp((bad + kPriorBad) / (all.answers + kPriorAnswers),
                         kMinUsualShare,
                         kMaxUsualShare);
  return all;
}

void
UpstreamErrors::avoid(State& aState, Evidence aKind, base::TimePoint aNow)
{
  aState.avoidedFor = aKind;
  aState.pause = std::min(
    kMaxPause, kMinPause * (1U << std::min(aState.avoidances, kMaxDoublings)));
  ++aState.avoidances;
  aState.nextTrial = aNow + aState.pause;
  aState.trialServed = false;
}

/** Changes the score of one kind by an answer. */
void
UpstreamErrors::weigh(State& aState,
                      const Siblings& aSiblings,
                      Evidence aKind,
                      bool aBad)
{
  Record& record = aState.record(aKind);
  if (aSiblings.answers < kMinSiblingAnswers) {
    record.score = 0;
    return;
  }
  const double usual = aSiblings.usual;
  const double excess = std::min(kMaxShare, usual + kExcessShare);
  const double assumed = aState.avoidedFor == aKind
                           ? std::clamp(record.share, excess, kMaxShare)
                           : excess;
  record.score +=
    aBad ? std::log(assumed / usual) : std::log((1 - assumed) / (1 - usual));
  record.score =
    std::clamp(record.score, 0.0, avoidScore(usual) + kMaxExcessScore);
}

/** Takes note of the answer of an upstream that stays avoided. */
void
UpstreamErrors::weighTrial(State& aState, bool aServed, base::TimePoint aNow)
{
  aState.pause = aServed
                   ? kPauseAfterSuccess
                   : std::min(kMaxPause, std::max(kMinPause, aState.pause * 2));
  aState.nextTrial = aNow + (aServed ? base::Duration::zero() : aState.pause);
  aState.trialServed = aServed;
}

/** Gives up the avoidance of an upstream with a clearly smaller share of bad
 * answers, if there is one. @return true if there is */
bool
UpstreamErrors::restoreBetterOne(Service& aService,
                                 double aShare,
                                 base::TimePoint aNow)
{
  State* best = nullptr;
  double least = aShare - kMinShareGap;
  for (auto& [name, state] : aService) {
    decay(state, aNow);
    if (state.avoidedFor) {
      const double share = state.record(*state.avoidedFor).share;
      if (share < least) {
        best = &state;
        least = share;
      }
    }
  }
  if (best != nullptr) {
    best->restore();
  }
  return best != nullptr;
}

/** @return true if the cause of this kind is a common one */
bool
UpstreamErrors::update(Service& aService,
                       const base::UpstreamName& aUpstream,
                       Evidence aKind,
                       bool aBad,
                       base::TimePoint aNow)
{
  State& state = aService[aUpstream];
  Record& record = state.record(aKind);
  record.answers += 1;
  record.bad += aBad ? 1 : 0;
  record.share += kAnswerWeight * ((aBad ? 1 : 0) - record.share);
  record.badInARow = aBad ? record.badInARow + 1 : 0;
  if (!aBad && record.score <= 0) {
    return false;
  }
  const Siblings all = siblings(aService, aUpstream, aKind, aNow);
  weigh(state, all, aKind, aBad);
  const bool common =
    static_cast<double>(all.doubtful) + (record.score >= kDoubtScore ? 1 : 0) >
    static_cast<double>(all.total) * kCommonCauseShare;
  const double threshold = avoidScore(all.usual);
  if (state.avoidedFor == aKind) {
    // Its siblings may have shown meanwhile that this is usual.
    state.restoreScore = threshold * kRestoreFraction;
    if (common || record.score < state.restoreScore) {
      state.restore();
    } else {
      weighTrial(state, !aBad, aNow);
    }
    return common;
  }
  if (state.avoidedFor || common || record.score < threshold ||
      (aKind == Evidence::Rejection && record.badInARow < kMinRejections)) {
    return common;
  }
  if ((all.avoided + 1) * 2 > all.total &&
      !restoreBetterOne(aService, record.share, aNow)) {
    return common;
  }
  state.restoreScore = threshold * kRestoreFraction;
  avoid(state, aKind, aNow);
  return common;
}

UpstreamErrors::Change
UpstreamErrors::onAnswer(const catalog::ServiceName& aService,
                         const base::UpstreamName& aUpstream,
                         Answer aAnswer,
                         base::TimePoint aNow)
{
  Service& service = mServices[aService];
  State& state = service[aUpstream];
  const bool wasAvoided = state.avoidedFor.has_value();
  decay(state, aNow);
  for (const Evidence kind : kKinds) {
    if (kind == Evidence::Error && aAnswer == Answer::Rejection) {
      continue; // It has not run, so it tells nothing of errors.
    }
    const bool bad = kind == Evidence::Error ? aAnswer == Answer::Error
                                             : aAnswer == Answer::Rejection;
    if (update(service, aUpstream, kind, bad, aNow)) {
      for (auto& [name, sibling] : service) {
        if (sibling.avoidedFor == kind) {
          sibling.restore();
        }
      }
    }
  }
  const bool quiet =
    std::all_of(state.records.begin(),
                state.records.end(),
                [](const Record& aRecord) { return aRecord.score <= 0; });
  state.avoidances = quiet ? 0 : state.avoidances;
  if (state.avoidedFor.has_value() == wasAvoided) {
    return Change::None;
  }
  return wasAvoided ? Change::Restored : Change::Avoided;
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
  if (found != service->second.end() && found->second.avoidedFor) {
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
  if (found == nullptr || !found->avoidedFor) {
    return false;
  }
  State state = *found;
  decay(state, aNow);
  const bool suits =
    aRepetition == Repetition::Allowed ||
    (state.avoidedFor == Evidence::Rejection && state.trialServed);
  const base::Duration wait =
    suits ? base::Duration::zero() : kMaxWaitForRepeatable;
  return state.avoidedFor && aNow < state.nextTrial + wait;
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
  return now.avoidedFor || now.doubtful(Evidence::Error) ||
         now.doubtful(Evidence::Rejection);
}

UpstreamErrors::Shares
UpstreamErrors::shares(const catalog::ServiceName& aService,
                       const base::UpstreamName& aUpstream,
                       Evidence aKind,
                       base::TimePoint aNow) const
{
  Shares found;
  const auto service = mServices.find(aService);
  if (service != mServices.end()) {
    found.usual = siblings(service->second, aUpstream, aKind, aNow).usual;
  }
  if (const State* state = find(aService, aUpstream)) {
    State now = *state;
    decay(now, aNow);
    found.own = now.record(aKind).share;
    found.avoided = now.avoidedFor == aKind;
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
