/**
 * @file
 * Load pattern: a release replaces the upstreams of a service one after the
 * other, and two versions of their software serve side by side.
 */
#pragma once

#include "catalog/catalog.h"
#include "peers/peers.h"

#include <map>
#include <optional>
#include <set>

namespace marigold::dispatch {

/** @param aRecord record of an upstream
 * @return tag of its software. Without a version nobody is known to run the
 * same, so the tag is that of its process. */
peers::SoftwareTag
softwareTag(const catalog::UpstreamRecord& aRecord);

/**
 * Remembers which software has served each service recently. As long as it was
 * the same all the time, it has begun every stream that may be taken up, and
 * nothing has to be known of the single stream.
 */
class SoftwareHistory
{
public:
  using Table = std::map<catalog::ServiceName, std::set<peers::SoftwareTag>>;

  /** @param aLifetime longest time between the first event of a stream and its
   * last continuation */
  void setLifetime(base::Duration aLifetime) { mLifetime = aLifetime; }

  /** @return longest time between the first event of a stream and its last
   * continuation */
  base::Duration lifetime() const { return mLifetime; }

  /** @param aService service @param aSoftware software of one of its upstreams
   * @param aNow time */
  void observe(const catalog::ServiceName& aService,
               peers::SoftwareTag aSoftware,
               base::TimePoint aNow);

  /** Adds what others have observed within the lifetime.
   * @param aTable software by service @param aNow time */
  void merge(const Table& aTable, base::TimePoint aNow);

  /** Forgets software that has not served for a lifetime. @param aNow time */
  void expire(base::TimePoint aNow);

  /** @param aService service @param aNow time
   * @return the only software that can have begun a stream which may still be
   * taken up, or nothing if there are several or none */
  std::optional<peers::SoftwareTag> only(const catalog::ServiceName& aService,
                                         base::TimePoint aNow) const;

  /** @param aNow time @return true if a service has had several versions
   * recently */
  bool mixed(base::TimePoint aNow) const;

  /** @param aNow time @return software that has served recently */
  Table recent(base::TimePoint aNow) const;

private:
  base::Duration mLifetime = std::chrono::seconds(30);
  /** When each was last seen in service. */
  std::map<catalog::ServiceName, std::map<peers::SoftwareTag, base::TimePoint>>
    mLastSeen;
};

} // namespace marigold::dispatch
