#include "peers/messages.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace marigold::peers {
namespace {

using nlohmann::json;

/** Raised with every change that an older program cannot read. */
constexpr int kFormat = 4;

enum class Kind : std::uint8_t
{
  Status,
  Summary,
  PlacementUpdate,
};

json
encodeUsage(const Usage& aUsage)
{
  json usage = json::object();
  for (const auto& [team, total] : aUsage) {
    // Whole units take half the bytes; rounding up never counts too little.
    usage[team] = static_cast<std::uint64_t>(std::ceil(total));
  }
  return usage;
}

json
encodeLevels(const Usage& aLevels)
{
  json levels = json::object();
  for (const auto& [team, level] : aLevels) {
    levels[team] = static_cast<std::uint64_t>(std::max(0.0, level));
  }
  return levels;
}

json
encodeLoads(const LoadTable& aLoads)
{
  json loads = json::object();
  for (const auto& [name, load] : aLoads) {
    loads[name] = json::array(
      { load.running, load.queuedMs, load.lowPriorityMs, load.memoryTokens });
  }
  return loads;
}

json
encodeDemand(const DemandTable& aDemand)
{
  json demand = json::object();
  for (const auto& [name, row] : aDemand) {
    demand[name] =
      json::array({ row.workMsPerSecond, row.waiting, row.running });
  }
  return demand;
}

LoadTable
decodeLoads(const json& aFrom)
{
  LoadTable loads;
  for (const auto& [name, row] : aFrom.items()) {
    loads[name] = { row.at(0), row.at(1), row.at(2), row.at(3) };
  }
  return loads;
}

DemandTable
decodeDemand(const json& aFrom)
{
  DemandTable demand;
  for (const auto& [name, row] : aFrom.items()) {
    demand[name] = { row.at(0), row.at(1), row.at(2) };
  }
  return demand;
}

json
encodeBody(const Status& aStatus)
{
  return json::array({ aStatus.vm,
                       aStatus.dataCentre,
                       aStatus.incarnation,
                       aStatus.sequence,
                       aStatus.catalogVersion,
                       aStatus.draining,
                       encodeUsage(aStatus.usage),
                       encodeLevels(aStatus.levels),
                       aStatus.unregistered,
                       encodeLoads(aStatus.loads),
                       encodeDemand(aStatus.demand),
                       aStatus.crashes,
                       aStatus.drainingUpstreams });
}

Status
decodeStatus(const json& aBody)
{
  std::size_t field = 0;
  const auto next = [&]() -> const json& { return aBody.at(field++); };
  Status status;
  status.vm = next();
  status.dataCentre = next();
  status.incarnation = next();
  status.sequence = next();
  status.catalogVersion = next();
  status.draining = next();
  status.usage = next().get<Usage>();
  status.levels = next().get<Usage>();
  status.unregistered = next().get<std::vector<std::string>>();
  status.loads = decodeLoads(next());
  status.demand = decodeDemand(next());
  status.crashes = next().get<std::map<std::string, std::uint32_t>>();
  status.drainingUpstreams = next().get<std::map<std::string, std::uint32_t>>();
  return status;
}

json
encodeBody(const Summary& aSummary)
{
  json members = json::object();
  for (const auto& [vm, member] : aSummary.members) {
    members[vm] = json::array({ member.incarnation,
                                member.sequence,
                                member.draining,
                                encodeUsage(member.usage) });
  }
  return json::array({ aSummary.dataCentre,
                       aSummary.relay,
                       aSummary.incarnation,
                       aSummary.sequence,
                       aSummary.catalogVersion,
                       members,
                       encodeLevels(aSummary.levels),
                       aSummary.unregistered,
                       encodeLoads(aSummary.loads),
                       encodeDemand(aSummary.demand),
                       aSummary.crashes,
                       aSummary.drainingUpstreams });
}

Summary
decodeSummary(const json& aBody)
{
  std::size_t field = 0;
  const auto next = [&]() -> const json& { return aBody.at(field++); };
  Summary summary;
  summary.dataCentre = next();
  summary.relay = next();
  summary.incarnation = next();
  summary.sequence = next();
  summary.catalogVersion = next();
  for (const auto& [vm, row] : next().items()) {
    summary.members[vm] = {
      row.at(0), row.at(1), row.at(2), row.at(3).get<Usage>()
    };
  }
  summary.levels = next().get<Usage>();
  summary.unregistered = next().get<std::vector<std::string>>();
  summary.loads = decodeLoads(next());
  summary.demand = decodeDemand(next());
  summary.crashes = next().get<std::map<std::string, std::uint32_t>>();
  summary.drainingUpstreams =
    next().get<std::map<std::string, std::uint32_t>>();
  return summary;
}

json
encodeBody(const PlacementUpdate& aPlaces)
{
  json engines = json::object();
  for (const auto& [name, place] : aPlaces.engines) {
    engines[name] = json::array({ place.adapters, place.unloading });
  }
  json ages = json::array();
  for (const base::Duration age : aPlaces.loadAges) {
    ages.push_back(base::inMilliseconds(age));
  }
  return json::array({ aPlaces.owner,
                       aPlaces.fencingToken,
                       aPlaces.sequence,
                       aPlaces.complete,
                       engines,
                       ages });
}

PlacementUpdate
decodePlaces(const json& aBody)
{
  std::size_t field = 0;
  const auto next = [&]() -> const json& { return aBody.at(field++); };
  PlacementUpdate places;
  places.owner = next();
  places.fencingToken = next();
  places.sequence = next();
  places.complete = next();
  for (const auto& [name, row] : next().items()) {
    places.engines[name] = {
      row.at(0).get<std::map<std::string, std::vector<std::string>>>(),
      row.at(1).get<std::vector<std::string>>()
    };
  }
  for (const json& age : next()) {
    places.loadAges.emplace_back(
      std::chrono::milliseconds(age.get<std::int64_t>()));
  }
  return places;
}

} // namespace

UpstreamLoad&
UpstreamLoad::operator+=(const UpstreamLoad& aOther)
{
  running += aOther.running;
  queuedMs += aOther.queuedMs;
  lowPriorityMs += aOther.lowPriorityMs;
  memoryTokens += aOther.memoryTokens;
  return *this;
}

UpstreamLoad&
UpstreamLoad::operator-=(const UpstreamLoad& aOther)
{
  running -= aOther.running;
  queuedMs -= aOther.queuedMs;
  lowPriorityMs -= aOther.lowPriorityMs;
  memoryTokens -= aOther.memoryTokens;
  return *this;
}

ModelDemand&
ModelDemand::operator+=(const ModelDemand& aOther)
{
  workMsPerSecond += aOther.workMsPerSecond;
  waiting += aOther.waiting;
  running += aOther.running;
  return *this;
}

ModelDemand&
ModelDemand::operator-=(const ModelDemand& aOther)
{
  workMsPerSecond -= aOther.workMsPerSecond;
  waiting -= aOther.waiting;
  running -= aOther.running;
  return *this;
}

std::string
encode(const Message& aMessage)
{
  const json body = std::visit(
    [](const auto& aContent) { return encodeBody(aContent); }, aMessage);
  const auto bytes =
    json::to_msgpack(json::array({ kFormat, aMessage.index(), body }));
  return { bytes.begin(), bytes.end() };
}

base::Result<Message>
decode(const std::string& aBytes)
{
  const json content = json::from_msgpack(aBytes, true, false);
  try {
    if (content.at(0) != kFormat) {
      return base::fail(base::Code::MessageVersionUnsupported,
                        "message of another format");
    }
    switch (content.at(1).get<Kind>()) {
      case Kind::Status:
        return Message(decodeStatus(content.at(2)));
      case Kind::Summary:
        return Message(decodeSummary(content.at(2)));
      case Kind::PlacementUpdate:
        return Message(decodePlaces(content.at(2)));
    }
    return base::fail(base::Code::MessageMalformed, "message of unknown kind");
  } catch (const json::exception& wrong) {
    return base::fail(base::Code::MessageMalformed, wrong.what());
  }
}

} // namespace marigold::peers
