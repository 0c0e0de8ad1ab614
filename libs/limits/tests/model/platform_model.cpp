#include "model/platform_model.h"

namespace marigold::limits::model {
namespace {

/** The platform's clock is fast by the largest drift. */
constexpr double kDrift = 1.01;

double
leaseSeconds()
{
  return base::inSeconds(kSlotLease) / kDrift;
}

} // namespace

void
PlatformModel::expire(double aNow)
{
  std::erase_if(mLeases,
                [aNow](const auto& aLease) { return aLease.second <= aNow; });
  for (auto& [dataCentre, slots] : mSlots) {
    std::erase_if(slots, [this](const auto& aSlot) {
      return !mLeases.contains(aSlot.second.lease);
    });
  }
}

SlotAnswer
PlatformModel::write(int aDataCentre, const SlotCall& aCall)
{
  SlotAnswer answer;
  auto& slots = mSlots[aDataCentre];
  const auto found = slots.find(aCall.number);
  const std::uint64_t held = found == slots.end() ? 0 : found->second.revision;
  if (!mLeases.contains(aCall.lease)) {
    answer.failure = SlotFailure::LeaseLost;
  } else if (held != aCall.expected) {
    answer.failure = SlotFailure::Conflict;
  } else {
    slots[aCall.number] = { aCall.record, ++mRevision, aCall.lease };
    answer.revision = mRevision;
  }
  return answer;
}

SlotAnswer
PlatformModel::apply(int aDataCentre, const SlotCall& aCall, double aNow)
{
  expire(aNow);
  SlotAnswer answer;
  auto& slots = mSlots[aDataCentre];
  switch (aCall.kind) {
    case SlotCallKind::List:
      for (const auto& [number, slot] : slots) {
        answer.entries.push_back({ number, slot.record, slot.revision });
      }
      break;
    case SlotCallKind::GrantLease:
      answer.lease = "lease-" + std::to_string(++mRevision);
      mLeases[answer.lease] = aNow + leaseSeconds();
      break;
    case SlotCallKind::RenewLease:
      if (!mLeases.contains(aCall.lease)) {
        answer.failure = SlotFailure::LeaseLost;
        break;
      }
      mLeases[aCall.lease] = aNow + leaseSeconds();
      break;
    case SlotCallKind::Write:
      return write(aDataCentre, aCall);
    case SlotCallKind::Remove:
      if (slots.contains(aCall.number) &&
          slots[aCall.number].revision == aCall.expected) {
        slots.erase(aCall.number);
      }
      break;
  }
  return answer;
}

void
PlatformModel::list(const base::VmName& aVm)
{
  mListed.names.insert(aVm);
  ++mListed.revision;
}

void
PlatformModel::unlist(const base::VmName& aVm)
{
  mListed.names.erase(aVm);
  ++mListed.revision;
}

} // namespace marigold::limits::model
