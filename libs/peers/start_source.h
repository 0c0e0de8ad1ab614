/** @file Load pattern: many VMs start at the same moment, after a power cut or
 * in a rolling restart, and each needs all keys of the store. */
#pragma once

#include "base/base.h"

#include <vector>

namespace marigold::peers {

/**
 * Chooses where a VM that has just started reads the keys: at the VMs of its
 * data centre that read the store anyway, if the registrations name any that
 * answer soon, else at the store. The registrations may be old, as they only
 * tell whom to ask.
 */
class StartSource
{
public:
  /** @param aSelf this VM @param aStartedAt when it started
   * @param aSeed seed of the delays */
  StartSource(base::VmName aSelf,
              base::TimePoint aStartedAt,
              std::uint64_t aSeed);

  /** What to do next. */
  enum class Step : std::uint8_t
  {
    AskPeer,
    ReadStore,
    ReadRegistrations, ///< again, after a pause, because they name no peer
  };

  /** @param aRanking registered VMs of the data centre and this one, as
   * rankRelays() orders them */
  void setRanking(std::vector<base::VmName> aRanking);

  /** @param aNow time @return what to do next */
  Step next(base::TimePoint aNow) const;

  /** @return the VM to ask; valid if next() says so */
  const base::VmName& peer() const { return mPeers.at(mIndex); }

  /** A VM refused or did not answer; another one is chosen.
   * @param aPeer that VM */
  void onFailed(const base::VmName& aPeer);

private:
  base::VmName mSelf;
  base::TimePoint mReadsStoreAt;      ///< at the latest
  base::TimePoint mReadsStoreAloneAt; ///< the same if no peer is known
  bool mIsReader = false;
  std::vector<base::VmName> mPeers; ///< that may read the store
  std::size_t mIndex = 0;
};

} // namespace marigold::peers
