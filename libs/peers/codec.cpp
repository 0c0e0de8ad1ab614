#include "peers/messages.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace marigold::peers {
namespace {

using nlohmann::json;

/** Incremented with every change that older versions cannot decode. */
constexpr int kFormatVersion = 5;

enum class MessageKind : std::uint8_t
{
  Status,
  Summary,
  PlacementUpdate,
  CrashReport,
  StreamReport,
  StreamQuery,
};

json
encodeUsage(const Usage& aUsage)
{
  json usage = json::object();
  for (const auto& [team, total] : aUsage) {
    // Integers take half the bytes of floating-point numbers; rounding up never
    // underestimates the usage.
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
    json row = json::array(
      { load.running, load.queuedMs, load.lowPriorityMs, load.memoryTokens });
    const bool answers = load.answers != AnswerCounts{};
    const bool brittle = answers || load.brittleUse != BrittleUse{};
    if (brittle || load.limitUse != LimitUse{}) {
      row.push_back(load.limitUse.sends);
      row.push_back(load.limitUse.wants);
      row.push_back(load.limitUse.recentWants);
    }
    if (brittle) {
      row.push_back(load.brittleUse.wants);
      row.push_back(load.brittleUse.rejections);
      row.push_back(load.brittleUse.borrowed);
    }
    if (answers) {
      row.push_back(load.answers.served);
      row.push_back(load.answers.failed);
    }
    loads[name] = std::move(row);
  }
  return loads;
}

json
encodeDemand(const DemandTable& aDemand)
{
  json demand = json::object();
  for (const auto& [name, row] : aDemand) {
    json fields =
      json::array({ row.workMsPerSecond, row.waiting, row.running });
    if (!row.takeUps.empty()) {
      fields.push_back(row.takeUps);
    }
    demand[name] = std::move(fields);
  }
  return demand;
}

json
encodeTrials(const std::map<RequestTrait, TraitTrials>& aTrials)
{
  json trials = json::array();
  for (const auto& [trait, tried] : aTrials) {
    trials.push_back(
      json::array({ trait, tried.count, base::inMilliseconds(tried.age) }));
  }
  return trials;
}

json
encodeCrashes(const CrashTable& aCrashes)
{
  json crashes = json::array();
  for (const auto& [tag, evidence] : aCrashes) {
    crashes.push_back(json::array({ tag,
                                    base::inMilliseconds(evidence.age),
                                    evidence.suspects,
                                    evidence.cleared,
                                    encodeTrials(evidence.trials),
                                    evidence.finished }));
  }
  return crashes;
}

base::Duration
decodeAge(const json& aValue)
{
  return std::chrono::milliseconds(
    std::max<std::int64_t>(0, aValue.get<std::int64_t>()));
}

CrashTable
decodeCrashes(const json& aJson)
{
  CrashTable crashes;
  for (const json& row : aJson) {
    CrashEvidence& evidence = crashes[row.at(0)];
    evidence.age = decodeAge(row.at(1));
    evidence.suspects = row.at(2).get<std::set<TraitSet>>();
    evidence.cleared = row.at(3).get<TraitSet>();
    // VMs of earlier versions do not send these.
    if (row.size() > 4) {
      for (const json& tried : row.at(4)) {
        evidence.trials[tried.at(0)] = { tried.at(1), decodeAge(tried.at(2)) };
      }
    }
    if (row.size() > 5) {
      evidence.finished = row.at(5).get<TraitSet>();
    }
  }
  return crashes;
}

json
encodeStatements(const LimitStatements& aStatements)
{
  json statements = json::array();
  for (const auto& [tag, statement] : aStatements) {
    statements.push_back(json::array({ tag,
                                       base::inMilliseconds(statement.age),
                                       statement.ended,
                                       statement.number }));
  }
  return statements;
}

LimitStatements
decodeStatements(const json& aJson)
{
  LimitStatements statements;
  for (const json& row : aJson) {
    LimitStatement& statement = statements[row.at(0)];
    statement.age = decodeAge(row.at(1));
    statement.ended = row.at(2).get<bool>();
    // VMs of earlier versions do not send it.
    statement.number = row.size() > 3 ? row.at(3).get<std::uint64_t>() : 0;
  }
  return statements;
}

json
encodeAges(const std::vector<base::Duration>& aAges)
{
  json ages = json::array();
  for (const base::Duration age : aAges) {
    ages.push_back(base::inMilliseconds(age));
  }
  return ages;
}

std::vector<base::Duration>
decodeAges(const json& aJson)
{
  std::vector<base::Duration> ages;
  for (const json& age : aJson) {
    ages.push_back(decodeAge(age));
  }
  return ages;
}

json
encodeStoreLoads(const std::optional<StoreLoadReport>& aReport)
{
  if (!aReport) {
    return nullptr;
  }
  return json::array(
    { base::inMilliseconds(aReport->age), encodeAges(aReport->loadAges) });
}

std::optional<StoreLoadReport>
decodeStoreLoads(const json& aJson)
{
  if (aJson.is_null()) {
    return {};
  }
  return StoreLoadReport{ decodeAge(aJson.at(0)), decodeAges(aJson.at(1)) };
}

json
encodeAsks(const LimitAsks& aAsks)
{
  json asks = json::array();
  for (const auto& [tag, ask] : aAsks) {
    asks.push_back(json::array({ tag, ask.statement, ask.silence.count() }));
  }
  return asks;
}

LimitAsks
decodeAsks(const json& aJson)
{
  LimitAsks asks;
  for (const json& row : aJson) {
    asks[row.at(0)] = { row.at(1), base::Duration(row.at(2)) };
  }
  return asks;
}

json
encodeBrittle(const BrittleServices& aServices)
{
  json services = json::array();
  for (const auto& [name, service] : aServices) {
    services.push_back(json::array(
      { name, service.maxRejections, base::inMilliseconds(service.age) }));
  }
  return services;
}

BrittleServices
decodeBrittle(const json& aJson)
{
  BrittleServices services;
  for (const json& row : aJson) {
    services[row.at(0)] = { row.at(1), decodeAge(row.at(2)) };
  }
  return services;
}

/** Appends the fields of aGossip to the body of a message. */
void
appendGossip(const Gossip& aGossip, json& aBody)
{
  aBody.push_back(encodeStatements(aGossip.limitStatements));
  aBody.push_back(encodeStoreLoads(aGossip.storeLoads));
  aBody.push_back(encodeAsks(aGossip.limitAsks));
  aBody.push_back(encodeBrittle(aGossip.brittleServices));
}

/** @param aFirst index of the first field; VMs of earlier versions don't send
 * all of them */
Gossip
decodeGossip(const json& aBody, std::size_t aFirst)
{
  std::size_t field = aFirst;
  Gossip gossip;
  if (field < aBody.size()) {
    gossip.limitStatements = decodeStatements(aBody.at(field++));
  }
  if (field < aBody.size()) {
    gossip.storeLoads = decodeStoreLoads(aBody.at(field++));
  }
  if (field < aBody.size()) {
    gossip.limitAsks = decodeAsks(aBody.at(field++));
  }
  if (field < aBody.size()) {
    gossip.brittleServices = decodeBrittle(aBody.at(field++));
  }
  return gossip;
}

LoadTable
decodeLoads(const json& aJson)
{
  LoadTable loads;
  for (const auto& [name, row] : aJson.items()) {
    UpstreamLoad& load = loads[name];
    load = { row.at(0), row.at(1), row.at(2), row.at(3), {}, {}, {} };
    if (row.size() > 4) {
      load.limitUse = { row.at(4), row.at(5), row.at(6) };
    }
    if (row.size() > 7) {
      load.brittleUse = { row.at(7), row.at(8), row.at(9) };
    }
    if (row.size() > 10) {
      load.answers = { row.at(10), row.at(11) };
    }
  }
  return loads;
}

DemandTable
decodeDemand(const json& aJson)
{
  DemandTable demand;
  for (const auto& [name, row] : aJson.items()) {
    ModelDemand& read = demand[name];
    read = { row.at(0), row.at(1), row.at(2), {} };
    if (row.size() > 3) {
      read.takeUps = row.at(3).get<decltype(read.takeUps)>();
    }
  }
  return demand;
}

json
encodeBody(const Status& aStatus)
{
  json body = json::array({ aStatus.vm,
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
                            encodeCrashes(aStatus.crashes),
                            aStatus.drainingUpstreams });
  appendGossip(aStatus.gossip, body);
  return body;
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
  status.crashes = decodeCrashes(next());
  status.drainingUpstreams = next().get<std::map<std::string, std::uint32_t>>();
  status.gossip = decodeGossip(aBody, field);
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
  json body = json::array({ aSummary.dataCentre,
                            aSummary.relay,
                            aSummary.incarnation,
                            aSummary.sequence,
                            aSummary.catalogVersion,
                            members,
                            encodeLevels(aSummary.levels),
                            aSummary.unregistered,
                            encodeLoads(aSummary.loads),
                            encodeDemand(aSummary.demand),
                            encodeCrashes(aSummary.crashes),
                            aSummary.drainingUpstreams,
                            aSummary.complete });
  appendGossip(aSummary.gossip, body);
  return body;
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
  summary.crashes = decodeCrashes(next());
  summary.drainingUpstreams =
    next().get<std::map<std::string, std::uint32_t>>();
  // VMs of earlier versions do not send it.
  summary.complete = field < aBody.size() && next().get<bool>();
  summary.gossip = decodeGossip(aBody, field);
  return summary;
}

json
encodeBody(const PlacementUpdate& aUpdate)
{
  json engines = json::object();
  for (const auto& [name, placement] : aUpdate.engines) {
    engines[name] = json::array({ placement.adapters, placement.unloading });
  }
  return json::array({ aUpdate.owner,
                       aUpdate.fencingToken,
                       aUpdate.sequence,
                       aUpdate.complete,
                       engines,
                       encodeAges(aUpdate.loadAges) });
}

PlacementUpdate
decodePlacementUpdate(const json& aBody)
{
  std::size_t field = 0;
  const auto next = [&]() -> const json& { return aBody.at(field++); };
  PlacementUpdate update;
  update.owner = next();
  update.fencingToken = next();
  update.sequence = next();
  update.complete = next();
  for (const auto& [name, row] : next().items()) {
    update.engines[name] = {
      row.at(0).get<std::map<std::string, std::vector<std::string>>>(),
      row.at(1).get<std::vector<std::string>>()
    };
  }
  update.loadAges = decodeAges(next());
  return update;
}

json
encodeBody(const CrashReport& aReport)
{
  return encodeCrashes(aReport.crashes);
}

json
encodeBody(const StreamReport& aReport)
{
  return toNumbers(aReport.origins);
}

StreamReport
decodeStreamReport(const json& aBody)
{
  return { fromNumbers(aBody.get<std::vector<std::uint64_t>>()) };
}

json
encodeBody(const StreamQuery& aQuery)
{
  return json::array({ aQuery.vm, aQuery.streams });
}

StreamQuery
decodeStreamQuery(const json& aBody)
{
  return { aBody.at(0).get<base::VmName>(),
           aBody.at(1).get<std::vector<StreamId>>() };
}

} // namespace

UpstreamLoad&
UpstreamLoad::operator+=(const UpstreamLoad& aOther)
{
  running += aOther.running;
  queuedMs += aOther.queuedMs;
  lowPriorityMs += aOther.lowPriorityMs;
  memoryTokens += aOther.memoryTokens;
  limitUse.sends += aOther.limitUse.sends;
  limitUse.wants += aOther.limitUse.wants;
  limitUse.recentWants += aOther.limitUse.recentWants;
  brittleUse.wants += aOther.brittleUse.wants;
  brittleUse.rejections += aOther.brittleUse.rejections;
  brittleUse.borrowed += aOther.brittleUse.borrowed;
  answers.served += aOther.answers.served;
  answers.failed += aOther.answers.failed;
  return *this;
}

UpstreamLoad&
UpstreamLoad::operator-=(const UpstreamLoad& aOther)
{
  running -= aOther.running;
  queuedMs -= aOther.queuedMs;
  lowPriorityMs -= aOther.lowPriorityMs;
  memoryTokens -= aOther.memoryTokens;
  limitUse.sends -= aOther.limitUse.sends;
  limitUse.wants -= aOther.limitUse.wants;
  limitUse.recentWants -= aOther.limitUse.recentWants;
  // The relay whose sum this is taken from may be of an earlier version.
  brittleUse.wants -= std::min(brittleUse.wants, aOther.brittleUse.wants);
  brittleUse.rejections -=
    std::min(brittleUse.rejections, aOther.brittleUse.rejections);
  brittleUse.borrowed -=
    std::min(brittleUse.borrowed, aOther.brittleUse.borrowed);
  answers.served -= std::min(answers.served, aOther.answers.served);
  answers.failed -= std::min(answers.failed, aOther.answers.failed);
  return *this;
}

ModelDemand&
ModelDemand::operator+=(const ModelDemand& aOther)
{
  workMsPerSecond += aOther.workMsPerSecond;
  waiting += aOther.waiting;
  running += aOther.running;
  for (const auto& [software, count] : aOther.takeUps) {
    takeUps[software] += count;
  }
  return *this;
}

ModelDemand&
ModelDemand::operator-=(const ModelDemand& aOther)
{
  workMsPerSecond -= aOther.workMsPerSecond;
  waiting -= aOther.waiting;
  running -= aOther.running;
  for (const auto& [software, count] : aOther.takeUps) {
    // A relay of an earlier release leaves them out of its sums.
    std::uint32_t& left = takeUps[software];
    left -= std::min(left, count);
  }
  std::erase_if(takeUps, [](const auto& aItem) { return aItem.second == 0; });
  return *this;
}

std::string
encode(const Message& aMessage)
{
  const json body = std::visit(
    [](const auto& aAlternative) { return encodeBody(aAlternative); },
    aMessage);
  const auto bytes =
    json::to_msgpack(json::array({ kFormatVersion, aMessage.index(), body }));
  return { bytes.begin(), bytes.end() };
}

base::Result<Message>
decode(const std::string& aBytes)
{
  const json content = json::from_msgpack(aBytes, true, false);
  try {
    if (content.at(0) != kFormatVersion) {
      return base::fail(base::Code::MessageVersionUnsupported,
                        "unsupported message format version");
    }
    switch (content.at(1).get<MessageKind>()) {
      case MessageKind::Status:
        return Message(decodeStatus(content.at(2)));
      case MessageKind::Summary:
        return Message(decodeSummary(content.at(2)));
      case MessageKind::PlacementUpdate:
        return Message(decodePlacementUpdate(content.at(2)));
      case MessageKind::CrashReport:
        return Message(CrashReport{ decodeCrashes(content.at(2)) });
      case MessageKind::StreamReport:
        return Message(decodeStreamReport(content.at(2)));
      case MessageKind::StreamQuery:
        return Message(decodeStreamQuery(content.at(2)));
    }
    return base::fail(base::Code::MessageMalformed, "message of unknown kind");
  } catch (const json::exception& error) {
    return base::fail(base::Code::MessageMalformed, error.what());
  }
}

} // namespace marigold::peers
