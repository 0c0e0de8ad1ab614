#include "catalog/route_table.h"

#include <algorithm>
#include <cctype>

namespace marigold::catalog {
namespace {

std::string
normalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return host;
}

} // namespace

RouteTable::RouteTable(const std::vector<Route>& aRoutes)
{
  for (const Route& route : aRoutes) {
    mRoutesByHost[normalizeHost(route.host)][route.prefix] = &route;
  }
}

const Route*
RouteTable::find(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = mRoutesByHost.find(normalizeHost(aHost));
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  const std::string path(aTarget.substr(0, aTarget.find('?')));
  // Prefixes end with a slash, so only substrings that end with one can match.
  for (std::size_t slash = path.rfind('/'); slash != std::string::npos;
       slash = slash == 0 ? std::string::npos : path.rfind('/', slash - 1)) {
    const auto route = host->second.find(path.substr(0, slash + 1));
    if (route != host->second.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const ServiceName&
pickService(const Route& aRoute, std::uint64_t aHash)
{
  double total = 0;
  for (const RouteTarget& target : aRoute.targets) {
    total += target.weight;
  }
  constexpr double kHashRange = 0x1.0p64;
  double point = static_cast<double>(aHash) / kHashRange * total;
  for (const RouteTarget& target : aRoute.targets) {
    if (point < target.weight) {
      return target.service;
    }
    point -= target.weight;
  }
  return aRoute.targets.back().service;
}

} // namespace marigold::catalog
