/** @file Lookup of routes by host and longest path prefix. */
#pragma once

#include "catalog/types.h"

#include <string_view>
#include <unordered_map>

namespace marigold::catalog {

/** Finds the route of a request. */
class RouteTable
{
public:
  RouteTable() = default;

  /** @param aRoutes routes; they must outlive the table */
  explicit RouteTable(const std::vector<Route>& aRoutes);

  /**
   * @param aHost host header; a port and the case are ignored
   * @param aTarget path with an optional query
   * @return the route with the longest matching prefix, or nullptr
   */
  const Route* find(std::string_view aHost, std::string_view aTarget) const;

private:
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>>
    mHosts;
};

/**
 * Picks one of a route's services in proportion to their weights.
 * @param aRoute route with at least one target
 * @param aHash hash of the request, so that the choice can be repeated
 * @return the service
 */
const ServiceName&
pickService(const Route& aRoute, std::uint64_t aHash);

} // namespace marigold::catalog
