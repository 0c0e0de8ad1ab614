/** @file Messages between VMs and their encoding. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace marigold::peers {

/** Work that is under way at one upstream. */
struct UpstreamLoad
{
  std::uint32_t running = 0;  ///< requests sent and not ended
  std::uint32_t queuedMs = 0; ///< urgent prompt work before its first token
  std::uint32_t lowPriorityMs = 0; ///< the same for requests that can wait
  std::uint32_t memoryTokens = 0;  ///< prompt and output tokens of its requests

  bool operator==(const UpstreamLoad&) const = default;

  UpstreamLoad& operator+=(const UpstreamLoad& aOther);
  UpstreamLoad& operator-=(const UpstreamLoad& aOther);
};

/** Demand for a model or an adapter. */
struct ModelDemand
{
  std::uint32_t workMsPerSecond = 0; ///< prompt and output work, smoothed
  std::uint32_t waiting = 0;         ///< requests that no upstream can serve
  std::uint32_t running = 0;         ///< requests at upstreams

  ModelDemand& operator+=(const ModelDemand& aOther);
  ModelDemand& operator-=(const ModelDemand& aOther);
};

using LoadTable = std::map<base::UpstreamName, UpstreamLoad>;
using DemandTable = std::map<std::string, ModelDemand>; ///< MODEL[/ADAPTER]
using Usage = std::map<base::TeamName, double>;

/** What a VM says of itself, to the VMs of its data centre. */
struct Status
{
  base::VmName vm;
  base::DataCentre dataCentre;
  base::Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t catalogVersion = 0;
  bool draining = false; ///< admits nothing more
  Usage usage;
  Usage levels; ///< units left of each team, for VMs that have just started
  std::vector<base::VmName> unregistered; ///< VMs whose registration ended
  LoadTable loads;
  DemandTable demand;
  std::map<std::string, std::uint32_t> crashes; ///< by request fingerprint
  /** Upstreams that take no new requests, with a tag of their process. */
  std::map<base::UpstreamName, std::uint32_t> drainingUpstreams;
};

/** A VM in the summary of its data centre. */
struct MemberUsage
{
  base::Incarnation incarnation = 0;
  std::uint64_t sequence = 0; ///< of the status that the sums contain
  bool draining = false;
  Usage usage; ///< teams whose total changed lately, or all
};

/** What the relay of a data centre says of all VMs there, to these VMs and to
 * the other data centres, whose relays pass it on unchanged. */
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
  std::map<std::string, std::uint32_t> crashes;
  std::map<base::UpstreamName, std::uint32_t> drainingUpstreams;
};

/** What an engine holds beyond its record. */
struct EnginePlacement
{
  std::map<base::ModelName, std::vector<std::string>> adapters;
  std::vector<base::ModelName> unloading; ///< about to be unloaded

  bool operator==(const EnginePlacement&) const = default;
};

/** What the owner of orders knows of the engines; relays pass it on. */
struct PlacementUpdate
{
  base::VmName owner;
  std::uint64_t fencingToken = 0;
  std::uint64_t sequence = 0;
  bool complete = false; ///< all engines; else those that changed lately
  std::map<base::UpstreamName, EnginePlacement> engines;
  /** Ages of the loads from the weights store that still count. */
  std::vector<base::Duration> loadAges;
};

using Message = std::variant<Status, Summary, PlacementUpdate>;

/** @param aMessage message @return its bytes */
std::string
encode(const Message& aMessage);

/** @param aBytes datagram @return the message, or MessageMalformed or
 * MessageVersionUnsupported */
base::Result<Message>
decode(const std::string& aBytes);

} // namespace marigold::peers
