#include "standins/engine/batch.h"

#include <algorithm>

namespace marigold::standin {

void
Batch::add(BatchRequest aRequest)
{
  const auto place =
    std::upper_bound(mWaiting.begin(),
                     mWaiting.end(),
                     aRequest.priority,
                     [](int aPriority, const BatchRequest& aWaiting) {
                       return aPriority < aWaiting.priority;
                     });
  mWaiting.insert(place, std::move(aRequest));
}

std::vector<std::uint64_t>
Batch::admit(base::TimePoint aNow)
{
  std::vector<std::uint64_t> started;
  while (!mWaiting.empty() &&
         mRunning.size() < static_cast<std::size_t>(mSpeed.capacity)) {
    BatchRequest next = std::move(mWaiting.front());
    mWaiting.erase(mWaiting.begin());
    next.prefillEnd = aNow + next.prefill;
    started.push_back(next.serial);
    mRunning.push_back(std::move(next));
  }
  return started;
}

std::vector<ProducedToken>
Batch::step(base::TimePoint aNow)
{
  std::vector<ProducedToken> tokens;
  for (BatchRequest& request : mRunning) {
    if (request.stalled || request.prefillEnd > aNow) {
      continue;
    }
    const int index = request.produced++;
    tokens.push_back(
      { request.serial, index, request.produced >= request.requestedTokens });
  }
  std::erase_if(mRunning, [](const BatchRequest& aRequest) {
    return aRequest.produced >= aRequest.requestedTokens;
  });
  return tokens;
}

bool
Batch::remove(std::uint64_t aSerial)
{
  const auto same = [aSerial](const BatchRequest& aRequest) {
    return aRequest.serial == aSerial;
  };
  return std::erase_if(mRunning, same) + std::erase_if(mWaiting, same) > 0;
}

base::Duration
Batch::stepDuration() const
{
  const auto extraRequests = mRunning.empty() ? 0 : mRunning.size() - 1;
  return mSpeed.tokenPeriod + mSpeed.growthPerRequest * extraRequests;
}

bool
Batch::hasRequestsFor(const std::string& aModel,
                      const std::string& aVersion) const
{
  const auto same = [&](const BatchRequest& aRequest) {
    return aRequest.model == aModel && aRequest.version == aVersion;
  };
  return std::any_of(mRunning.begin(), mRunning.end(), same) ||
         std::any_of(mWaiting.begin(), mWaiting.end(), same);
}

} // namespace marigold::standin
