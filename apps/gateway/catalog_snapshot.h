/** @file The active configuration with its lookup tables. */
#pragma once

#include "catalog/catalog.h"

#include <memory>
#include <string>

namespace marigold::gateway {

/** An immutable configuration version with its lookup tables. A request uses
 * the version that was active when it arrived. */
struct CatalogSnapshot
{
  /** @param aContent a version of the configuration @param aText as published
   * @param aPrevious version before, whose tables are used again where the
   * content is the same; or nullptr */
  CatalogSnapshot(catalog::Catalog aContent,
                  std::shared_ptr<const std::string> aText,
                  const CatalogSnapshot* aPrevious)
    : content(std::move(aContent))
    , text(std::move(aText))
    , routes(aPrevious != nullptr && aPrevious->content.routes == content.routes
               ? aPrevious->routes
               : std::make_shared<catalog::RouteTable>(*content.routes))
    , keys(aPrevious != nullptr && aPrevious->content.teams == content.teams
             ? aPrevious->keys
             : std::make_shared<catalog::TeamKeys>(*content.teams))
  {
  }
  CatalogSnapshot(const CatalogSnapshot&) = delete;
  CatalogSnapshot& operator=(const CatalogSnapshot&) = delete;

  const catalog::Catalog content;
  /** As published; peers that lost the store fetch it. */
  const std::shared_ptr<const std::string> text;
  const std::shared_ptr<const catalog::RouteTable> routes;
  const std::shared_ptr<const catalog::TeamKeys> keys;
};

/** Holds the newest version that this process has seen. */
class CatalogHolder
{
public:
  /** @return the active version, or nullptr before the first */
  const std::shared_ptr<const CatalogSnapshot>& current() const
  {
    return mCurrent;
  }

  /** @return version number, 0 before the first */
  std::uint64_t version() const
  {
    return mCurrent ? mCurrent->content.version : 0;
  }

  /** @param aNext a version @return false if it is not newer than the active
   * one and was ignored */
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
