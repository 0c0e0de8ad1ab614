/** @file Known upstreams and the load that this VM causes on each. */
#pragma once

#include "apps/gateway/reachability_probe.h"
#include "catalog/catalog.h"
#include "dispatch/dispatch.h"
#include "peers/peers.h"
#include "platform/boundary.h"
#include "wire/connection_pool.h"

#include <map>
#include <memory>
#include <optional>

namespace marigold::gateway {

/** The record of an upstream whose process has ended is removed within this
 * time, after three missed heartbeats, unless the store is down. */
inline constexpr base::Duration kRecordLifetime = std::chrono::seconds(6);

/** Whether the process of a record still runs, as far as this VM has seen. The
 * record of a crashed one stays for several heartbeats. */
enum class Presence : std::uint8_t
{
  Present,
  Refusing, ///< nothing listens at its address
  Doubtful, ///< something listens there again; an answer shows whether it is it
  Replaced, ///< another process answers there
};

/** An upstream and the load that this VM causes on it. */
struct Upstream
{
  catalog::UpstreamRecord record;
  bool removed = false; ///< its record was removed
  Presence presence = Presence::Present;
  /** By its record; unknown once another process was found at its address. */
  peers::SoftwareTag software = peers::kUnknownSoftware;
  /** Another process, of other software, may have taken its name, whose record
   * is late. Ends when the process names itself, or with its record. */
  bool softwareUncertain = false;
  base::TimePoint softwareDoubtedAt{}; ///< when that was last seen
  base::TimePoint
    softwareConfirmedAt{};      ///< asked then, it was the one recorded
  base::TimePoint replacedAt{}; ///< when another process answered
  std::uint32_t running = 0;
  double queuedMs = 0;
  double lowPriorityMs = 0;
  double memoryTokens = 0;
  boundary::ReportedLoad reportedLoad;
  base::TimePoint reportedAt{};
  /** Models that it refused although its record lists them, with the time until
   * which it gets no requests for them. */
  std::map<catalog::ModelRef, base::TimePoint> refusedModels;

  /** @return true if its process seems to have ended */
  bool processEnded() const
  {
    return presence == Presence::Refusing || presence == Presence::Replaced;
  }

  /** Its process may have ended. @param aNow time */
  void doubtSoftware(base::TimePoint aNow)
  {
    softwareUncertain = true;
    softwareDoubtedAt = aNow;
    softwareConfirmedAt = {};
  }

  /** @return true if it accepts new requests */
  bool usable() const
  {
    return !removed && !record.draining && !processEnded();
  }

  /** Takes note of an answer from its address.
   * @param aMisdirected true if the answer says that the request, which named
   * this upstream, its model and its adapter, is for another one
   * @param aByOther true if the answer names another upstream
   * @param aNow time */
  void onAnswer(bool aMisdirected, bool aByOther, base::TimePoint aNow);

  dispatch::UpstreamProcess process() const
  {
    return { record.name, record.startedAt };
  }

  wire::UpstreamKey peer() const { return { record.name, record.address }; }
};

/** All known upstreams by name, with the placements from the owner of orders.
 */
class UpstreamTable
{
public:
  using Map = std::map<base::UpstreamName, std::shared_ptr<Upstream>>;

  /** Effect of applying a record. */
  enum class Change : std::uint8_t
  {
    None,
    ModelsChanged,
    Added,
    Restarted, ///< another process under the same name
    Draining,
  };

  /** @param aRecord latest record of an upstream @return effect on the table */
  Change apply(const catalog::UpstreamRecord& aRecord);

  /** Takes note of whether a process listens at an address.
   * @param aUpstream name and address @param aResult result of connecting
   * @param aNow time
   * @return the upstream if it became usable or unusable, or nullptr */
  std::shared_ptr<Upstream> applyProbe(const wire::UpstreamKey& aUpstream,
                                       ProbeResult aResult,
                                       base::TimePoint aNow);

  /** Gives upstreams another try at whose addresses others seemed to answer and
   * whose records are still there. @param aNow time */
  void reconsiderReplaced(base::TimePoint aNow);

  /** Removes an upstream whose record was removed. @param aName its name
   * @param aNow time @return true if it was known */
  bool remove(const base::UpstreamName& aName, base::TimePoint aNow);

  /** @param aRecord record from an older copy of the store
   * @return true if a later record of that name was known, also if it was
   * removed since */
  bool isOutdated(const catalog::UpstreamRecord& aRecord) const;

  /** Forgets upstreams that were removed so long ago that no copy of the store
   * lists them. @param aNow time */
  void expireRemoved(base::TimePoint aNow);

  /** Marks upstreams as draining that a peer saw draining.
   * @param aDraining names, each with the tag of its process
   * @return those that did not count as draining */
  std::vector<base::UpstreamName> markDraining(
    const std::map<base::UpstreamName, std::uint32_t>& aDraining);

  /** @return names of draining upstreams, each with the tag of its process */
  std::map<base::UpstreamName, std::uint32_t> draining() const;

  /** @param aUpdate placements from the owner of orders; an incremental update
   * applies only on top of one with the same fencing token */
  void applyPlacements(const peers::PlacementUpdate& aUpdate);

  /** Discards the placements because the owner of orders sends none; adapters
   * are looked up in the upstreams' own records again. */
  void clearPlacements();

  /** @return true if, as far as known, the upstream can run requests for the
   * model or adapter */
  bool canServe(const Upstream& aUpstream,
                const catalog::ModelRef& aRef,
                base::TimePoint aNow) const;

  /** @param aRef model or adapter @param aNow time
   * @param aSoftware software that it must have, if it matters
   * @return true if any usable upstream can serve the model or adapter */
  bool anyCanServe(
    const catalog::ModelRef& aRef,
    base::TimePoint aNow,
    std::optional<peers::SoftwareTag> aSoftware = std::nullopt) const;

  const Map& all() const { return mUpstreams; }

  /** @param aTag tag of a process
   * @return the usable upstream with this process, or nullptr */
  std::shared_ptr<Upstream> findProcess(peers::ProcessTag aTag) const;

  /** @param aName upstream name @return the upstream, or nullptr if unknown */
  std::shared_ptr<Upstream> find(const base::UpstreamName& aName) const;

private:
  /** The last record of an upstream that was removed. */
  struct Removed
  {
    std::uint64_t startedAt = 0;
    std::uint64_t heartbeats = 0;
    base::TimePoint removedAt{};
  };

  Map mUpstreams;
  std::map<base::UpstreamName, Removed> mRemoved;
  void setPlacement(const base::UpstreamName& aName,
                    const peers::EnginePlacement& aPlacement);

  bool mHasPlacements = false;
  std::uint64_t mPlacementFencingToken = 0;
  std::map<base::UpstreamName, std::set<catalog::ModelRef>> mPlacements;
  std::map<base::UpstreamName, std::set<std::string>> mUnloadingModels;
};

} // namespace marigold::gateway
