#include "peers/peer_table.h"

#include <algorithm>

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** Requests of a VM that has been silent this long have ended or will not
 * be reported any more. */
constexpr base::Duration kForgetAfter = 3s;

} // namespace

bool
PeerTable::sums(const Status& aStatus) const
{
  return aStatus.dataCentre == mOwn && !mSummaries.contains(mOwn);
}

bool
PeerTable::update(Status aStatus, base::TimePoint aNow)
{
  StatusEntry& row = mRows[aStatus.vm];
  if (row.status.incarnation == aStatus.incarnation &&
      row.status.sequence >= aStatus.sequence) {
    return false;
  }
  mHeardAt[aStatus.vm] = aNow;
  if (sums(row.status)) {
    subtract(row.status.loads);
  }
  row.status = std::move(aStatus);
  row.receivedAt = aNow;
  if (sums(row.status)) {
    add(row.status.loads);
  }
  return true;
}

bool
PeerTable::noteIfNewer(const Summary& aSummary)
{
  Stamp& stamp = mRelays[aSummary.relay];
  if (stamp.incarnation == aSummary.incarnation &&
      stamp.sequence >= aSummary.sequence) {
    return false;
  }
  stamp = { aSummary.incarnation, aSummary.sequence };
  return true;
}

bool
PeerTable::update(Summary aSummary, base::TimePoint aNow)
{
  if (aSummary.dataCentre == mOwn || !noteIfNewer(aSummary)) {
    return false;
  }
  SummaryEntry& row = mSummaries[aSummary.dataCentre];
  subtract(row.summary.loads);
  row.summary = std::move(aSummary);
  row.receivedAt = aNow;
  add(row.summary.loads);
  return true;
}

bool
PeerTable::updateOwnSummary(Summary aSummary,
                            const Status& aIncluded,
                            base::TimePoint aNow)
{
  if (aSummary.dataCentre != mOwn || !noteIfNewer(aSummary)) {
    return false;
  }
  for (const auto& [name, load] : aIncluded.loads) {
    aSummary.loads[name] -= load;
  }
  for (const auto& [name, demand] : aIncluded.demand) {
    aSummary.demand[name] -= demand;
  }
  for (const auto& [fingerprint, count] : aIncluded.crashes) {
    aSummary.crashes[fingerprint] -= count;
  }
  mHeardAt[aSummary.relay] = aNow;
  mSummaries[mOwn] = { std::move(aSummary), aNow };
  addUp();
  return true;
}

void
PeerTable::dropOwnSummary()
{
  if (mSummaries.erase(mOwn) > 0) {
    addUp();
  }
}

void
PeerTable::expire(base::TimePoint aNow)
{
  const auto silent = [aNow](const auto& aItem) {
    return aNow - aItem.second.receivedAt > kForgetAfter;
  };
  const std::size_t gone =
    std::erase_if(mRows, silent) + std::erase_if(mSummaries, silent);
  std::erase_if(mHeardAt, [aNow](const auto& aItem) {
    return aNow - aItem.second > kForgetAfter;
  });
  if (gone > 0) {
    addUp();
  }
}

bool
PeerTable::reportedSince(const base::VmName& aVm, base::TimePoint aSince) const
{
  const auto heard = mHeardAt.find(aVm);
  return heard != mHeardAt.end() && heard->second >= aSince;
}

void
PeerTable::addUp()
{
  mLoads.clear();
  for (const auto& [vm, row] : mRows) {
    if (sums(row.status)) {
      add(row.status.loads);
    }
  }
  for (const auto& [dataCentre, row] : mSummaries) {
    add(row.summary.loads);
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

DemandTable
PeerTable::demand() const
{
  DemandTable total;
  for (const auto& [dataCentre, row] : mSummaries) {
    for (const auto& [name, demand] : row.summary.demand) {
      total[name] += demand;
    }
  }
  // A VM elsewhere whose requests wait reports itself ahead of the next summary
  // of its data centre, which will contain the same requests.
  std::map<base::DataCentre, std::map<std::string, std::uint32_t>> ahead;
  for (const auto& [vm, row] : mRows) {
    const Status& status = row.status;
    if (sums(status)) {
      for (const auto& [name, demand] : status.demand) {
        total[name] += demand;
      }
      continue;
    }
    const auto summary = mSummaries.find(status.dataCentre);
    const bool contained = summary != mSummaries.end() &&
                           summary->second.receivedAt > row.receivedAt;
    if (contained || status.dataCentre == mOwn) {
      continue;
    }
    for (const auto& [name, demand] : status.demand) {
      ahead[status.dataCentre][name] += demand.waiting;
    }
  }
  for (const auto& [dataCentre, waiting] : ahead) {
    const auto summary = mSummaries.find(dataCentre);
    for (const auto& [name, count] : waiting) {
      std::uint32_t known = 0;
      if (summary != mSummaries.end()) {
        const auto row = summary->second.summary.demand.find(name);
        known =
          row == summary->second.summary.demand.end() ? 0 : row->second.waiting;
      }
      total[name].waiting += count > known ? count - known : 0;
    }
  }
  return total;
}

} // namespace marigold::peers
