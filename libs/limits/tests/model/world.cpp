#include "model/world.h"

#include <algorithm>

namespace marigold::limits::model {
namespace {

constexpr int kDataCentres = 2;
constexpr int kSlots = 2;
/** Two VMs for each data centre and one without a slot. */
constexpr std::size_t kVms = 5;
constexpr double kRate = 100;
constexpr double kBurst = 200;
constexpr double kTick = 0.05;
constexpr double kRollout = 3;
constexpr double kPlatformTimeout = 2;
/** A bound stays until the loans that were made under it have ended. */
constexpr double kLoanEnd = 2.1;
constexpr double kForever = 1e12;
const base::TeamName kTeam = "team";

/** Reaches the members that a test has to change to switch off a mechanism. */
struct OpenShare : Share
{
  static Bucket& bucketOf(Share& aShare)
  {
    return aShare.*(&OpenShare::mBucket);
  }
  static auto& lentOf(Share& aShare) { return aShare.*(&OpenShare::mLent); }
  static auto& askedOf(Share& aShare) { return aShare.*(&OpenShare::mAsked); }
};

struct OpenHolder : Holder
{
  static Share& shareOf(Holder& aHolder)
  {
    return (aHolder.*(&OpenHolder::mShares)).at(kTeam);
  }
};

} // namespace

World::World(const Scenario& aScenario)
  : mScenario(aScenario)
  , mRandom(aScenario.seed)
{
  mBounds.push_back({ 0, kForever, kRate, kBurst });
  for (std::size_t index = 0; index < kVms; ++index) {
    mVms.push_back(std::make_unique<Vm>());
    mVms.back()->dataCentre = static_cast<int>(index) % kDataCentres;
    boot(*mVms.back(), true);
  }
  advance(8); // slots are taken, settle and fill
}

base::TimePoint
World::local(const Vm& aVm) const
{
  return base::TimePoint(base::fromSeconds(aVm.origin + mNow * aVm.drift));
}

void
World::boot(Vm& aVm, bool aNewName)
{
  constexpr double kDrifts[] = { 0.99, 1.0, 1.01 };
  if (aNewName) {
    aVm.name = "vm-" + std::to_string(++mNames);
    aVm.origin = 1000.0 + static_cast<double>(mRandom.below(100000));
    aVm.drift = mScenario.clocks.empty()
                  ? kDrifts[mRandom.below(3)]
                  : mScenario.clocks[mNames % mScenario.clocks.size()];
    mPlatform.list(aVm.name);
  }
  // The wall clock that incarnations are drawn from may step back.
  aVm.incarnation = mRandom.bits();
  aVm.holder.emplace(aVm.name, aVm.incarnation);
  aVm.keeper.emplace(aVm.name, aVm.incarnation);
  aVm.slot.reset();
  aVm.listed = {};
  aVm.paused = false;
  aVm.open.clear();
  aVm.waiting.clear();
  aVm.inbox.clear();
  rollOut(aVm);
}

void
World::end(Vm& aVm)
{
  aVm.holder.reset();
  aVm.keeper.reset();
  aVm.incarnation = 0;
}

void
World::rollOut(Vm& aVm)
{
  aVm.limits = mBounds.size() - 1;
  const Bound& bound = mBounds.back();
  aVm.holder->setLimits(
    { kDataCentres * kSlots, { { kTeam, bound.rate, bound.burst } } },
    local(aVm));
  for (std::size_t index = 0; index < mBounds.size(); ++index) {
    const bool used =
      std::any_of(mVms.begin(), mVms.end(), [&](const auto& aOther) {
        return aOther->limits <= index;
      });
    if (!used && mBounds[index].until == kForever) {
      mBounds[index].until = mNow + kLoanEnd;
    }
  }
}

void
World::setLimits(int aAmount)
{
  const double rate = 20.0 + aAmount % 200;
  const double burst = 20.0 + aAmount * 0.5;
  mBounds.push_back({ mNow, kForever, rate, burst });
  for (const auto& vm : mVms) {
    const base::Incarnation incarnation = vm->incarnation;
    at(mNow + mRandom.unit() * kRollout,
       [this, target = vm.get(), incarnation] {
         if (target->incarnation == incarnation && !target->paused &&
             target->dataCentre != mCut) {
           rollOut(*target);
         }
       });
  }
}

double
World::delay()
{
  return mRandom.chance(mScenario.network.late) ? mRandom.unit() * 3
                                                : 0.001 + mRandom.unit() * 0.03;
}

bool
World::reaches(int aFrom, int aTo) const
{
  return aFrom == aTo || (aFrom != mCut && aTo != mCut);
}

bool
World::platformReaches(int aDataCentre) const
{
  return mPlatformUp && aDataCentre != mCut;
}

void
World::at(double aTime, std::function<void()> aRun)
{
  mEvents.emplace(aTime, Event{ std::move(aRun) });
}

void
World::runEvents(double aUntil)
{
  while (!mEvents.empty() && mEvents.begin()->first <= aUntil) {
    auto first = mEvents.extract(mEvents.begin());
    mNow = std::max(mNow, first.key());
    first.mapped().run();
  }
  mNow = aUntil;
}

void
World::advance(double aSeconds)
{
  const double until = mNow + aSeconds;
  // Long waits run with few ticks; loans and slots end at their own times.
  const double period = aSeconds > 60 ? aSeconds / 100 : kTick;
  while (mNow < until) {
    runEvents(std::min(until, mNow + period));
    for (const auto& vm : mVms) {
      if (!vm->paused) {
        tick(*vm);
      }
    }
  }
}

void
World::applySlot(Vm& aVm)
{
  const base::TimePoint now = local(aVm);
  std::optional<SlotTerm> term = aVm.keeper->term(now);
  if (mScenario.without.validity) {
    term = term ? term : aVm.slot;
    if (term) {
      term->validUntil = base::TimePoint::max();
    }
  }
  if (mScenario.without.settling && term) {
    term->settledAt = base::TimePoint{};
  }
  aVm.holder->setSlot(term, now);
  aVm.tokensGiven = aVm.tokensGiven && term.has_value();
  if (mScenario.without.zeroTokens && term && now >= term->settledAt &&
      !aVm.tokensGiven) {
    aVm.tokensGiven = true;
    OpenShare::bucketOf(OpenHolder::shareOf(*aVm.holder)).add(kForever);
  }
  aVm.slot = term;
}

void
World::tickSlot(Vm& aVm)
{
  if (platformReaches(aVm.dataCentre) && mRandom.chance(0.5)) {
    aVm.listed = mPlatform.listed();
  }
  if (const auto next = aVm.keeper->next(aVm.listed, kSlots, local(aVm))) {
    call(aVm, *next);
  }
  applySlot(aVm);
}

void
World::tick(Vm& aVm)
{
  if (aVm.limits + 1 < mBounds.size() && aVm.dataCentre != mCut &&
      mRandom.chance(0.05)) {
    rollOut(aVm);
  }
  std::vector<base::VmName> peers;
  for (const auto& other : mVms) {
    if (other.get() != &aVm) {
      peers.push_back(other->name);
    }
  }
  aVm.holder->setPeers(peers);
  tickSlot(aVm);
  perform(aVm, aVm.holder->tick(local(aVm)));
}

void
World::call(Vm& aVm, const SlotCall& aCall)
{
  const base::Incarnation incarnation = aVm.incarnation;
  const auto answer = [this, vm = &aVm, incarnation](const SlotAnswer& aEnd) {
    const auto finish = [this, vm, incarnation, aEnd] {
      if (vm->incarnation == incarnation) {
        vm->keeper->answered(aEnd, local(*vm));
        applySlot(*vm);
      }
    };
    if (vm->paused) {
      vm->inbox.emplace_back(finish);
    } else {
      finish();
    }
  };
  const bool lost = mRandom.chance(mScenario.network.loss);
  const double effect = mNow + delay();
  const double back = effect + delay();
  SlotAnswer unknown;
  unknown.failure = SlotFailure::Other;
  if (back > mNow + kPlatformTimeout || lost) {
    at(mNow + kPlatformTimeout, [answer, unknown] { answer(unknown); });
  }
  // The effect may come after the caller has given the call up.
  const bool answered = !lost && back <= mNow + kPlatformTimeout;
  const int dataCentre = aVm.dataCentre;
  at(effect, [=, this] {
    const bool reached = platformReaches(dataCentre);
    const SlotAnswer result =
      reached ? mPlatform.apply(dataCentre, aCall, mNow) : unknown;
    if (answered) {
      at(back, [answer, result] { answer(result); });
    }
  });
}

void
World::perform(Vm& aVm, const Actions& aActions)
{
  for (const Decided& decided : aActions.decided) {
    if (decided.admitted) {
      aVm.open.push_back(
        { decided.charge, mOracle.admitted(mNow, decided.charge.cost) });
    }
  }
  for (const Outgoing& outgoing : aActions.send) {
    transmit(aVm, outgoing);
  }
}

void
World::transmit(Vm& aFrom, const Outgoing& aOutgoing)
{
  const auto* request = std::get_if<LoanRequest>(&aOutgoing.message);
  if (request != nullptr && request->renewal == 0) {
    aFrom.asked[request->id] = local(aFrom);
  }
  const auto to = std::find_if(mVms.begin(), mVms.end(), [&](const auto& aVm) {
    return aVm->name == aOutgoing.to;
  });
  const int copies = mRandom.chance(mScenario.network.duplicates) ? 2 : 1;
  for (int copy = 0; copy < copies && to != mVms.end(); ++copy) {
    if (mRandom.chance(mScenario.network.loss) ||
        !reaches(aFrom.dataCentre, (*to)->dataCentre)) {
      continue;
    }
    const base::Incarnation incarnation = (*to)->incarnation;
    at(mNow + delay(),
       [this,
        target = to->get(),
        incarnation,
        from = aFrom.name,
        message = aOutgoing.message] {
         deliver(*target, incarnation, from, message);
       });
  }
}

void
World::deliver(Vm& aTo,
               base::Incarnation aIncarnation,
               const base::VmName& aFrom,
               const Message& aMessage)
{
  if (aTo.incarnation != aIncarnation) {
    return; // the mesh rejects messages for another run of the process
  }
  if (aTo.paused) {
    aTo.inbox.emplace_back(
      [this, target = &aTo, aIncarnation, aFrom, aMessage] {
        deliver(*target, aIncarnation, aFrom, aMessage);
      });
    return;
  }
  receive(aTo, aFrom, aMessage);
}

void
World::receive(Vm& aTo, const base::VmName& aFrom, const Message& aMessage)
{
  const Without& without = mScenario.without;
  const base::TimePoint now = local(aTo);
  const auto* request = std::get_if<LoanRequest>(&aMessage);
  const auto* grant = std::get_if<LoanGrant>(&aMessage);
  Share& share = OpenHolder::shareOf(*aTo.holder);
  if (without.grantIds && grant != nullptr && grant->renewal == 0) {
    OpenShare::askedOf(
      share)[grant->id] = { aFrom, aTo.asked[grant->id], false };
  }
  const Holder before = *aTo.holder;
  const Actions actions = aTo.holder->onMessage(aFrom, aMessage, now);
  if (without.deduct && request != nullptr && request->renewal == 0) {
    aTo.holder = before;
  }
  if (without.reclaimMargin && request != nullptr) {
    for (auto& [id, loan] :
         OpenShare::lentOf(OpenHolder::shareOf(*aTo.holder))) {
      loan.reclaimAt = std::min(loan.reclaimAt, now + kLoanTerm);
    }
  }
  perform(aTo, actions);
}

void
World::admit(Vm& aVm, double aCost)
{
  if (aVm.paused || aCost <= 0) {
    return;
  }
  Actions actions;
  const Admission admission =
    aVm.holder->admit(kTeam, aCost, local(aVm), actions);
  if (admission.verdict == Verdict::Admitted) {
    aVm.open.push_back({ admission.charge, mOracle.admitted(mNow, aCost) });
  }
  perform(aVm, actions);
}

void
World::drain(Vm& aVm)
{
  if (!aVm.paused) {
    Share& share = OpenHolder::shareOf(*aVm.holder);
    share.advance(local(aVm));
    admit(aVm, std::min(share.burst(), share.bucket().level()));
  }
}

void
World::refund(Vm& aVm, double aUsedPart)
{
  if (aVm.paused || aVm.open.empty()) {
    return;
  }
  const OpenCharge oldest = aVm.open.front();
  aVm.open.pop_front();
  const double unused = oldest.charge.cost * (1 - aUsedPart);
  Actions actions;
  double back = 0;
  if (mScenario.without.refundClipping) {
    Share& share = OpenHolder::shareOf(*aVm.holder);
    share.advance(local(aVm));
    Bucket& bucket = OpenShare::bucketOf(share);
    bucket.add(unused);
    back = unused; // the used part alone counts, as with clipping
  } else {
    back = aVm.holder->refund(oldest.charge, unused, local(aVm), actions);
  }
  mOracle.refunded(oldest.admission, back);
  perform(aVm, actions);
}

} // namespace marigold::limits::model
