/** @file Messages between VMs and their encoding. */
#pragma once

#include "base/base.h"
#include "peers/crash_evidence.h"
#include "peers/stream_origin.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marigold::peers {

/** Use of an upstream that limits its requests, over its window. */
struct LimitUse
{
  std::uint32_t sends = 0;       ///< requests that were sent to it
  std::uint32_t wants = 0;       ///< requests that were to be sent to it
  std::uint32_t recentWants = 0; ///< those within the report delay

  bool operator==(const LimitUse&) const = default;
};

/** Latest statement of an upstream on its limit that a VM has heard of. It
 * tells peers of the end of a limit, never of a limit. */
struct LimitStatement
{
  /** Higher than those of all statements that its VM knew before, so that none
   * is taken for a later one when it comes back from a peer. */
  std::uint64_t number = 0;
  base::Duration age{};
  bool ended = false; ///< the upstream named a limit before, and none now

  bool operator==(const LimitStatement&) const = default;
};

using LimitStatements = std::map<ProcessTag, LimitStatement>;

/** A VM's offer to ask a limited upstream whether its limit has ended. */
struct LimitAsk
{
  std::uint64_t statement = 0; ///< number of the latest known statement
  base::Duration silence{};    ///< since then; the VM that offers first asks

  bool operator==(const LimitAsk&) const = default;
};

using LimitAsks = std::map<ProcessTag, LimitAsk>;

/** Use of an upstream that falls over when it turns too many requests away. */
struct BrittleUse
{
  std::uint32_t wants = 0;      ///< requests for it within the report delay
  std::uint32_t rejections = 0; ///< for want of room, in the last second
  std::uint32_t borrowed = 0;   ///< places that belong to other VMs

  bool operator==(const BrittleUse&) const = default;
};

/** What an upstream of a brittle service said last. */
struct BrittleService
{
  std::uint32_t maxRejections = 0; ///< in a second, without falling over
  base::Duration age{};

  bool operator==(const BrittleService&) const = default;
};

using BrittleServices = std::map<std::string, BrittleService>; ///< by name

/** Answers of an upstream within the last seconds. */
struct AnswerCounts
{
  std::uint32_t served = 0;
  std::uint32_t failed = 0; ///< errors, rejections, breaks and silence

  bool operator==(const AnswerCounts&) const = default;
};

/** Load of one upstream. */
struct UpstreamLoad
{
  std::uint32_t running = 0;       ///< requests in progress
  std::uint32_t queuedMs = 0;      ///< queued prompt work of urgent requests
  std::uint32_t lowPriorityMs = 0; ///< the same of low-priority requests
  std::uint32_t memoryTokens = 0;  ///< prompt and output tokens in progress
  LimitUse limitUse;               ///< zero if it names no limit
  BrittleUse brittleUse;           ///< zero if it is not brittle
  AnswerCounts answers;            ///< zero if it has answered nothing lately

  bool operator==(const UpstreamLoad&) const = default;

  UpstreamLoad& operator+=(const UpstreamLoad& aOther);
  UpstreamLoad& operator-=(const UpstreamLoad& aOther);
};

/** Demand for a model or an adapter. */
struct ModelDemand
{
  std::uint32_t workMsPerSecond = 0; ///< prompt and output work, averaged
  std::uint32_t waiting = 0; ///< requests that no upstream can serve yet
  std::uint32_t running = 0; ///< requests in progress at upstreams
  /** Requests that wait to continue a stream, which only upstreams with the
   * software that began it may do. */
  std::map<SoftwareTag, std::uint32_t> takeUps{};

  /** @return true if requests wait */
  bool awaited() const { return waiting > 0 || !takeUps.empty(); }

  ModelDemand& operator+=(const ModelDemand& aOther);
  ModelDemand& operator-=(const ModelDemand& aOther);
};

using LoadTable = std::map<base::UpstreamName, UpstreamLoad>;
using DemandTable = std::map<std::string, ModelDemand>; ///< MODEL[/ADAPTER]
using Usage = std::map<base::TeamName, double>;

/** What a VM has heard from the owner of orders on its loads from the weights
 * store, for the next owner, which may have just started. */
struct StoreLoadReport
{
  base::Duration age{};                 ///< since it was heard
  std::vector<base::Duration> loadAges; ///< since each load

  bool operator==(const StoreLoadReport&) const = default;
};

/** What a VM has heard and passes on: with its status, and as a relay with the
 * summary of its data centre. */
struct Gossip
{
  LimitStatements limitStatements;
  std::optional<StoreLoadReport> storeLoads;
  LimitAsks limitAsks;
  BrittleServices brittleServices;

  bool operator==(const Gossip&) const = default;
};

/** State of one VM, sent to the VMs of its data centre. */
struct Status
{
  base::VmName vm;
  base::DataCentre dataCentre;
  base::Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t catalogVersion = 0;
  bool draining = false; ///< admits no new requests
  Usage usage;           ///< cumulative, since the VM started
  Usage levels; ///< bucket levels by team, to initialize VMs that just started
  std::vector<base::VmName> unregistered; ///< VMs whose share is still reserved
  LoadTable loads;
  DemandTable demand;
  CrashTable crashes;
  /** Upstreams that accept no new requests, with a tag of their process. */
  std::map<base::UpstreamName, std::uint32_t> drainingUpstreams;
  Gossip gossip;
};

/** A VM in the summary of its data centre. */
struct MemberUsage
{
  base::Incarnation incarnation = 0;
  std::uint64_t sequence = 0; ///< of the VM's status in the sums
  bool draining = false;
  Usage usage; ///< recently changed totals, or all
};

/** Aggregated state of a data centre, sent by its relay to the VMs there and to
 * the other data centres, whose relays forward it unchanged. */
struct Summary
{
  base::DataCentre dataCentre;
  base::VmName relay;
  base::Incarnation incarnation = 0; ///< of the relay
  std::uint64_t sequence = 0;
  std::uint64_t catalogVersion = 0; ///< of the relay
  std::map<base::VmName, MemberUsage> members;
  Usage levels; ///< of the relay, as in its status
  std::vector<base::VmName> unregistered;
  LoadTable loads;
  DemandTable demand;
  CrashTable crashes; ///< of the relay, which merges that of its peers
  std::map<base::UpstreamName, std::uint32_t> drainingUpstreams;
  bool complete = false; ///< members have their totals of all teams
  Gossip gossip;         ///< of the relay, which merges that of its peers
};

/** Placement on one engine that its upstream record does not show. */
struct EnginePlacement
{
  std::map<base::ModelName, std::vector<std::string>> adapters;
  std::vector<base::ModelName> unloading; ///< being unloaded or about to be

  bool operator==(const EnginePlacement&) const = default;
};

/** Placements on the engines as the order owner (the VM that issues load and
 * unload orders) knows them; forwarded by relays. */
struct PlacementUpdate
{
  base::VmName owner;
  std::uint64_t fencingToken = 0;
  std::uint64_t sequence = 0;
  bool complete = false; ///< all engines; otherwise recently changed ones
  std::map<base::UpstreamName, EnginePlacement> engines;
  /** Ages of the recent loads that count towards the rate limit of the weights
   * store. */
  std::vector<base::Duration> loadAges;
};

/** Crashes that a VM has seen, for the VM that keeps the evidence of the fleet.
 */
struct CrashReport
{
  CrashTable crashes;
};

/** Streams that a VM has begun, or knows of and was asked for. */
struct StreamReport
{
  std::vector<StreamOrigin> origins;
};

/** Streams that callers take up at a VM which doesn't know their origin. */
struct StreamQuery
{
  base::VmName vm; ///< gets the answers
  std::vector<StreamId> streams;
};

using Message = std::variant<Status,
                             Summary,
                             PlacementUpdate,
                             CrashReport,
                             StreamReport,
                             StreamQuery>;

/** @param aMessage message @return its MessagePack encoding */
std::string
encode(const Message& aMessage);

/** @param aBytes datagram
 * @return the message, or the error MessageMalformed or
 * MessageVersionUnsupported */
base::Result<Message>
decode(const std::string& aBytes);

} // namespace marigold::peers
