/** @file The configuration in force, with its lookup tables. */
#pragma once

#include "catalog/catalog.h"

#include <memory>

namespace marigold::gateway {

/** One version with its lookups; a request keeps the one that it began with. */
struct CatalogSnapshot
{
  explicit CatalogSnapshot(catalog::Catalog aContent, std::string aText)
    : content(std::move(aContent))
    , text(std::move(aText))
    , routes(content.routes)
    , keys(content.teams)
  {
  }
  CatalogSnapshot(const CatalogSnapshot&) = delete;
  CatalogSnapshot& operator=(const CatalogSnapshot&) = delete;

  const catalog::Catalog content;
  const std::string text; ///< as published, for peers without the platform
  const catalog::RouteTable routes;
  const catalog::TeamKeys keys;
};

/** Holds the newest version that this process has seen; never goes back. */
class CatalogHolder
{
public:
  /** @return the version in force, or nullptr before the first */
  const std::shared_ptr<const CatalogSnapshot>& current() const
  {
    return mCurrent;
  }

  /** @return version number, 0 before the first */
  std::uint64_t version() const
  {
    return mCurrent ? mCurrent->content.version : 0;
  }

  /** @param aNext a version @return false if it is not newer */
  bool replaceIfNewer(std::shared_ptr<const CatalogSnapshot> aNext)
  {
    if (mCurrent && aNext->content.version <= mCurrent->content.version) {
      return false;
    }
    mCurrent = std::move(aNext);
    return true;
  }

private:
  std::shared_ptr<const CatalogSnapshot> mCurrent;
};

} // namespace marigold::gateway
