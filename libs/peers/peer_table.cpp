#include "peers/peer_table.h"

#include <algorithm>

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** The requests of a VM that has not reported for this long have ended or will
 * not be reported any more. */
constexpr base::Duration kEntryExpiry = 3s;

std::uint32_t
excess(std::uint32_t aReported, std::uint32_t aSummarized)
{
  return aReported > aSummarized ? aReported - aSummarized : 0;
}

/** Adds the waiting requests that are reported and not summarized yet. */
void
addWaitingExcess(const ModelDemand& aReported,
                 const ModelDemand& aSummarized,
                 ModelDemand& aTotal)
{
  aTotal.waiting += excess(aReported.waiting, aSummarized.waiting);
  for (const auto& [software, count] : aReported.takeUps) {
    const auto known = aSummarized.takeUps.find(software);
    const std::uint32_t more =
      excess(count, known == aSummarized.takeUps.end() ? 0 : known->second);
    if (more > 0) {
      aTotal.takeUps[software] += more;
    }
  }
}

} // namespace

bool
PeerTable::isSummed(const Status& aStatus) const
{
  return aStatus.dataCentre == mOwnDataCentre &&
         !mSummaries.contains(mOwnDataCentre);
}

bool
PeerTable::update(Status aStatus, base::TimePoint aNow)
{
  StatusEntry& entry = mStatuses[aStatus.vm];
  if (entry.status.incarnation == aStatus.incarnation &&
      entry.status.sequence >= aStatus.sequence) {
    return false;
  }
  mLastReportAt[aStatus.vm] = aNow;
  if (isSummed(entry.status)) {
    subtract(entry.status.loads);
  }
  entry.status = std::move(aStatus);
  entry.receivedAt = aNow;
  if (isSummed(entry.status)) {
    add(entry.status.loads);
  }
  return true;
}

bool
PeerTable::recordIfNewer(const Summary& aSummary)
{
  Version& last = mRelayVersions[aSummary.relay];
  if (last.incarnation == aSummary.incarnation &&
      last.sequence >= aSummary.sequence) {
    return false;
  }
  last = { aSummary.incarnation, aSummary.sequence };
  return true;
}

bool
PeerTable::update(Summary aSummary, base::TimePoint aNow)
{
  if (aSummary.dataCentre == mOwnDataCentre || !recordIfNewer(aSummary)) {
    return false;
  }
  SummaryEntry& entry = mSummaries[aSummary.dataCentre];
  subtract(entry.summary.loads);
  entry.summary = std::move(aSummary);
  entry.receivedAt = aNow;
  add(entry.summary.loads);
  return true;
}

bool
PeerTable::updateOwnSummary(Summary aSummary,
                            const Status& aIncluded,
                            base::TimePoint aNow)
{
  if (aSummary.dataCentre != mOwnDataCentre || !recordIfNewer(aSummary)) {
    return false;
  }
  for (const auto& [name, load] : aIncluded.loads) {
    aSummary.loads[name] -= load;
  }
  for (const auto& [name, demand] : aIncluded.demand) {
    aSummary.demand[name] -= demand;
  }
  mLastReportAt[aSummary.relay] = aNow;
  mSummaries[mOwnDataCentre] = { std::move(aSummary), aNow };
  recomputeLoads();
  return true;
}

void
PeerTable::dropOwnSummary()
{
  if (mSummaries.erase(mOwnDataCentre) > 0) {
    recomputeLoads();
  }
}

void
PeerTable::expire(base::TimePoint aNow)
{
  const auto expired = [aNow](const auto& aItem) {
    return aNow - aItem.second.receivedAt > kEntryExpiry;
  };
  const std::size_t removed =
    std::erase_if(mStatuses, expired) + std::erase_if(mSummaries, expired);
  std::erase_if(mLastReportAt, [aNow](const auto& aItem) {
    return aNow - aItem.second > kEntryExpiry;
  });
  if (removed > 0) {
    recomputeLoads();
  }
}

bool
PeerTable::reportedSince(const base::VmName& aVm, base::TimePoint aSince) const
{
  const auto found = mLastReportAt.find(aVm);
  return found != mLastReportAt.end() && found->second >= aSince;
}

void
PeerTable::recomputeLoads()
{
  mLoads.clear();
  for (const auto& [vm, entry] : mStatuses) {
    if (isSummed(entry.status)) {
      add(entry.status.loads);
    }
  }
  for (const auto& [dataCentre, entry] : mSummaries) {
    add(entry.summary.loads);
  }
}

void
PeerTable::add(const LoadTable& aLoads)
{
  for (const auto& [name, load] : aLoads) {
    mLoads[name] += load;
  }
}

void
PeerTable::subtract(const LoadTable& aLoads)
{
  for (const auto& [name, load] : aLoads) {
    const auto sum = mLoads.find(name);
    sum->second -= load;
    if (sum->second == UpstreamLoad{}) {
      mLoads.erase(sum);
    }
  }
}

UpstreamLoad
PeerTable::peerLoad(const base::UpstreamName& aUpstream) const
{
  const auto found = mLoads.find(aUpstream);
  return found == mLoads.end() ? UpstreamLoad{} : found->second;
}

std::size_t
PeerTable::reportingVms() const
{
  std::size_t count = 0;
  for (const auto& [dataCentre, entry] : mSummaries) {
    count += entry.summary.members.size();
  }
  if (mSummaries.contains(mOwnDataCentre)) {
    return std::max<std::size_t>(count, 1);
  }
  const auto statuses = std::count_if(
    mStatuses.begin(), mStatuses.end(), [this](const auto& aItem) {
      return aItem.second.status.dataCentre == mOwnDataCentre;
    });
  return count + static_cast<std::size_t>(statuses) + 1;
}

DemandTable
PeerTable::demand() const
{
  DemandTable total;
  for (const auto& [dataCentre, entry] : mSummaries) {
    for (const auto& [name, demand] : entry.summary.demand) {
      total[name] += demand;
    }
  }
  // A VM of another data centre with waiting requests sends its status before
  // the next summary of its data centre, which will contain the same requests.
  // Only the excess over the last summary is added.
  std::map<base::DataCentre, DemandTable> unsummarized;
  for (const auto& [vm, entry] : mStatuses) {
    const Status& status = entry.status;
    if (isSummed(status)) {
      for (const auto& [name, demand] : status.demand) {
        total[name] += demand;
      }
      continue;
    }
    const auto summary = mSummaries.find(status.dataCentre);
    const bool summarized = summary != mSummaries.end() &&
                            summary->second.receivedAt > entry.receivedAt;
    if (summarized || status.dataCentre == mOwnDataCentre) {
      continue;
    }
    for (const auto& [name, demand] : status.demand) {
      unsummarized[status.dataCentre][name] += demand;
    }
  }
  for (const auto& [dataCentre, reported] : unsummarized) {
    const auto summary = mSummaries.find(dataCentre);
    for (const auto& [name, demand] : reported) {
      ModelDemand summarized;
      if (summary != mSummaries.end()) {
        const DemandTable& sums = summary->second.summary.demand;
        const auto entry = sums.find(name);
        summarized = entry == sums.end() ? summarized : entry->second;
      }
      addWaitingExcess(demand, summarized, total[name]);
    }
  }
  return total;
}

} // namespace marigold::peers
