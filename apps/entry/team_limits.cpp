#include "apps/entry/team_limits.h"

#include "apps/entry/loan_codec.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigold::entry {
namespace {

using base::Code;
using limits::Verdict;
using nlohmann::json;

/** Period in which peers, slot and metrics are refreshed. */
constexpr base::Duration kSlowPeriod = std::chrono::milliseconds(250);

/** Time for peers to ask for what a leaving VM offers. */
constexpr base::Duration kOfferTime = std::chrono::milliseconds(150);

/** Longest wait for the platform to release the slot at a planned stop. */
constexpr base::Duration kReleaseTime = std::chrono::milliseconds(500);

Code
codeOf(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Admitted:
      return Code::Ok;
    case Verdict::CostAboveBurst:
      return Code::CostAboveBurst;
    case Verdict::UnknownTeam:
      return Code::TeamNotAllowed;
    default:
      return Code::RateExceeded;
  }
}

} // namespace

TeamLimits::TeamLimits(http::Loop& aLoop,
                       platform::Client& aPlatform,
                       membership::Membership& aMembership,
                       PeerLink& aPeers,
                       const Configuration& aConfiguration,
                       observe::Metrics& aMetrics,
                       const Settings& aSettings,
                       base::Incarnation aIncarnation)
  : mLoop(aLoop)
  , mMembership(aMembership)
  , mPeers(aPeers)
  , mMetrics(aMetrics)
  , mSlot(aPlatform,
          aConfiguration,
          aSettings,
          aIncarnation,
          [this] {
            const base::TimePoint now = base::monotonicNow();
            mHolder.setSlot(mSlot.keeper().term(now), now);
          })
  , mHolder(aSettings.vm, aIncarnation)
{
  for (const char* type : kLoanTypes) {
    mPeers.on(type,
              [this](const mesh::Envelope& aEnvelope) { receive(aEnvelope); });
  }
}

void
TeamLimits::start()
{
  mTick = mLoop.every(limits::kTickPeriod, [this] { tick(); });
  mSlowTick = mLoop.every(kSlowPeriod, [this] { tickSlot(); });
}

void
TeamLimits::update(const config::Manifest& aManifest, base::TimePoint aNow)
{
  limits::FleetLimits fleet;
  fleet.slots = 0;
  for (const config::DataCentreInfo& dataCentre : aManifest.dataCentres) {
    fleet.slots += dataCentre.entrySlots;
  }
  for (const config::Team& team : aManifest.teams) {
    fleet.teams.push_back({ team.name, team.rate, team.burst });
  }
  mHolder.setLimits(fleet, aNow);
}

void
TeamLimits::admit(const base::TeamName& aTeam,
                  double aCost,
                  base::TimePoint aNow,
                  const Admitted& aDone)
{
  limits::Actions actions;
  const limits::Admission admission =
    mHolder.admit(aTeam, aCost, aNow, actions);
  if (admission.verdict == Verdict::Waiting) {
    mWaiting[admission.ticket] = { aDone, mLoop.after(limits::kHold, [this] {
                                    tick();
                                  }) };
  }
  perform(actions);
  if (admission.verdict != Verdict::Waiting) {
    aDone(codeOf(admission.verdict), admission.charge);
  }
}

void
TeamLimits::refund(const Charge& aCharge, double aUnused, base::TimePoint aNow)
{
  limits::Actions actions;
  mHolder.refund(aCharge, aUnused, aNow, actions);
  perform(actions);
}

void
TeamLimits::perform(const limits::Actions& aActions)
{
  for (const limits::Outgoing& outgoing : aActions.send) {
    mPeers.send(
      outgoing.to, loanType(outgoing.message), encodeLoan(outgoing.message));
  }
  for (const limits::Decided& decided : aActions.decided) {
    const auto found = mWaiting.find(decided.ticket);
    if (found == mWaiting.end()) {
      continue;
    }
    // Runs a turn later: the callback may start or end requests, and the timer
    // that is destroyed here may be the one that is running.
    mLoop.post(
      [waiting = std::make_shared<Waiting>(std::move(found->second)), decided] {
        waiting->done(decided.admitted ? Code::Ok : Code::RateExceeded,
                      decided.charge);
      });
    mWaiting.erase(found);
  }
}

void
TeamLimits::receive(const mesh::Envelope& aEnvelope)
{
  const limits::Message message = decodeLoan(aEnvelope.type, aEnvelope.body);
  perform(mHolder.onMessage(aEnvelope.from, message, base::monotonicNow()));
}

void
TeamLimits::tick()
{
  perform(mHolder.tick(base::monotonicNow()));
}

void
TeamLimits::tickSlot()
{
  const base::TimePoint now = base::monotonicNow();
  mHolder.setPeers(mMembership.alivePeers(now));
  mSlot.tick(now);
  mHolder.setSlot(mSlot.keeper().term(now), now);
  report();
  if (mHandedOver && mSlot.keeper().released()) {
    finishHandOver();
  }
}

void
TeamLimits::handOver(std::function<void()> aDone)
{
  if (mOfferEnd) {
    return; // it is under way
  }
  mHandedOver = std::move(aDone);
  perform(mHolder.stop(base::monotonicNow()));
  mOfferEnd = mLoop.after(kOfferTime, [this] {
    mSlot.release(base::monotonicNow());
    mReleaseEnd = mLoop.after(kReleaseTime, [this] { finishHandOver(); });
  });
}

void
TeamLimits::finishHandOver()
{
  if (const auto done = std::exchange(mHandedOver, nullptr)) {
    done();
  }
}

void
TeamLimits::report()
{
  for (const auto& [name, share] : mHolder.shares()) {
    const observe::Labels team{ { "team", name } };
    mMetrics
      .gauge("marigold_team_tokens", "Tokens of the team at this VM.", team)
      .Set(share.bucket().level());
    mMetrics
      .gauge("marigold_team_rate",
             "Tokens per second that the team earns at this VM.",
             team)
      .Set(share.bucket().rate());
    mMetrics.gauge("marigold_loans_lent", "Loans given to other VMs.", team)
      .Set(static_cast<double>(share.lent().size()));
    mMetrics
      .gauge("marigold_loans_borrowed", "Loans taken from other VMs.", team)
      .Set(static_cast<double>(share.borrowed().size()));
    mMetrics
      .gauge("marigold_limits_waited",
             "Requests that waited for tokens since the start.",
             team)
      .Set(static_cast<double>(share.counts().waited));
  }
}

json
TeamLimits::dump()
{
  const base::TimePoint now = base::monotonicNow();
  const auto term = mSlot.keeper().term(now);
  json slot;
  if (term) {
    slot = { { "number", mSlot.keeper().number() },
             { "settled", now >= term->settledAt },
             { "valid_ms", base::inMilliseconds(term->validUntil - now) } };
  }
  json teams = json::object();
  for (const auto& [name, share] : mHolder.shares()) {
    teams[name] = { { "tokens", share.bucket().level() },
                    { "capacity", share.bucket().capacity() },
                    { "rate", share.bucket().rate() },
                    { "demand", share.demand(now) },
                    { "lent", share.lent().size() },
                    { "borrowed", share.borrowed().size() },
                    { "waiting", share.waiting() },
                    { "admitted", share.counts().admitted },
                    { "refused", share.counts().refused },
                    { "waited", share.counts().waited },
                    { "asked", share.counts().asked },
                    { "granted", share.counts().granted } };
  }
  return { { "slot", slot }, { "teams", teams } };
}

} // namespace marigold::entry
