#include "request/crash_guard.h"

#include <algorithm>

namespace marigold::request {

std::set<std::string>
CrashGuard::Entry::standing() const
{
  std::set<std::string> left;
  for (const auto& [crash, owner] : crashes) {
    if (!cleared.contains(crash)) {
      left.insert(crash);
    }
  }
  return left;
}

base::VmName
CrashGuard::Entry::owner() const
{
  base::VmName smallest;
  for (const auto& [crash, owner] : crashes) {
    const bool counts = !cleared.contains(crash);
    if (counts && (smallest.empty() || owner < smallest)) {
      smallest = owner;
    }
  }
  return smallest;
}

const CrashGuard::Entry*
CrashGuard::find(const std::string& aFingerprint) const
{
  const auto found = mEntries.find(aFingerprint);
  return found == mEntries.end() ? nullptr : &found->second;
}

CrashReport
CrashGuard::onCrash(const std::string& aFingerprint,
                    const std::string& aCrash,
                    base::TimePoint aNow)
{
  // Whoever was known as owner first stays it: its trial may be running.
  const base::VmName known = owner(aFingerprint);
  const CrashReport report{
    aFingerprint, aCrash, known.empty() ? mSelf : known, aNow
  };
  merge(report, aNow);
  Entry& entry = mEntries[aFingerprint];
  entry.ownedHere = entry.ownedHere || report.owner == mSelf;
  return report;
}

void
CrashGuard::merge(const CrashReport& aReport, base::TimePoint aNow)
{
  Entry& entry = mEntries[aReport.fingerprint];
  const auto [place, added] =
    entry.crashes.emplace(aReport.crash, aReport.owner);
  if (!added) {
    place->second = std::min(place->second, aReport.owner);
  }
  entry.last = std::max(entry.last, aNow);
}

void
CrashGuard::mergeCleared(const std::string& aFingerprint,
                         const std::set<std::string>& aCrashes,
                         base::TimePoint aNow)
{
  Entry& entry = mEntries[aFingerprint];
  entry.cleared.insert(aCrashes.begin(), aCrashes.end());
  entry.last = std::max(entry.last, aNow);
  if (entry.standing().empty()) {
    entry.trialTaken = false;
    entry.ownedHere = false;
    entry.trialAt.clear();
  }
}

std::set<std::string>
CrashGuard::onCompleted(const std::string& aFingerprint, base::TimePoint aNow)
{
  const Entry* entry = find(aFingerprint);
  if (entry == nullptr) {
    return {};
  }
  std::set<std::string> standing = entry->standing();
  // Two crashes are proof enough; a lucky run does not make it harmless.
  if (standing.empty() || standing.size() >= kCrashesToPoison) {
    return {};
  }
  mergeCleared(aFingerprint, standing, aNow);
  return standing;
}

GuardVerdict
CrashGuard::verdict(const std::string& aFingerprint) const
{
  const Entry* entry = find(aFingerprint);
  const std::size_t crashes = entry == nullptr ? 0 : entry->standing().size();
  if (crashes == 0) {
    return GuardVerdict::Free;
  }
  if (crashes >= kCrashesToPoison) {
    return GuardVerdict::Poisonous;
  }
  if (entry->owner() != mSelf) {
    return GuardVerdict::AskOwner;
  }
  // An earlier run of this process may have granted the trial.
  const bool taken = entry->trialTaken || !entry->ownedHere;
  return taken ? GuardVerdict::InTrial : GuardVerdict::Trial;
}

bool
CrashGuard::takeTrial(const std::string& aFingerprint)
{
  if (verdict(aFingerprint) != GuardVerdict::Trial) {
    return false;
  }
  mEntries[aFingerprint].trialTaken = true;
  return true;
}

void
CrashGuard::returnTrial(const std::string& aFingerprint)
{
  if (const auto found = mEntries.find(aFingerprint); found != mEntries.end()) {
    found->second.trialTaken = false;
    found->second.trialAt.clear();
  }
}

base::VmName
CrashGuard::owner(const std::string& aFingerprint) const
{
  const Entry* entry = find(aFingerprint);
  return entry == nullptr ? base::VmName() : entry->owner();
}

void
CrashGuard::onTrialAt(const std::string& aFingerprint,
                      const base::UpstreamName& aUpstream)
{
  if (const auto found = mEntries.find(aFingerprint); found != mEntries.end()) {
    found->second.trialAt = aUpstream;
  }
}

std::set<base::UpstreamName>
CrashGuard::occupiedByOthers(const std::string& aFingerprint) const
{
  std::set<base::UpstreamName> occupied;
  for (const auto& [fingerprint, entry] : mEntries) {
    if (fingerprint != aFingerprint && !entry.trialAt.empty()) {
      occupied.insert(entry.trialAt);
    }
  }
  return occupied;
}

bool
CrashGuard::mustYield(const std::string& aFingerprint,
                      const base::UpstreamName& aUpstream) const
{
  return std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& aItem) {
    return aItem.first < aFingerprint && aItem.second.trialAt == aUpstream;
  });
}

std::vector<CrashReport>
CrashGuard::reports() const
{
  std::vector<CrashReport> reports;
  for (const auto& [fingerprint, entry] : mEntries) {
    for (const auto& [crash, owner] : entry.crashes) {
      reports.push_back({ fingerprint, crash, owner, entry.last });
    }
  }
  return reports;
}

std::map<std::string, std::set<std::string>>
CrashGuard::cleared() const
{
  std::map<std::string, std::set<std::string>> cleared;
  for (const auto& [fingerprint, entry] : mEntries) {
    if (!entry.cleared.empty()) {
      cleared[fingerprint] = entry.cleared;
    }
  }
  return cleared;
}

void
CrashGuard::expire(base::TimePoint aNow)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    return aItem.second.last + kCrashLifetime <= aNow;
  });
}

} // namespace marigold::request
