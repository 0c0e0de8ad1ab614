/** @file Whether a VM has lost its own path to the upstreams. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace marigold::dispatch {

/** A VM's path to the upstreams. */
enum class PathState : std::uint8_t
{
  Open,
  InDoubt, ///< connects failed; probes of other upstreams are under way
  Lost     ///< they failed as well
};

/**
 * Tells a lost path from upstreams that have ended, by the results of connects.
 * Upstreams often end together, so that only probes of others that are chosen
 * at random count. Bytes on open connections say nothing, because these may
 * live on while new ones are refused. If all upstreams have ended, only a peer
 * can tell that from a lost path.
 */
class PathMonitor
{
public:
  /** @param aAny false if no peer could reach the upstreams instead; the path
   * then counts as open */
  void setHasPeers(bool aAny);

  /** @param aCount number of known upstreams */
  void setUpstreamCount(std::size_t aCount) { mUpstreamCount = aCount; }

  /** Records that a connection was established. @param aName upstream
   * @param aNow time */
  void onReached(const base::UpstreamName& aName, base::TimePoint aNow);

  /** Records that a connection could not be established. @param aName upstream
   * @param aNow time */
  void onFailed(const base::UpstreamName& aName, base::TimePoint aNow);

  /** Ends a doubt that has lasted too long. @param aNow time */
  void update(base::TimePoint aNow);

  PathState state() const { return mState; }

  /** A probe from nextProbes() has ended. @param aName upstream
   * @param aReached true if a connection was established @param aNow time */
  void onProbed(const base::UpstreamName& aName,
                bool aReached,
                base::TimePoint aNow);

  /** @param aName upstream @return true if requests can go to it straight */
  bool isDirect(const base::UpstreamName& aName) const;

  /** @return true if requests can go straight to an upstream */
  bool anyDirect() const;

  /** A request is not acknowledged. @param aNow time
   * @return true if other upstreams should be probed, which tells at once
   * whether the path or the upstream is the reason */
  bool onSuspicion(base::TimePoint aNow);

  /** @param aKnown upstreams that seem to be alive @param aRandom random bits
   * @param aNow time
   * @return upstreams to probe now, whose results settle the state */
  std::vector<base::UpstreamName> nextProbes(
    const std::vector<base::UpstreamName>& aKnown,
    std::uint64_t aRandom,
    base::TimePoint aNow);

private:
  /** Result of the latest connect to an upstream. */
  struct Link
  {
    bool reached = false;
    base::TimePoint at{};
  };
  struct Counts
  {
    std::size_t reached = 0;
    std::size_t failed = 0;
  };
  void record(const base::UpstreamName& aName,
              bool aReached,
              base::TimePoint aNow);
  Counts recentProbes(base::TimePoint aNow) const;
  std::size_t failures() const;
  std::size_t wantedProbes(base::TimePoint aNow) const;
  void evaluate(base::TimePoint aNow);
  void setState(PathState aState);

  PathState mState = PathState::Open;
  bool mHasPeers = false;
  bool mDoubtProbed = false;
  bool mSuspected = false; ///< since the latest probes
  std::size_t mUpstreamCount = 0;
  /** On an open path, the failures since the latest success. */
  std::map<base::UpstreamName, Link> mLinks;
  std::map<base::UpstreamName, Link> mProbes; ///< results
  std::set<base::UpstreamName> mProbesUnderWay;
  base::TimePoint mLastReachedAt{};
  base::TimePoint mDoubtedAt{};
  base::TimePoint mProbedAt{};
};

} // namespace marigold::dispatch
