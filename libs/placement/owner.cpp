#include "placement/owner.h"

#include <algorithm>

namespace marigold::placement {
namespace {

using base::Code;
using namespace std::chrono_literals;

/** A lease counts from the sending of its request; the rest covers a clock that
 * runs 3 % slower than the platform's. */
constexpr double kLeaseShare = 0.97;

/** Calls after a failed one wait that long. */
constexpr base::Duration kBackOff = 1s;

base::Duration
share(base::Duration aWhole, double aPart)
{
  return base::fromSeconds(base::inSeconds(aWhole) * aPart);
}

} // namespace

Owner::Owner(OwnerSettings aSettings, std::unique_ptr<Strategy> aStrategy)
  : mSettings(std::move(aSettings))
  , mStrategy(std::move(aStrategy))
{
}

void
Owner::setEngines(const std::vector<Engine>& aEngines)
{
  std::map<base::UpstreamName, EngineState> updated;
  for (const Engine& engine : aEngines) {
    const auto known = mEngines.find(engine.name);
    EngineState& state = updated[engine.name];
    if (known != mEngines.end()) {
      state = std::move(known->second);
    }
    state.engine = engine;
  }
  mEngines = std::move(updated);
  std::erase_if(mDraining, [this](const auto& aEntry) {
    return !mEngines.contains(aEntry.first.engine);
  });
}

void
Owner::addDemand(const DemandByItem& aDemand)
{
  for (auto& [item, demand] : mDemand) {
    demand.waiting = 0;
  }
  for (const auto& [item, demand] : aDemand) {
    Demand& known = mDemand[item];
    known.requests += demand.requests;
    known.waiting = demand.waiting;
    known.oldestDeadline = demand.oldestDeadline;
  }
}

bool
Owner::holdsLease(base::TimePoint aNow) const
{
  return !mLease.empty() && aNow < mLeaseEnd;
}

Actions
Owner::start(PlatformCall aCall, base::TimePoint aNow)
{
  mInFlight = aCall.call;
  mCallStarted = aNow;
  aCall.lease = mLease;
  return { std::move(aCall), {} };
}

Actions
Owner::stepDown()
{
  mRole = Role::Standby;
  mLease.clear();
  mRecords.clear();
  mDraining.clear();
  mUncertain = false;
  mLateWrite = false;
  for (auto& [name, state] : mEngines) {
    state.provenAt.reset();
    state.markedAt = {};
  }
  return {};
}

Actions
Owner::tick(base::TimePoint aNow)
{
  if (mRole == Role::Stopped) {
    return {};
  }
  if (!mLease.empty() && !holdsLease(aNow)) {
    stepDown();
  }
  if (mInFlight) {
    return {};
  }
  if (mRole == Role::Owner && !mUncertain) {
    noteLost(aNow);
    plan(aNow);
    Actions urgent = useWakeUp(aNow);
    if (!urgent.orders.empty()) {
      return urgent;
    }
  }
  if (aNow < mNextCall) {
    return {};
  }
  if (mLease.empty()) {
    if (mResigning) {
      mRole = Role::Stopped;
      return {};
    }
    mNextCall = aNow + mSettings.standbyPeriod;
    return start({ Call::ReadHolder, "", 0, "" }, aNow);
  }
  if (aNow >= mRenewAt) {
    return start({ Call::RenewLease, "", 0, "" }, aNow);
  }
  if (mRole == Role::Claiming || mUncertain) {
    return start({ Call::ReadLedger, "", 0, "" }, aNow);
  }
  if (mResigning && settled()) {
    return start({ Call::RevokeLease, "", 0, "" }, aNow);
  }
  return mPlatformOk ? writeChanges(aNow) : Actions{};
}

Actions
Owner::onPlatform(const PlatformAnswer& aAnswer, base::TimePoint aNow)
{
  const Call call = mInFlight.value_or(Call::ReadHolder);
  mInFlight.reset();
  mPlatformOk = aAnswer.code == Code::Ok || aAnswer.code == Code::NotFound ||
                aAnswer.code == Code::RevisionConflict ||
                aAnswer.code == Code::LeaseLost;
  if (!mPlatformOk) {
    mNextCall = aNow + kBackOff;
    // The next renewal also tells when the platform answers again.
    mRenewAt = std::min(mRenewAt, aNow + kBackOff);
  }
  switch (call) {
    case Call::GrantLease:
    case Call::RenewLease:
      if (aAnswer.code == Code::Ok) {
        mLease = call == Call::GrantLease ? aAnswer.value : mLease;
        mLeaseEnd = mCallStarted + share(mSettings.leaseTerm, kLeaseShare);
        mRenewAt = mCallStarted + mSettings.renewPeriod;
      }
      if (aAnswer.code == Code::LeaseLost || aAnswer.code == Code::NotFound) {
        return stepDown();
      }
      if (call == Call::GrantLease && aAnswer.code == Code::Ok) {
        return start({ Call::WriteHolder, mSettings.self, 0, mLease }, aNow);
      }
      return {};
    case Call::RevokeLease:
      if (mPlatformOk) {
        stepDown();
        mRole = Role::Stopped;
      }
      return {};
    case Call::ReadHolder:
    case Call::WriteHolder:
      return onHolder(aAnswer, aNow);
    case Call::ReadLedger:
      return onLedgerRead(aAnswer, aNow);
    case Call::WriteLedger:
      return onLedgerWritten(aAnswer, aNow);
  }
  return {};
}

Actions
Owner::onHolder(const PlatformAnswer& aAnswer, base::TimePoint aNow)
{
  if (mLease.empty()) {
    return aAnswer.code == Code::NotFound
             ? start({ Call::GrantLease, "", 0, "" }, aNow)
             : Actions{};
  }
  if (aAnswer.code == Code::Ok &&
      (aAnswer.value.empty() || aAnswer.value == mSettings.self)) {
    mRole = Role::Claiming;
    return start({ Call::ReadLedger, "", 0, "" }, aNow);
  }
  // Another process holds the record, or the answer was lost. A lost write is
  // found by its value in the record at the next look, without this lease.
  return stepDown();
}

Actions
Owner::onLedgerRead(const PlatformAnswer& aAnswer, base::TimePoint aNow)
{
  if (!holdsLease(aNow)) {
    return stepDown();
  }
  if (aAnswer.code != Code::Ok && aAnswer.code != Code::NotFound) {
    return {};
  }
  Ledger ledger;
  if (aAnswer.code == Code::Ok) {
    const auto decoded =
      base::capture([&] { return decodeLedger(aAnswer.value); });
    if (base::errorOf(decoded) != nullptr) {
      // Orders of an unreadable ledger may be outstanding, so none is given.
      mNextCall = aNow + kBackOff;
      return {};
    }
    ledger = std::get<Ledger>(decoded);
  }
  mRevision = aAnswer.code == Code::Ok ? aAnswer.revision : 0;
  if (mRole == Role::Claiming) {
    return takeOver(ledger, aNow);
  }
  if (ledger.holder != mSettings.self) {
    return stepDown();
  }
  return adopt(ledger, aNow);
}

/** Writes the ledger once, which makes every later write of an earlier holder
 * fail. */
Actions
Owner::takeOver(const Ledger& aLedger, base::TimePoint aNow)
{
  mLedger = aLedger;
  mRecords.clear();
  for (const Order& order : aLedger.orders) {
    mRecords.push_back({ order, {}, aNow, true, true });
  }
  return write(mRecords, aNow);
}

/** Resolves a write whose outcome was unknown. */
Actions
Owner::adopt(const Ledger& aLedger, base::TimePoint aNow)
{
  mUncertain = false;
  if (aLedger == mPending) {
    mLedger = mPending;
    mRecords = std::move(mNext);
    return sendRecorded(aNow);
  }
  // The write may still be on its way; then the next one is in conflict with it
  // and the ledger is read again. Until then wake-up orders rest, because the
  // late write would remove them from the ledger. Orders that are not known
  // were not sent by this process, but nobody may rely on that.
  std::vector<Record> records;
  for (const Order& order : aLedger.orders) {
    const auto known =
      std::find_if(mRecords.begin(), mRecords.end(), [&](const Record& aKnown) {
        return aKnown.order.id == order.id;
      });
    if (known != mRecords.end()) {
      records.push_back(*known);
    } else {
      records.push_back({ order, {}, aNow, true, true });
    }
  }
  mLateWrite = true;
  mRecords = std::move(records);
  mLedger = aLedger;
  return {};
}

Actions
Owner::onLedgerWritten(const PlatformAnswer& aAnswer, base::TimePoint aNow)
{
  if (!holdsLease(aNow)) {
    return stepDown();
  }
  if (aAnswer.code != Code::Ok) {
    // A refused write changed nothing; a conflict or a lost answer does not
    // tell what the ledger holds.
    const bool unchanged = aAnswer.code == Code::PlatformUnreachable ||
                           aAnswer.code == Code::PlatformRateLimited ||
                           aAnswer.code == Code::ValueTooLarge;
    mUncertain = mRole == Role::Owner && !unchanged;
    return {};
  }
  mRevision = aAnswer.revision;
  mLateWrite = false;
  mLedger = mPending;
  mRecords = std::move(mNext);
  if (mRole == Role::Claiming) {
    mRole = Role::Owner;
    mTakenOver = aNow;
    // The earlier holder may have sent until its lease ended, which was before
    // this process got the record.
    for (Record& record : mRecords) {
      record.lastSend = aNow;
    }
    mNextLoad = aNow + base::fromSeconds(1 / mSettings.storeRate);
  }
  return sendRecorded(aNow);
}

Actions
Owner::sendRecorded(base::TimePoint aNow)
{
  Actions actions;
  if (!holdsLease(aNow)) {
    return stepDown();
  }
  int loads = 0;
  for (Record& record : mRecords) {
    if (record.sent ||
        record.order.item.model.empty() != (record.order.op == Op::Fence)) {
      continue; // sent already, or a wake-up that waits for its use
    }
    record.sent = true;
    record.lastSend = aNow;
    const bool isModel =
      record.order.op == Op::Load && record.order.item.adapter.empty();
    loads += isModel ? 1 : 0;
    actions.orders.push_back(record.order);
  }
  if (loads > 0) {
    mNextLoad = aNow + base::fromSeconds(loads / mSettings.storeRate);
  }
  return actions;
}

} // namespace marigold::placement
