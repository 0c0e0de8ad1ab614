#include "request/retry_budget.h"

#include <algorithm>

namespace marigold::request {

RetryBudget::Slot&
RetryBudget::slotAt(base::TimePoint aNow)
{
  const std::int64_t number = aNow.time_since_epoch() / kSlot;
  Slot& slot = mSlots[static_cast<std::size_t>(number) % kSlots];
  if (slot.number != number) {
    slot = { number, 0, 0 };
  }
  return slot;
}

void
RetryBudget::onRequest(base::TimePoint aNow)
{
  ++slotAt(aNow).requests;
}

bool
RetryBudget::take(base::TimePoint aNow)
{
  Slot& current = slotAt(aNow);
  int requests = 0;
  int retries = 0;
  for (const Slot& slot : mSlots) {
    if (slot.number + static_cast<std::int64_t>(kSlots) > current.number) {
      requests += slot.requests;
      retries += slot.retries;
    }
  }
  const int allowed =
    std::max(kLeastRetries, static_cast<int>(kRetryShare * requests));
  if (retries >= allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

} // namespace marigold::request
