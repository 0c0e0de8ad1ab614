#include "dispatch/carrier_choice.h"

#include <algorithm>
#include <array>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** A peer that has declined is asked again after this time. */
constexpr base::Duration kDeclinePeriod = 1s;
/** Peers at one distance that decline before those farther away are asked. */
constexpr std::size_t kMaxDeclines = 2;
/** Of peers whose registration names none. */
constexpr double kMinCapacity = 0.05;

} // namespace

void
CarrierChoice::setPeers(std::vector<Carrier> aPeers)
{
  mPeers = std::move(aPeers);
  std::erase_if(mDeclinesUntil, [this](const auto& aItem) {
    return std::none_of(
      mPeers.begin(), mPeers.end(), [&aItem](const Carrier& aPeer) {
        return aPeer.vm == aItem.first;
      });
  });
}

bool
CarrierChoice::declines(const Carrier& aPeer, base::TimePoint aNow) const
{
  const auto found = mDeclinesUntil.find(aPeer.vm);
  return found != mDeclinesUntil.end() && aNow < found->second;
}

double
CarrierChoice::load(const Carrier& aPeer) const
{
  const auto open = mOpen.find(aPeer.vm);
  return ((open == mOpen.end() ? 0 : open->second) + 1) /
         std::max(aPeer.capacity, kMinCapacity);
}

std::optional<base::VmName>
CarrierChoice::choose(std::uint64_t aRandom, base::TimePoint aNow) const
{
  std::optional<base::VmName> fallback;
  for (const auto distance : { Carrier::Distance::SameDataCentre,
                               Carrier::Distance::SameRegion,
                               Carrier::Distance::OtherRegion }) {
    const Carrier* best = nullptr;
    std::size_t declined = 0;
    for (std::size_t step = 0; step < mPeers.size(); ++step) {
      const Carrier& peer = mPeers[(aRandom + step) % mPeers.size()];
      if (peer.distance != distance) {
        continue;
      }
      if (declines(peer, aNow)) {
        ++declined;
      } else if (best == nullptr || load(peer) < load(*best)) {
        best = &peer;
      }
    }
    if (best == nullptr) {
      continue;
    }
    if (declined < kMaxDeclines) {
      return best->vm;
    }
    fallback = fallback ? fallback : std::optional(best->vm);
  }
  return fallback;
}

void
CarrierChoice::onDeclined(const base::VmName& aVm, base::TimePoint aNow)
{
  mDeclinesUntil[aVm] = aNow + kDeclinePeriod;
}

void
CarrierChoice::onStarted(const base::VmName& aVm, base::TimePoint aNow)
{
  ++mOpen[aVm];
  if (mDeclinesUntil.contains(aVm)) {
    mDeclinesUntil[aVm] = aNow + kDeclinePeriod;
  }
}

void
CarrierChoice::onEnded(const base::VmName& aVm)
{
  const auto open = mOpen.find(aVm);
  if (open != mOpen.end() && --open->second == 0) {
    mOpen.erase(open);
  }
}

} // namespace marigold::dispatch
