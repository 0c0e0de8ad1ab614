/** @file The upstreams that this VM knows, with its own work there. */
#pragma once

#include "catalog/catalog.h"
#include "dispatch/dispatch.h"
#include "peers/peers.h"
#include "platform/boundary.h"
#include "wire/connection_pool.h"

#include <map>
#include <memory>

namespace marigold::gateway {

/** An upstream and what this VM does there. */
struct Upstream
{
  catalog::UpstreamRecord record;
  bool gone = false; ///< its record was removed
  std::uint32_t running = 0;
  double queuedMs = 0;
  double patientMs = 0;
  double memoryTokens = 0;
  boundary::ToldLoad told;
  base::TimePoint toldAt{};
  /** Models that it refused although its record lists them, until then. */
  std::map<catalog::ModelRef, base::TimePoint> missing;

  /** @return true if it takes new requests */
  bool usable() const { return !gone && !record.leaving; }

  wire::UpstreamKey peer() const { return { record.name, record.address }; }
};

/** All known upstreams by name. */
class UpstreamTable
{
public:
  using Map = std::map<base::UpstreamName, std::shared_ptr<Upstream>>;

  /** What applying a record changed. */
  enum class Change : std::uint8_t
  {
    None,
    ModelsChanged,
    Added,
    Restarted, ///< another process under the same name
    Left,
  };

  /** @param aRecord newest record of an upstream @return what it changed */
  Change apply(const catalog::UpstreamRecord& aRecord);

  /** The record of an upstream is gone. @return true if it was known */
  bool remove(const base::UpstreamName& aName);

  /** Marks upstreams that a peer saw leaving.
   * @param aLeaving names with a tag of the process */
  void markLeaving(const std::map<base::UpstreamName, std::uint32_t>& aLeaving);

  /** @return names of upstreams that are leaving, with a tag of the process */
  std::map<base::UpstreamName, std::uint32_t> leaving() const;

  /** @param aPlaces what the owner of orders knows of the engines */
  void usePlaces(const peers::Places& aPlaces);

  /** The owner of orders is silent; the upstreams' own records count again. */
  void clearPlaces();

  /** @return true if the upstream probably can run requests for the model */
  bool holds(const Upstream& aUpstream,
             const catalog::ModelRef& aRef,
             base::TimePoint aNow) const;

  /** @return true if some upstream takes requests for the model */
  bool served(const catalog::ModelRef& aRef, base::TimePoint aNow) const;

  const Map& all() const { return mUpstreams; }

  /** @param aName upstream @return it, or nullptr */
  std::shared_ptr<Upstream> find(const base::UpstreamName& aName) const;

private:
  Map mUpstreams;
  void setPlace(const base::UpstreamName& aName,
                const peers::EnginePlace& aPlace);

  bool mHasPlaces = false;
  std::uint64_t mPlacesFence = 0;
  std::map<base::UpstreamName, std::set<catalog::ModelRef>> mPlaces;
  std::map<base::UpstreamName, std::set<std::string>> mRetiring;
};

} // namespace marigold::gateway
