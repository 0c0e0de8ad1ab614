#include "apps/gateway/back_pressure.h"

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Reading from the upstream pauses above this. */
constexpr std::size_t kMaxPendingOutput = 256UL * 1024;
/** The same if the memory of the process is tight. */
constexpr std::size_t kMaxPendingIfTight = 16UL * 1024;
constexpr base::Duration kCheckPeriod = 30ms;

} // namespace

BackPressure::BackPressure(http::Loop& aLoop,
                           const base::MemoryBudget& aMemory,
                           std::shared_ptr<wire::CallerConnection> aReader,
                           PauseReading aPause)
  : mLoop(aLoop)
  , mMemory(aMemory)
  , mReader(std::move(aReader))
  , mPause(std::move(aPause))
{
}

void
BackPressure::apply()
{
  const std::size_t limit =
    mMemory.tight() ? kMaxPendingIfTight : kMaxPendingOutput;
  if (mReader->pendingOutput() < limit) {
    return;
  }
  mPause(true);
  mTimer = mLoop.every(kCheckPeriod, [this, limit] {
    if (mReader->pendingOutput() < limit / 2) {
      mTimer.reset();
      mPause(false);
    }
  });
}

} // namespace marigold::gateway
