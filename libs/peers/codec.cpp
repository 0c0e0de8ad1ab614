#include "peers/peers.h"

#include <nlohmann/json.hpp>

namespace marigold::peers {
namespace {

using nlohmann::json;

/** Raised with every change that an older program cannot read. */
constexpr int kFormat = 1;

json
encodeLoads(const Status& aStatus)
{
  json loads = json::object();
  for (const auto& [name, load] : aStatus.loads) {
    loads[name] = json::array(
      { load.running, load.queuedMs, load.patientMs, load.memoryTokens });
  }
  return loads;
}

json
encodeDemand(const Status& aStatus)
{
  json demand = json::object();
  for (const auto& [name, row] : aStatus.demand) {
    demand[name] =
      json::array({ row.workMsPerSecond, row.waiting, row.running });
  }
  return demand;
}

json
encodeAdapters(const Status& aStatus)
{
  json places = json::array();
  for (const AdapterPlace& place : aStatus.adapters) {
    places.push_back(
      json::array({ place.upstream, place.model, place.adapters }));
  }
  return places;
}

void
decodeTables(const json& aFrom, Status& aStatus)
{
  for (const auto& [name, row] : aFrom.at("load").items()) {
    aStatus.loads[name] = { row.at(0), row.at(1), row.at(2), row.at(3) };
  }
  for (const auto& [name, row] : aFrom.at("demand").items()) {
    aStatus.demand[name] = { row.at(0), row.at(1), row.at(2) };
  }
  for (const json& row : aFrom.at("adapters")) {
    aStatus.adapters.push_back({ row.at(0), row.at(1), row.at(2) });
  }
}

} // namespace

std::string
encode(const Status& aStatus)
{
  const json content{ { "format", kFormat },
                      { "vm", aStatus.vm },
                      { "incarnation", aStatus.incarnation },
                      { "sequence", aStatus.sequence },
                      { "catalog", aStatus.catalogVersion },
                      { "fence", aStatus.fence },
                      { "departing", aStatus.departing },
                      { "lapsed", aStatus.lapsed },
                      { "usage", aStatus.usage },
                      { "load", encodeLoads(aStatus) },
                      { "demand", encodeDemand(aStatus) },
                      { "adapters", encodeAdapters(aStatus) },
                      { "retiring", aStatus.retiring },
                      { "crashes", aStatus.crashes },
                      { "leaving", aStatus.leaving } };
  const auto bytes = json::to_msgpack(content);
  return { bytes.begin(), bytes.end() };
}

base::Result<Status>
decode(const std::string& aBytes)
{
  const json content = json::from_msgpack(aBytes, true, false);
  try {
    if (content.at("format") != kFormat) {
      return base::fail(base::Code::MessageVersionUnsupported,
                        "status of another format");
    }
    Status status;
    status.vm = content.at("vm");
    status.incarnation = content.at("incarnation");
    status.sequence = content.at("sequence");
    status.catalogVersion = content.at("catalog");
    status.fence = content.at("fence");
    status.departing = content.at("departing");
    status.lapsed = content.at("lapsed").get<std::vector<std::string>>();
    status.usage = content.at("usage").get<std::map<std::string, double>>();
    status.crashes =
      content.at("crashes").get<std::map<std::string, std::uint32_t>>();
    status.retiring = content.at("retiring")
                        .get<std::map<std::string, std::vector<std::string>>>();
    status.leaving =
      content.at("leaving").get<std::map<std::string, std::uint32_t>>();
    decodeTables(content, status);
    return status;
  } catch (const json::exception& wrong) {
    return base::fail(base::Code::MessageMalformed, wrong.what());
  }
}

} // namespace marigold::peers
