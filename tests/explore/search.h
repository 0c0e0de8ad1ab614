/** @file Searches scripts of a scenario for one that violates a promise. A
 * scenario is a type with apply(), enabled(), violation(), settle(),
 * violationAtEnd() and fingerprint(), as Scenario has them. */
#pragma once

#include "base/base.h"
#include "script.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <unordered_set>

namespace marigold::explore {

/** A script that violates a promise. */
struct Finding
{
  std::vector<Action> script;
  std::string violation;
};

/** How far a search got. */
struct Progress
{
  std::uint64_t scripts = 0; ///< played from the start
  std::uint64_t states = 0;  ///< that differ
  std::size_t depth = 0;     ///< up to which all orders were played
};

/** Limits of a search. */
struct SearchLimits
{
  std::size_t depth = 6;       ///< length up to which all scripts are played
  std::size_t walkLength = 40; ///< of random scripts beyond
  std::chrono::seconds time{ 60 }; ///< real time, half of it for each part
  std::uint64_t seed = 1;
};

using Script = std::vector<Action>;

/** Plays a script to its end, of which the first aChecked actions are known to
 * violate nothing. @return its violation; sets the state reached before the
 * end, and what was possible there */
template<typename Scenario>
std::string
playTo(const Script& aScript,
       std::size_t aChecked,
       std::uint64_t* aFingerprint,
       std::vector<Action>* aEnabled)
{
  Scenario scenario;
  for (std::size_t index = 0; index < aScript.size(); ++index) {
    scenario.apply(aScript[index]);
    if (index < aChecked) {
      continue;
    }
    if (auto found = scenario.violation(); !found.empty()) {
      return found;
    }
  }
  if (aFingerprint != nullptr) {
    *aFingerprint = scenario.fingerprint();
    *aEnabled = scenario.enabled();
  }
  scenario.settle();
  return scenario.violationAtEnd();
}

template<typename Scenario>
class Search
{
  using Clock = std::chrono::steady_clock;

public:
  Search(const SearchLimits& aLimits, Progress& aProgress)
    : mLimits(aLimits)
    , mProgress(aProgress)
    , mStarted(Clock::now())
  {
  }

  /** Breadth first, so that the first finding is a short one. */
  std::optional<Finding> playAll(const std::vector<Script>& aBeginnings)
  {
    std::vector<Script> level = aBeginnings;
    for (std::size_t depth = 0; depth <= mLimits.depth; ++depth) {
      std::vector<Script> next;
      for (const Script& script : level) {
        if (timeIsUp(2)) {
          return std::nullopt;
        }
        std::uint64_t state = 0;
        std::vector<Action> enabled;
        ++mProgress.scripts;
        const std::size_t checked = depth == 0 ? 0 : script.size() - 1;
        auto found = playTo<Scenario>(script, checked, &state, &enabled);
        if (!found.empty()) {
          return Finding{ script, std::move(found) };
        }
        if (!mSeen.insert(state).second) {
          continue;
        }
        ++mProgress.states;
        for (const Action& action : enabled) {
          next.push_back(script);
          next.back().push_back(action);
        }
      }
      mProgress.depth = depth;
      level = std::move(next);
    }
    return std::nullopt;
  }

  std::optional<Finding> walk(const std::vector<Script>& aBeginnings)
  {
    base::Random random(mLimits.seed);
    while (!timeIsUp(1)) {
      Script script = aBeginnings[random.below(aBeginnings.size())];
      Scenario scenario;
      for (const Action& action : script) {
        scenario.apply(action);
      }
      ++mProgress.scripts;
      for (std::size_t step = 0; step < mLimits.walkLength; ++step) {
        const auto enabled = scenario.enabled();
        if (enabled.empty()) {
          break;
        }
        script.push_back(enabled[random.below(enabled.size())]);
        scenario.apply(script.back());
        if (auto found = scenario.violation(); !found.empty()) {
          return Finding{ script, std::move(found) };
        }
      }
      scenario.settle();
      if (auto found = scenario.violationAtEnd(); !found.empty()) {
        return Finding{ script, std::move(found) };
      }
    }
    return std::nullopt;
  }

private:
  bool timeIsUp(int aParts) const
  {
    return Clock::now() - mStarted > mLimits.time / aParts;
  }

  const SearchLimits& mLimits;
  Progress& mProgress;
  Clock::time_point mStarted;
  std::unordered_set<std::uint64_t> mSeen;
};

/** @return a violation without its details, which shrinking changes */
inline std::string
kindOf(const std::string& aViolation)
{
  return aViolation.substr(0, aViolation.find(" ("));
}

/** @param aScript actions; those that are impossible when their turn comes are
 * left out
 * @return what it violates, while it runs or at its end; empty if nothing */
template<typename Scenario>
std::string
play(const Script& aScript)
{
  return playTo<Scenario>(aScript, 0, nullptr, nullptr);
}

/** @param aFinding a script that violates something
 * @return a shorter one that violates the same, from which no action can be
 * left out */
template<typename Scenario>
Finding
shrink(Finding aFinding)
{
  const std::string kind = kindOf(aFinding.violation);
  for (bool shorter = true; shorter;) {
    shorter = false;
    for (std::size_t index = aFinding.script.size(); index-- > 0;) {
      Script candidate = aFinding.script;
      candidate.erase(candidate.begin() + static_cast<std::ptrdiff_t>(index));
      auto found = play<Scenario>(candidate);
      if (kindOf(found) == kind) {
        aFinding = { std::move(candidate), std::move(found) };
        shorter = true;
      }
    }
  }
  return aFinding;
}

/**
 * Plays all scripts after a beginning, shortest first, and then random ones.
 * @param aBeginnings scripts after which the search starts
 * @param aLimits limits
 * @param aProgress how far it got
 * @return the first violation, shrunk, or nothing
 */
template<typename Scenario>
std::optional<Finding>
search(const std::vector<Script>& aBeginnings,
       const SearchLimits& aLimits,
       Progress& aProgress)
{
  Search<Scenario> run(aLimits, aProgress);
  auto found = run.playAll(aBeginnings);
  if (!found) {
    found = run.walk(aBeginnings);
  }
  return found ? std::optional(shrink<Scenario>(*found)) : std::nullopt;
}

} // namespace marigold::explore
