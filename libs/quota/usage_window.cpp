#include "quota/usage_window.h"

#include <algorithm>

namespace marigold::quota {
namespace {

/** Slots of a window. One is well below the report period of a large fleet. */
constexpr int kSlots = 80;

} // namespace

void
UsageWindow::slide(base::Duration aLength, base::TimePoint aNow)
{
  mSlotLength = aLength / kSlots;
  while (!mSlots.empty() &&
         mSlots.front().start + mSlotLength <= aNow - aLength) {
    mOwn -= mSlots.front().own;
    mPeers -= mSlots.front().peers;
    mSlots.pop_front();
  }
  if (mSlots.empty()) {
    clear(); // No rounding errors are left.
  }
}

void
UsageWindow::add(double aOwn, double aPeers, base::TimePoint aNow)
{
  if (aOwn == 0 && aPeers == 0) {
    return;
  }
  if (mSlots.empty() || mSlots.back().start + mSlotLength <= aNow) {
    mSlots.push_back({ aNow, 0, 0 });
  }
  mSlots.back().own += aOwn;
  mSlots.back().peers += aPeers;
  mOwn += aOwn;
  mPeers += aPeers;
}

void
UsageWindow::addEarlier(double aUnits,
                        base::TimePoint aSince,
                        base::TimePoint aNow)
{
  const auto first =
    std::find_if(mSlots.begin(), mSlots.end(), [aSince](const Slot& aSlot) {
      return aSlot.start >= aSince;
    });
  if (first == mSlots.end()) {
    add(0, aUnits, aNow);
    return;
  }
  const double each =
    aUnits / static_cast<double>(std::distance(first, mSlots.end()));
  std::for_each(
    first, mSlots.end(), [each](Slot& aSlot) { aSlot.peers += each; });
  mPeers += aUnits;
}

void
UsageWindow::clear()
{
  mSlots.clear();
  mOwn = 0;
  mPeers = 0;
}

double
UsageWindow::knownToPeer(base::TimePoint aHeardAt, base::Duration aDelay) const
{
  double units = 0;
  for (auto slot = mSlots.begin();
       slot != mSlots.end() && slot->start <= aHeardAt;
       ++slot) {
    const bool reported = slot->start + mSlotLength <= aHeardAt - aDelay;
    units += slot->peers + (reported ? slot->own : 0);
  }
  return units;
}

double
UsageWindow::ownSince(base::TimePoint aSince) const
{
  double units = 0;
  for (auto slot = mSlots.rbegin();
       slot != mSlots.rend() && slot->start + mSlotLength > aSince;
       ++slot) {
    units += slot->own;
  }
  return units;
}

double
UsageWindow::mostWithin(base::Duration aSpan) const
{
  double most = 0;
  double units = 0;
  auto first = mSlots.begin();
  for (const Slot& slot : mSlots) {
    units += slot.own + slot.peers;
    for (; first->start + aSpan < slot.start; ++first) {
      units -= first->own + first->peers;
    }
    most = std::max(most, units);
  }
  return most;
}

} // namespace marigold::quota
