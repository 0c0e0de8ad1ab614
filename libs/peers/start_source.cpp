#include "peers/start_source.h"

#include "peers/relay.h"

#include <algorithm>

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** Time for which peers are asked; those that have started at the same moment
 * have their data before. */
constexpr base::Duration kPatience = 500ms;
/** Spread of that time, so that not all VMs call the store at once. */
constexpr base::Duration kPatienceSpread = 300ms;
/** Spread of the first reads if no peer is registered: the first VMs that read
 * are known to the others soon after. */
constexpr base::Duration kAloneSpread = 600ms;
/** VMs that are asked: the readers of the store, and one more, because one of
 * them may be gone. */
constexpr std::size_t kPeers = 3;

base::Duration
spread(base::Random& aRandom, base::Duration aLimit)
{
  return base::fromSeconds(base::inSeconds(aLimit) * aRandom.unit());
}

} // namespace

StartSource::StartSource(base::VmName aSelf,
                         base::TimePoint aStartedAt,
                         std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
{
  base::Random random(aSeed);
  mReadsStoreAt = aStartedAt + kPatience + spread(random, kPatienceSpread);
  mReadsStoreAloneAt = aStartedAt + spread(random, kAloneSpread);
}

void
StartSource::setRanking(std::vector<base::VmName> aRanking)
{
  const std::vector<base::VmName> readers =
    aRanking.empty() ? std::vector<base::VmName>{}
                     : storeReaders(aRanking, aRanking.front());
  mIsReader = aRanking.size() > 1 &&
              std::find(readers.begin(), readers.end(), mSelf) != readers.end();
  std::erase(aRanking, mSelf);
  aRanking.resize(std::min(aRanking.size(), kPeers));
  mPeers = std::move(aRanking);
  mIndex = 0;
}

StartSource::Step
StartSource::next(base::TimePoint aNow) const
{
  if (mIsReader || aNow >= mReadsStoreAt) {
    return Step::ReadStore;
  }
  if (!mPeers.empty()) {
    return Step::AskPeer;
  }
  return aNow >= mReadsStoreAloneAt ? Step::ReadStore : Step::ReadRegistrations;
}

void
StartSource::onFailed(const base::VmName& aPeer)
{
  if (!mPeers.empty() && peer() == aPeer) {
    mIndex = (mIndex + 1) % mPeers.size();
  }
}

} // namespace marigold::peers
