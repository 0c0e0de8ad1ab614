/**
 * @file
 * Public header of the peers library: the status that every VM sends to its
 * peers several times a second, its encoding, and the latest status of each.
 * A status is complete in itself, so that a lost one needs no repetition.
 */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigold::peers {

/** Work that a VM has under way at one upstream. */
struct UpstreamLoad
{
  std::uint32_t running = 0;      ///< requests sent and not ended
  std::uint32_t queuedMs = 0;     ///< urgent prompt work before its first token
  std::uint32_t patientMs = 0;    ///< the same for requests that can wait
  std::uint32_t memoryTokens = 0; ///< prompt and output tokens of its requests

  bool operator==(const UpstreamLoad&) const = default;
};

/** Demand for a model or an adapter that a VM sees. */
struct ModelDemand
{
  std::uint32_t workMsPerSecond = 0; ///< prompt and output work, smoothed
  std::uint32_t waiting = 0;         ///< requests that no upstream can serve
  std::uint32_t running = 0;         ///< requests at upstreams
};

/** Adapters of a model that an upstream holds. */
struct AdapterPlace
{
  base::UpstreamName upstream;
  std::string model;
  std::vector<std::string> adapters;
};

/** What a VM tells its peers. */
struct Status
{
  base::VmName vm;
  base::Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t catalogVersion = 0;
  std::uint64_t fence = 0; ///< of the owner of orders; 0: not the owner
  bool departing = false;  ///< admits nothing more
  std::map<base::TeamName, double> usage;
  std::vector<base::VmName> lapsed; ///< VMs whose registration ended
  std::map<base::UpstreamName, UpstreamLoad> loads;
  std::map<std::string, ModelDemand> demand; ///< by MODEL or MODEL/ADAPTER
  std::vector<AdapterPlace> adapters;        ///< from the owner of orders
  /** Models that the owner of orders is about to unload, by upstream. */
  std::map<base::UpstreamName, std::vector<std::string>> retiring;
  std::map<std::string, std::uint32_t> crashes; ///< by request fingerprint
  /** Upstreams that take no new requests, with a tag of their process. */
  std::map<base::UpstreamName, std::uint32_t> leaving;
};

/** @param aStatus status @return its bytes */
std::string
encode(const Status& aStatus);

/** @param aBytes datagram @return the status, or MessageMalformed or
 * MessageVersionUnsupported */
base::Result<Status>
decode(const std::string& aBytes);

/**
 * When a VM reports to its peers. Links between regions are paid by volume, so
 * peers there hear less often; in a large fleet everybody hears less often, so
 * that the messages of a VM do not grow with the fleet.
 */
class ReportSchedule
{
public:
  /** @param aNear peers in the same region @param aFar all others */
  void setFleet(std::size_t aNear, std::size_t aFar);

  /** @return true if peers of the same region are due; notes the report */
  bool nearDue(base::TimePoint aNow) { return due(mNearSent, mNear, aNow); }

  /** @return true if peers of other regions are due; notes the report */
  bool farDue(base::TimePoint aNow) { return due(mFarSent, mFar, aNow); }

  /** @return longest time between two reports to a peer */
  base::Duration longest() const { return mFar; }

private:
  static bool due(base::TimePoint& aSent,
                  base::Duration aPeriod,
                  base::TimePoint aNow);

  base::Duration mNear = std::chrono::milliseconds(100);
  base::Duration mFar = std::chrono::milliseconds(400);
  base::TimePoint mNearSent{};
  base::TimePoint mFarSent{};
};

/** Keeps the latest status of each peer. */
class Table
{
public:
  /** A status with the time at which it came. */
  struct Row
  {
    Status status;
    base::TimePoint heardAt{};
  };

  /** @param aStatus status @param aNow time
   * @return false if it is older than what is known */
  bool update(Status aStatus, base::TimePoint aNow);

  /** Drops peers that have been silent. @param aNow time */
  void expire(base::TimePoint aNow);

  /** @return the latest status of each peer */
  const std::map<base::VmName, Row>& rows() const { return mRows; }

  /** @param aUpstream upstream @return the work of all peers there */
  UpstreamLoad loadOf(const base::UpstreamName& aUpstream) const;

private:
  std::map<base::VmName, Row> mRows;
};

} // namespace marigold::peers
