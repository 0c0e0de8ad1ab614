/** @file Lookup of routes by host and longest path prefix. */
#pragma once

#include "catalog/types.h"

#include <string_view>
#include <unordered_map>

namespace marigold::catalog {

/** Index of the routes by host and path prefix. */
class RouteTable
{
public:
  RouteTable() = default;

  /** @param aRoutes routes; must outlive the table */
  explicit RouteTable(const std::vector<Route>& aRoutes);

  /**
   * @param aHost Host header; port and case are ignored
   * @param aTarget request target: path with an optional query
   * @return the route with the longest matching prefix, or nullptr
   */
  const Route* find(std::string_view aHost, std::string_view aTarget) const;

private:
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>>
    mRoutesByHost;
};

/**
 * Picks one of a route's services in proportion to their weights.
 * @param aRoute route with at least one target
 * @param aHash hash of the request, which makes the choice reproducible
 * @return the service
 */
const ServiceName&
pickService(const Route& aRoute, std::uint64_t aHash);

} // namespace marigold::catalog
