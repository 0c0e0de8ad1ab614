#include "dispatch/crash_record.h"

#include "dispatch/crash_limits.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace marigold::dispatch {
namespace {

using nlohmann::json;

/** @return the array in a field; throws if it is none or too long */
const json&
requireArray(const json& aValue, std::size_t aMaxSize)
{
  if (!aValue.is_array() || aValue.size() > aMaxSize) {
    throw std::invalid_argument("no array of the expected size");
  }
  return aValue;
}

/** @return the number; throws if it is none, or above the bound */
std::uint64_t
requireNumber(const json& aValue, std::uint64_t aMax)
{
  if (!aValue.is_number_unsigned() || aValue.get<std::uint64_t>() > aMax) {
    throw std::invalid_argument("no number within its bounds");
  }
  return aValue.get<std::uint64_t>();
}

peers::RequestTrait
requireTrait(const json& aValue)
{
  return static_cast<peers::RequestTrait>(
    requireNumber(aValue, std::numeric_limits<peers::RequestTrait>::max()));
}

peers::TraitSet
requireTraits(const json& aValue, std::size_t aMaxSize)
{
  peers::TraitSet traits;
  for (const json& trait : requireArray(aValue, aMaxSize)) {
    traits.insert(requireTrait(trait));
  }
  return traits;
}

base::Duration
requireAge(const json& aValue, base::Duration aElapsed)
{
  const auto longest =
    static_cast<std::uint64_t>(base::inMilliseconds(kCertainLifetime));
  return std::chrono::milliseconds(requireNumber(aValue, longest)) + aElapsed;
}

peers::CrashEvidence
requireEvidence(const json& aRow, base::Duration aElapsed)
{
  peers::CrashEvidence evidence;
  evidence.age = requireAge(aRow.at(1), aElapsed);
  for (const json& traits : requireArray(aRow.at(2), kMaxSuspects)) {
    if (!evidence.suspects.insert(requireTraits(traits, kMaxTraits)).second ||
        traits.empty()) {
      throw std::invalid_argument("suspects that are empty or alike");
    }
  }
  evidence.cleared = requireTraits(aRow.at(3), kMaxCleared);
  // VMs of earlier versions do not write it.
  if (aRow.size() > 4) {
    for (const json& tried :
         requireArray(aRow.at(4), kMaxSuspects * kMaxTraits)) {
      evidence.trials[requireTrait(tried.at(0))] = {
        static_cast<std::uint32_t>(requireNumber(tried.at(1), kMaxTrials)),
        requireAge(tried.at(2), aElapsed)
      };
    }
  }
  return evidence;
}

using TrialTable = std::map<peers::RequestTrait, peers::TraitTrials>;

bool
haveSameCounts(const TrialTable& aLeft, const TrialTable& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.first == aOther.first &&
                             aOne.second.count == aOther.second.count;
                    });
}

} // namespace

bool
CrashRecord::tellsTheSame(const CrashRecord& aOther) const
{
  return finished == aOther.finished &&
         std::equal(crashes.begin(),
                    crashes.end(),
                    aOther.crashes.begin(),
                    aOther.crashes.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first == aRight.first &&
                             aLeft.second.suspects == aRight.second.suspects &&
                             aLeft.second.cleared == aRight.second.cleared &&
                             haveSameCounts(aLeft.second.trials,
                                            aRight.second.trials);
                    });
}

json
encodeCrashRecord(const CrashRecord& aRecord)
{
  json crashes = json::array();
  for (const auto& [tag, evidence] : aRecord.crashes) {
    json trials = json::array();
    for (const auto& [trait, tried] : evidence.trials) {
      trials.push_back(
        json::array({ trait, tried.count, base::inMilliseconds(tried.age) }));
    }
    crashes.push_back(json::array({ tag,
                                    base::inMilliseconds(evidence.age),
                                    evidence.suspects,
                                    evidence.cleared,
                                    trials }));
  }
  return { { "crashes", crashes }, { "finished", aRecord.finished } };
}

base::Result<CrashRecord>
decodeCrashRecord(const json& aContent, base::Duration aElapsed)
{
  try {
    CrashRecord record;
    for (const json& row :
         requireArray(aContent.at("crashes"), kMaxRecordedCrashes)) {
      const auto tag = static_cast<peers::ProcessTag>(requireNumber(
        row.at(0), std::numeric_limits<peers::ProcessTag>::max()));
      record.crashes[tag] = requireEvidence(row, aElapsed);
    }
    record.finished =
      requireTraits(aContent.at("finished"), kMaxRecordedFinished);
    return record;
  } catch (const json::exception& exception) {
    return base::fail(base::Code::DocumentInvalid, exception.what());
  } catch (const std::invalid_argument& exception) {
    return base::fail(base::Code::DocumentInvalid, exception.what());
  }
}

} // namespace marigold::dispatch
