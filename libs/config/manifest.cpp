#include "config/manifest.h"

#include "config/checked_node.h"

#include <algorithm>
#include <map>
#include <set>

namespace marigold::config {
namespace {

using namespace std::chrono_literals;

constexpr double kMaxRate = 1e9;
constexpr std::int64_t kMaxMemoryMb = 1'000'000;
constexpr base::Duration kMaxDeadline = 1h;
constexpr base::Duration kMaxKeyStaleness = 24h;

/** Reads a list whose items have unique names. */
template<typename Item, typename Reader>
std::vector<Item>
readNamed(const CheckedNode& aNode, Reader aReader)
{
  std::vector<Item> items;
  std::set<std::string> names;
  for (CheckedNode& item : aNode.items()) {
    Item parsed = aReader(item);
    item.rejectUnknownKeys();
    if (!names.insert(parsed.name).second) {
      item.reject("a name that occurs once; \"" + parsed.name +
                  "\" occurs twice");
    }
    items.push_back(std::move(parsed));
  }
  return items;
}

Team
readTeam(CheckedNode& aNode)
{
  constexpr int kMaxPriority = 9;
  Team team;
  team.name = aNode.require("name").name();
  team.rate = aNode.require("rate").number(0, kMaxRate);
  team.burst = aNode.require("burst").number(0, kMaxRate);
  if (aNode.has("priority")) {
    team.priority =
      static_cast<int>(aNode.require("priority").integer(0, kMaxPriority));
  }
  if (aNode.has("key_staleness")) {
    team.keyStaleness =
      aNode.require("key_staleness").duration(3s, kMaxKeyStaleness);
  }
  return team;
}

Adapter
readAdapter(CheckedNode& aNode)
{
  Adapter adapter;
  adapter.name = aNode.require("name").name();
  adapter.memoryMb =
    static_cast<int>(aNode.require("memory_mb").integer(0, kMaxMemoryMb));
  return adapter;
}

std::vector<base::TeamName>
readTeamNames(CheckedNode& aNode)
{
  std::vector<base::TeamName> teams;
  if (aNode.has("teams")) {
    for (const CheckedNode& item : aNode.require("teams").items()) {
      teams.push_back(item.name());
    }
  }
  return teams;
}

Model
readModel(CheckedNode& aNode)
{
  Model model;
  model.name = aNode.require("name").name();
  model.version = aNode.require("version").name();
  model.memoryMb =
    static_cast<int>(aNode.require("memory_mb").integer(1, kMaxMemoryMb));
  if (aNode.has("deadline")) {
    model.deadline = aNode.require("deadline").duration(1ms, kMaxDeadline);
  }
  if (aNode.has("adapters")) {
    model.adapters =
      readNamed<Adapter>(aNode.require("adapters"), &readAdapter);
  }
  model.teams = readTeamNames(aNode);
  return model;
}

Route
readRoute(CheckedNode& aNode)
{
  Route route;
  route.method =
    aNode.require("method").oneOf({ "GET", "POST", "PUT", "DELETE", "PATCH" });
  const CheckedNode path = aNode.require("path");
  route.pathPrefix = path.text();
  if (!route.pathPrefix.starts_with('/') ||
      route.pathPrefix.starts_with("/v1/")) {
    path.reject("a path that starts with / and not with /v1/");
  }
  route.idempotent = aNode.require("idempotent").boolean();
  if (aNode.has("open")) {
    route.open = aNode.require("open").boolean();
  }
  if (aNode.has("cost")) {
    route.cost = aNode.require("cost").number(0, kMaxRate);
  }
  if (aNode.has("deadline")) {
    route.deadline = aNode.require("deadline").duration(1ms, kMaxDeadline);
  }
  return route;
}

Service
readService(CheckedNode& aNode)
{
  Service service;
  service.name = aNode.require("name").name();
  for (CheckedNode& item : aNode.require("routes").items()) {
    service.routes.push_back(readRoute(item));
    item.rejectUnknownKeys();
  }
  service.teams = readTeamNames(aNode);
  return service;
}

DataCentreInfo
readDataCentre(CheckedNode& aNode)
{
  constexpr std::int64_t kMaxEntrySlots = 1000;
  DataCentreInfo dataCentre;
  dataCentre.name = aNode.require("name").name();
  dataCentre.region = aNode.require("region").name();
  if (aNode.has("entry_slots")) {
    dataCentre.entrySlots =
      static_cast<int>(aNode.require("entry_slots").integer(1, kMaxEntrySlots));
  }
  return dataCentre;
}

/** Throws InvalidContent if a team is not declared in the manifest. */
void
checkTeamNames(const Manifest& aManifest,
               const std::vector<base::TeamName>& aTeams,
               const std::string& aPath,
               const std::string& aFile)
{
  for (const base::TeamName& team : aTeams) {
    if (findTeam(aManifest, team) == nullptr) {
      throw InvalidContent(aFile + ": " + aPath + ".teams: found \"" + team +
                           "\"; allowed: a team that the manifest declares");
    }
  }
}

Manifest
readManifest(CheckedNode& aRoot, const std::string& aFile)
{
  Manifest manifest;
  aRoot.require("format").integer(1, 1);
  const CheckedNode dataCentres = aRoot.require("data_centres");
  manifest.dataCentres =
    readNamed<DataCentreInfo>(dataCentres, &readDataCentre);
  if (manifest.dataCentres.empty()) {
    dataCentres.reject("at least one data centre");
  }
  manifest.teams = readNamed<Team>(aRoot.require("teams"), &readTeam);
  manifest.models = readNamed<Model>(aRoot.require("models"), &readModel);
  if (aRoot.has("services")) {
    manifest.services =
      readNamed<Service>(aRoot.require("services"), &readService);
  }
  for (const Model& model : manifest.models) {
    checkTeamNames(manifest, model.teams, "models." + model.name, aFile);
  }
  for (const Service& service : manifest.services) {
    checkTeamNames(manifest, service.teams, "services." + service.name, aFile);
  }
  return manifest;
}

/** @return the number without trailing zeros */
std::string
formatNumber(double aValue)
{
  std::string text = std::to_string(aValue);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

std::string
join(const std::vector<std::string>& aNames)
{
  std::string joined;
  for (const std::string& name : aNames) {
    joined += (joined.empty() ? "" : ",") + name;
  }
  return joined;
}

/** @return the description of each entry of a manifest by its path */
std::map<std::string, std::string>
flatten(const Manifest& aManifest)
{
  std::map<std::string, std::string> entries;
  for (const DataCentreInfo& dataCentre : aManifest.dataCentres) {
    entries["data_centre " + dataCentre.name] =
      "region " + dataCentre.region + " entry_slots " +
      std::to_string(dataCentre.entrySlots);
  }
  for (const Team& team : aManifest.teams) {
    entries["team " + team.name] =
      "rate " + formatNumber(team.rate) + " burst " + formatNumber(team.burst) +
      " priority " + std::to_string(team.priority) + " key_staleness " +
      std::to_string(base::inMilliseconds(team.keyStaleness)) + "ms";
  }
  for (const Model& model : aManifest.models) {
    entries["model " + model.name] =
      "version " + model.version + " memory_mb " +
      std::to_string(model.memoryMb) + " deadline " +
      std::to_string(base::inMilliseconds(model.deadline)) + "ms teams [" +
      join(model.teams) + "]";
    for (const Adapter& adapter : model.adapters) {
      entries["model " + model.name + " adapter " + adapter.name] =
        "memory_mb " + std::to_string(adapter.memoryMb);
    }
  }
  for (const Service& service : aManifest.services) {
    entries["service " + service.name] = "teams [" + join(service.teams) + "]";
    for (const Route& route : service.routes) {
      entries["service " + service.name + " route " + route.method + " " +
              route.pathPrefix] =
        std::string(route.idempotent ? "idempotent" : "non-idempotent") +
        (route.open ? " open" : "") +
        " cost " + formatNumber(route.cost) + " deadline " +
        std::to_string(base::inMilliseconds(route.deadline)) + "ms";
    }
  }
  return entries;
}

} // namespace

base::Result<Manifest>
parseManifest(const std::string& aText, const std::string& aFile)
{
  return parseChecked(
    aText, aFile, base::Code::ManifestInvalid, [&](CheckedNode& aRoot) {
      return readManifest(aRoot, aFile);
    });
}

std::vector<std::string>
diffManifests(const Manifest& aBefore, const Manifest& aAfter)
{
  const auto before = flatten(aBefore);
  const auto after = flatten(aAfter);
  std::vector<std::string> lines;
  for (const auto& [path, value] : before) {
    const auto found = after.find(path);
    if (found == after.end()) {
      lines.push_back("- " + path + ": " + value);
    } else if (found->second != value) {
      lines.push_back("~ " + path + ": " + value + " -> " + found->second);
    }
  }
  for (const auto& [path, value] : after) {
    if (!before.contains(path)) {
      lines.push_back("+ " + path + ": " + value);
    }
  }
  return lines;
}

const Team*
findTeam(const Manifest& aManifest, const base::TeamName& aName)
{
  const auto found =
    std::find_if(aManifest.teams.begin(),
                 aManifest.teams.end(),
                 [&](const Team& aTeam) { return aTeam.name == aName; });
  return found == aManifest.teams.end() ? nullptr : &*found;
}

const Model*
findModel(const Manifest& aManifest, const base::ModelName& aName)
{
  const auto found =
    std::find_if(aManifest.models.begin(),
                 aManifest.models.end(),
                 [&](const Model& aModel) { return aModel.name == aName; });
  return found == aManifest.models.end() ? nullptr : &*found;
}

} // namespace marigold::config
