/**
 * @file
 * Load pattern: upstreams that fall over when they have to turn too many
 * requests away in a second, and bursts that no VM sees as a whole.
 */
#pragma once

#include "catalog/upstream.h"
#include "dispatch/upstream_notices.h"
#include "peers/messages.h"

#include <deque>
#include <map>
#include <optional>

namespace marigold::dispatch {

/** Requests that an upstream can run at the same time, as a VM knows them. */
struct Places
{
  double total = 0; ///< by slots, and by memory for requests of this size
  double taken = 0; ///< by requests of all VMs
  double own = 0;   ///< those of them that this VM has sent
};

/**
 * Keeps the requests of a fleet within the places of brittle upstreams. Each VM
 * has an equal part of the places of each upstream, of which it knows at any
 * moment how many it uses, so that a burst on all VMs fits in. A request beyond
 * that part is held for the report delay. Then the demand of all VMs is known,
 * and it may borrow a free place of another VM. How many the VMs together
 * borrow in that time is bounded by what the upstream survives if the owners of
 * the places want them at the same moment. Later, borrowed places are known and
 * reduce all parts.
 */
class BrittleGuard
{
public:
  /** @param aDelay longest time until a request of a peer is known here */
  void setReportDelay(base::Duration aDelay) { mReportDelay = aDelay; }

  /** @return time for which to hold a request before it asks again */
  base::Duration reportDelay() const { return mReportDelay; }

  /** @param aVms VMs of the fleet @param aRank place of this one in an order of
   * them that all know */
  void setFleet(std::size_t aVms, std::size_t aRank);

  /** @param aVms VMs whose reports are recent, with this one */
  void setHeard(std::size_t aVms) { mHeard = aVms; }

  /** Records what an answer says.
   * @param aService service of the upstream @param aProcess upstream
   * @param aMaxRejections rejections in a second that it survives, if it is
   * brittle @param aNow time
   * @return true if the service begins or ceases to be brittle */
  bool onAnswer(const catalog::ServiceName& aService,
                peers::ProcessTag aProcess,
                std::optional<std::uint32_t> aMaxRejections,
                base::TimePoint aNow);

  /** Records that an upstream had no room for a request.
   * @param aProcess upstream @param aNow time */
  void onRejected(peers::ProcessTag aProcess, base::TimePoint aNow);

  /** An upstream that has not said anything yet, because it has just started,
   * is taken for as brittle as the others of its service.
   * @param aService service of the upstream @param aProcess upstream
   * @param aNow time
   * @return rejections in a second that it survives, if it is brittle */
  std::optional<std::uint32_t> maxRejections(
    const catalog::ServiceName& aService,
    peers::ProcessTag aProcess,
    base::TimePoint aNow) const;

  /** Decides whether a request may be sent.
   * @param aProcess upstream @param aMaxRejections what it survives
   * @param aPlaces its places @param aPeers use by the peers
   * @param aChance random number in [0, 1) @param aNow time
   * @param aRepeated whether the request was held
   * @return whether it may be sent */
  Admission tryAdmit(peers::ProcessTag aProcess,
                     std::uint32_t aMaxRejections,
                     const Places& aPlaces,
                     const peers::BrittleUse& aPeers,
                     double aChance,
                     base::TimePoint aNow,
                     bool aRepeated);

  /** @param aProcess upstream @param aOwn requests of this VM there
   * @param aNow time @return use by this VM, for its peers */
  peers::BrittleUse use(peers::ProcessTag aProcess,
                        std::uint32_t aOwn,
                        base::TimePoint aNow) const;

  /** @param aNow time @return brittle services, for the peers */
  peers::BrittleServices services(base::TimePoint aNow) const;

  /** Adds what a peer knows. @param aServices from a peer @param aNow time */
  void merge(const peers::BrittleServices& aServices, base::TimePoint aNow);

  /** Forgets upstreams that have not answered for long. @param aNow time */
  void expire(base::TimePoint aNow);

private:
  /** What an upstream, or one of a service, said last. */
  struct Statement
  {
    std::optional<std::uint32_t> maxRejections;
    base::TimePoint at{};
  };
  struct State
  {
    std::optional<Statement> statement;
    std::deque<base::TimePoint> wants;
    double places = 0; ///< of the upstream, as last known
    std::deque<base::TimePoint> rejections;
    base::TimePoint changedAt{};
  };
  double ownPlaces(peers::ProcessTag aProcess, double aPlaces) const;
  double borrowed(peers::ProcessTag aProcess,
                  double aPlaces,
                  double aOwn) const;
  bool mayBorrow(const State& aState,
                 std::uint32_t aMaxRejections,
                 const Places& aPlaces,
                 const peers::BrittleUse& aPeers,
                 double aChance,
                 base::TimePoint aNow) const;
  void dropExpired(State& aState, base::TimePoint aNow) const;

  base::Duration mReportDelay{};
  std::size_t mVms = 1;
  std::size_t mRank = 0;
  std::size_t mHeard = 1;
  std::map<peers::ProcessTag, State> mStates;
  std::map<catalog::ServiceName, Statement> mServices;
};

} // namespace marigold::dispatch
