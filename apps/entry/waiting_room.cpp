#include "apps/entry/waiting_room.h"

#include <algorithm>

namespace marigold::entry {
namespace {

/** Estimates of load change with time even if nothing happens here. */
constexpr base::Duration kTick = std::chrono::milliseconds(50);

} // namespace

WaitingRoom::WaitingRoom(http::Loop& aLoop,
                         UpstreamTable& aUpstreams,
                         UpstreamChoice& aChoice)
  : mLoop(aLoop)
  , mChoice(aChoice)
{
  aUpstreams.freed().connect([this] {
    if (!mGuests.empty()) {
      mSoon = mLoop.after(base::Duration::zero(), [this] { serve(); });
    }
  });
}

void
WaitingRoom::update(const config::Manifest& aManifest)
{
  int slots = 0;
  for (const config::DataCentreInfo& dataCentre : aManifest.dataCentres) {
    slots += dataCentre.entrySlots;
  }
  mRates.clear();
  for (const config::Team& team : aManifest.teams) {
    mRates[team.name] = team.rate / std::max(1, slots);
  }
  for (auto& [key, waiting] : mQueues) {
    for (const auto& [team, rate] : mRates) {
      waiting.setRate(team, rate);
    }
  }
}

request::ModelQueue&
WaitingRoom::queue(const ModelKey& aKey)
{
  const auto [place, added] = mQueues.try_emplace(aKey, kQueueCapacity);
  if (added) {
    for (const auto& [team, rate] : mRates) {
      place->second.setRate(team, rate);
    }
  }
  return place->second;
}

void
WaitingRoom::enter(const CallerRequest& aCaller, Called aCalled)
{
  const base::TimePoint now = base::monotonicNow();
  Guest& guest = mGuests[aCaller.id];
  guest.caller = &aCaller;
  guest.called = std::move(aCalled);
  guest.cold = !mChoice.isResident(aCaller);
  if (guest.cold) {
    mDemand.onWait({ aCaller.model, aCaller.adapter }, aCaller.deadline);
  }
  if (!mTick) {
    mTick = mLoop.every(kTick, [this] { serve(); });
  }
  const request::Offered offered = queue({ aCaller.model, aCaller.adapter })
                                     .offer({ aCaller.id,
                                              aCaller.team,
                                              aCaller.priority,
                                              aCaller.cost,
                                              aCaller.deadline,
                                              mChoice.leastTime(aCaller) },
                                            now);
  if (offered.displaced) {
    mLoop.post(
      [this, id = offered.displaced->id] { call(id, base::Code::Overloaded); });
  }
  if (offered.code != base::Code::Ok) {
    mLoop.post(
      [this, id = aCaller.id, code = offered.code] { call(id, code); });
  }
}

void
WaitingRoom::leave(const CallerRequest& aCaller)
{
  const auto found = mGuests.find(aCaller.id);
  if (found == mGuests.end()) {
    return;
  }
  if (found->second.cold) {
    mDemand.onWaitEnded({ aCaller.model, aCaller.adapter }, aCaller.deadline);
  }
  mGuests.erase(found);
  queue({ aCaller.model, aCaller.adapter }).remove(aCaller.id);
}

void
WaitingRoom::call(const std::string& aId, base::Code aCode)
{
  const auto found = mGuests.find(aId);
  if (found == mGuests.end()) {
    return;
  }
  const Called called = std::move(found->second.called);
  leave(*found->second.caller);
  called(aCode);
}

void
WaitingRoom::serve()
{
  const base::TimePoint now = base::monotonicNow();
  for (auto& [key, waiting] : mQueues) {
    for (const request::Waiting& late : waiting.shed(now)) {
      call(late.id, base::Code::DeadlineUnreachable);
    }
    // One that finds no room waits again, so each is called once at most.
    std::size_t left = waiting.size();
    while (left-- > 0 && mChoice.hasRoom(key.first, key.second, now)) {
      const auto next = waiting.take(now);
      if (!next) {
        break;
      }
      call(next->id, base::Code::Ok);
    }
  }
  if (mGuests.empty()) {
    mTick.reset();
  }
}

} // namespace marigold::entry
