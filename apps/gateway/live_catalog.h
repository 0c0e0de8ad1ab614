/** @file The active configuration with its lookup tables. */
#pragma once

#include "catalog/catalog.h"

#include <memory>

namespace marigold::gateway {

/** An immutable configuration version with its lookup tables. A request uses
 * the version that was active when it arrived. */
struct LiveCatalog
{
  explicit LiveCatalog(catalog::Catalog aContent, std::string aText)
    : content(std::move(aContent))
    , text(std::move(aText))
    , routes(content.routes)
    , keys(content.teams)
  {
  }
  LiveCatalog(const LiveCatalog&) = delete;
  LiveCatalog& operator=(const LiveCatalog&) = delete;

  const catalog::Catalog content;
  const std::string text; ///< as published; peers that lost the store fetch it
  const catalog::RouteTable routes;
  const catalog::TeamKeys keys;
};

/** Holds the newest version that this process has seen. */
class CatalogHolder
{
public:
  /** @return the active version, or nullptr before the first */
  const std::shared_ptr<const LiveCatalog>& current() const { return mCurrent; }

  /** @return version number, 0 before the first */
  std::uint64_t version() const
  {
    return mCurrent ? mCurrent->content.version : 0;
  }

  /** @param aNext a version @return false if it is not newer than the active
   * one and was ignored */
  bool offer(std::shared_ptr<const LiveCatalog> aNext)
  {
    if (mCurrent && aNext->content.version <= mCurrent->content.version) {
      return false;
    }
    mCurrent = std::move(aNext);
    return true;
  }

private:
  std::shared_ptr<const LiveCatalog> mCurrent;
};

} // namespace marigold::gateway
