#include "apps/entry/claim_service.h"

#include "apps/entry/claim_wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using claims::Verdict;
using nlohmann::json;

/** Granularity of hedges and timeouts while attempts are undecided. */
constexpr base::Duration kTick = std::chrono::milliseconds(10);

constexpr base::Duration kRetryPeriod = std::chrono::milliseconds(500);

/** A voter that has not acknowledged an end after this many messages keeps the
 * claim as unknown, which is safe. */
constexpr int kMostSends = 20;

/** A claim reads as unknown this long after its request's deadline. */
constexpr base::Duration kDeadlineMargin = std::chrono::seconds(1);

/** Claim writes per second of the whole fleet; the platform takes several
 * hundred writes a second for all purposes. */
constexpr double kFleetClaimWrites = 100;

/** A member that did not answer in time is not waited for as long as this. */
constexpr base::Duration kSilentFor = std::chrono::seconds(2);

/** VMs of a data centre that are asked who the members of its group are. */
constexpr std::size_t kMostInformants = 4;

/** Time that a planned stop waits for the voters. */
constexpr base::Duration kFinishFor = std::chrono::seconds(1);

} // namespace

struct ClaimService::Attempt
{
  claims::AttemptId id;
  claims::ClaimKey key;
  base::DataCentre home;
  base::TimePoint deadline;
  claims::Coordinator coordinator;
  Decided decided;
  bool platformAsked = false;
  bool platformAnswered = false;
  bool closed = false;
  bool released = false;
};

ClaimService::ClaimService(http::Loop& aLoop,
                           const Settings& aSettings,
                           base::Incarnation aIncarnation,
                           PeerLink& aPeers,
                           platform::Client& aPlatform,
                           membership::Membership& aMembership,
                           Configuration& aConfiguration,
                           observe::Metrics& aMetrics)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mMembership(aMembership)
  , mConfiguration(aConfiguration)
  , mMetrics(aMetrics)
  , mStore(aPlatform)
  , mVoting(aLoop,
            aSettings,
            aIncarnation,
            mTerms,
            aPeers,
            mStore,
            aMembership,
            aMetrics)
{
}

void
ClaimService::start()
{
  mVoting.onVote([this](const base::VmName& aFrom, const json& aBody) {
    onVote(aFrom, aBody);
  });
  mVoting.start();
  mRetry = mLoop.every(kRetryPeriod, [this] { retryClosing(); });
  mConfiguration.changed().connect([this] { updateBudget(); });
}

void
ClaimService::updateBudget()
{
  int slots = 0;
  for (const auto& dataCentre : mConfiguration.manifest().dataCentres) {
    slots += dataCentre.entrySlots;
  }
  mStore.setBudget(kFleetClaimWrites / std::max(slots, 1));
}

base::DataCentre
ClaimService::homeOf(const claims::ClaimKey& aKey,
                     const std::string& aIdempotencyKey) const
{
  const std::string named =
    aIdempotencyKey.substr(0, aIdempotencyKey.find('/'));
  std::vector<std::string> names;
  for (const auto& dataCentre : mConfiguration.manifest().dataCentres) {
    if (dataCentre.name == named && named.size() < aIdempotencyKey.size()) {
      return named;
    }
    names.push_back(dataCentre.name);
  }
  names = base::rendezvousOrder(aKey, std::move(names));
  return names.empty() ? mSettings.dataCentre : names.front();
}

std::set<base::VmName>
ClaimService::silentMembers(const base::DataCentre& aHome,
                            const claims::GroupRecord& aRecord,
                            base::TimePoint aNow)
{
  std::set<base::VmName> silent;
  for (const auto& [vm, member] : aRecord.members) {
    const membership::PeerState state = mMembership.state(vm, aNow);
    const auto noted = mSilentUntil.find(vm);
    if (noted != mSilentUntil.end()) {
      if (aNow < noted->second) {
        silent.insert(vm);
        continue;
      }
      mSilentUntil.erase(noted);
    }
    // VMs of other data centres are not heard from regularly.
    const bool expected = aHome == mSettings.dataCentre;
    if (vm != mSettings.vm &&
        (state == membership::PeerState::Gone ||
         (expected && state != membership::PeerState::Alive))) {
      silent.insert(vm);
    }
  }
  return silent;
}

std::vector<base::VmName>
ClaimService::someVms(const base::DataCentre& aHome) const
{
  std::vector<base::VmName> vms;
  if (aHome == mSettings.dataCentre) {
    vms.push_back(mSettings.vm);
  }
  for (const auto& [vm, peer] : mMembership.peers()) {
    if (peer.last.dataCentre == aHome && vms.size() < kMostInformants) {
      vms.push_back(vm);
    }
  }
  return vms;
}

void
ClaimService::begin(const ClaimRequest& aRequest, Decided aDecided)
{
  const base::TimePoint now = base::monotonicNow();
  const json parts = { aRequest.team, aRequest.route, aRequest.idempotencyKey };
  const claims::ClaimKey key =
    base::sha256Hex(parts.dump(-1, ' ', false, json::error_handler_t::replace));
  const auto attempt =
    std::make_shared<Attempt>(Attempt{ aRequest.attempt,
                                       key,
                                       homeOf(key, aRequest.idempotencyKey),
                                       aRequest.deadline,
                                       claims::Coordinator(mTerms, now),
                                       std::move(aDecided) });
  mAttempts[attempt->id] = attempt;
  std::optional<claims::GroupRecord> known;
  std::set<base::VmName> silent;
  const auto group = mGroups.find(attempt->home);
  if (group != mGroups.end()) {
    known = group->second;
    silent = silentMembers(attempt->home, *known, now);
  }
  act(attempt, attempt->coordinator.start(known, silent, now));
  if (!known) {
    // Any VM of the home data centre tells who the members are, so that the
    // platform is not needed for it.
    for (const base::VmName& vm : someVms(attempt->home)) {
      ask(attempt, vm);
    }
  }
  if (!mTicking) {
    tick();
  }
}

void
ClaimService::tick()
{
  const base::TimePoint now = base::monotonicNow();
  std::vector<AttemptPtr> open;
  for (const auto& [id, attempt] : mAttempts) {
    if (!attempt->coordinator.decided()) {
      open.push_back(attempt);
    }
  }
  for (const AttemptPtr& attempt : open) {
    act(attempt, attempt->coordinator.onTick(now));
  }
  mTicking = !open.empty();
  if (mTicking) {
    mTick = mLoop.after(kTick, [this] { tick(); });
  }
}

void
ClaimService::act(const AttemptPtr& aAttempt,
                  const claims::CoordinatorActions& aDo)
{
  if (aAttempt->closed) {
    return;
  }
  for (const base::VmName& vm : aDo.ask) {
    ask(aAttempt, vm);
  }
  if (aDo.askPlatform) {
    askPlatform(aAttempt);
  }
  if (aDo.readRecord) {
    readRecord(aAttempt);
  }
  if (!aDo.decision) {
    return;
  }
  mMetrics
    .counter("marigold_claims_total",
             "Attempts to claim a key by verdict.",
             { { "verdict", std::string(verdictName(aDo.decision->verdict)) } })
    .Increment();
  if (aDo.decision->verdict == Verdict::NoQuorum) {
    mGroups.erase(aAttempt->home); // it may have other members now
  }
  // The caller's code never runs inside begin(), and never after the attempt
  // has been closed.
  mLoop.post([this, aAttempt, decision = *aDo.decision] {
    if (aAttempt->closed) {
      return;
    }
    if (decision.verdict != Verdict::Granted) {
      close(aAttempt, nullptr);
    }
    const Decided decided = std::move(aAttempt->decided);
    decided(decision);
  });
}

void
ClaimService::ask(const AttemptPtr& aAttempt, const base::VmName& aVm)
{
  const base::Duration left = aAttempt->deadline - base::monotonicNow();
  mVoting.send(
    aVm,
    kVoteRequestMessage,
    { { "home", aAttempt->home },
      { "key", aAttempt->key },
      { "attempt", aAttempt->id },
      { "epoch", aAttempt->coordinator.epoch() },
      { "deadline_ms", base::inMilliseconds(left + kDeadlineMargin) } });
}

void
ClaimService::askPlatform(const AttemptPtr& aAttempt)
{
  aAttempt->platformAsked = true;
  const base::TimePoint now = base::monotonicNow();
  for (const base::VmName& vm : aAttempt->coordinator.unanswered()) {
    // A refresh by every attempt would keep a VM that answers again silent.
    mSilentUntil.try_emplace(vm, now + kSilentFor);
  }
  mStore.vote(
    aAttempt->home,
    aAttempt->key,
    aAttempt->id,
    now,
    [this, aAttempt](claims::PlatformVote aVote) {
      aAttempt->platformAnswered = true;
      if (aAttempt->released) {
        // The vote came after the attempt had been given up.
        mStore.remove(aAttempt->home, aAttempt->key, aAttempt->id);
      }
      // A vote that fails at once must not be counted inside the evaluation.
      mLoop.post([this, aAttempt, aVote] {
        act(aAttempt,
            aAttempt->coordinator.onPlatform(aVote, base::monotonicNow()));
      });
    });
}

void
ClaimService::readRecord(const AttemptPtr& aAttempt)
{
  const bool after = aAttempt->platformAnswered;
  mStore.readRecord(aAttempt->home, [this, aAttempt, after](const auto& aRead) {
    std::optional<claims::GroupRecord> record;
    if (aRead.ok && aRead.record.epoch > 0) {
      record = aRead.record;
      mGroups[aAttempt->home] = aRead.record;
    }
    act(aAttempt,
        aAttempt->coordinator.onRecord(record, after, base::monotonicNow()));
  });
}

void
ClaimService::onVote(const base::VmName& aFrom, const json& aBody)
{
  if (aBody.contains("acknowledged")) {
    const auto closing =
      mClosing.find(aBody.at("acknowledged").get<std::string>());
    if (closing != mClosing.end()) {
      closing->second.waiting.erase(aFrom);
      if (closing->second.waiting.empty()) {
        mClosing.erase(closing);
      }
    }
    return;
  }
  const claims::Vote vote = decodeVote(aBody);
  mSilentUntil.erase(aFrom);
  const auto attempt = mAttempts.find(vote.attempt);
  if (attempt != mAttempts.end() && attempt->second->key == vote.key) {
    const AttemptPtr held = attempt->second;
    if (vote.record && vote.record->epoch > mGroups[held->home].epoch) {
      mGroups[held->home] = *vote.record;
    }
    act(held, held->coordinator.onVote(aFrom, vote, base::monotonicNow()));
  }
}

bool
ClaimService::mayForward(const claims::AttemptId& aAttempt) const
{
  const auto attempt = mAttempts.find(aAttempt);
  return attempt != mAttempts.end() &&
         attempt->second->coordinator.mayForward(base::monotonicNow());
}

void
ClaimService::release(const claims::AttemptId& aAttempt)
{
  const auto attempt = mAttempts.find(aAttempt);
  if (attempt != mAttempts.end()) {
    const AttemptPtr held = attempt->second;
    close(held, nullptr);
  }
}

void
ClaimService::settle(const claims::AttemptId& aAttempt,
                     const std::optional<claims::StoredAnswer>& aAnswer)
{
  const auto attempt = mAttempts.find(aAttempt);
  if (attempt == mAttempts.end()) {
    return;
  }
  const AttemptPtr held = attempt->second;
  claims::Claim claim{ held->key,
                       held->id,
                       aAnswer ? claims::ClaimState::Done
                               : claims::ClaimState::Unknown,
                       aAnswer,
                       held->platformAsked };
  if (claim.answer &&
      claim.answer->bytes() > claims::StoredAnswer::kMostBytes) {
    claim.answer.reset();
  }
  close(held, &claim);
}

void
ClaimService::close(const AttemptPtr& aAttempt, const claims::Claim* aSettled)
{
  if (aAttempt->closed) {
    return;
  }
  aAttempt->closed = true;
  mAttempts.erase(aAttempt->id);
  Closing closing;
  closing.home = aAttempt->home;
  closing.released = aSettled == nullptr;
  closing.claim =
    aSettled != nullptr
      ? *aSettled
      : claims::Claim{
          aAttempt->key, aAttempt->id, claims::ClaimState::InProgress, {}, true
        };
  closing.waiting = aAttempt->coordinator.asked();
  if (closing.released) {
    aAttempt->released = true;
    if (aAttempt->platformAnswered) {
      mStore.remove(aAttempt->home, aAttempt->key, aAttempt->id);
    }
  }
  if (closing.waiting.empty()) {
    return;
  }
  Closing& kept = mClosing[aAttempt->id] = std::move(closing);
  sendClosing(kept);
}

void
ClaimService::sendClosing(Closing& aClosing)
{
  ++aClosing.sent;
  const json body = { { "home", aClosing.home },
                      { "claim", encodeClaim(aClosing.claim) } };
  for (const base::VmName& vm : aClosing.waiting) {
    mVoting.send(
      vm, aClosing.released ? kReleaseMessage : kSettleMessage, body);
  }
}

void
ClaimService::retryClosing()
{
  for (auto closing = mClosing.begin(); closing != mClosing.end();) {
    if (closing->second.sent >= kMostSends) {
      closing = mClosing.erase(closing);
      continue;
    }
    sendClosing(closing->second);
    ++closing;
  }
}

void
ClaimService::finish(std::function<void()> aDone)
{
  mFinished = std::move(aDone);
  const base::TimePoint end = base::monotonicNow() + kFinishFor;
  mTick = mLoop.every(kTick, [this, end] {
    if (mClosing.empty() || base::monotonicNow() >= end) {
      mFinished();
    }
  });
}

json
ClaimService::dump() const
{
  json groups = json::object();
  for (const auto& [home, record] : mGroups) {
    groups[home] = record.epoch;
  }
  return { { "voter", mVoting.dump() },
           { "known_epochs", groups },
           { "open_attempts", mAttempts.size() },
           { "unacknowledged", mClosing.size() },
           { "platform",
             { { "writes", mStore.counts().writes },
               { "over_budget", mStore.counts().overBudget },
               { "removed", mStore.counts().removed } } } };
}

} // namespace marigold::entry
