/** @file Searches scripts of a scenario for one that violates a promise. */
#pragma once

#include "scenario.h"

#include <chrono>
#include <optional>

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

/** @param aScript actions; those that are impossible when their turn comes are
 * left out
 * @return what it violates, while it runs or at its end; empty if nothing */
std::string
play(const std::vector<Action>& aScript);

/** @param aFinding a script that violates something
 * @return a shorter one that violates the same, from which no action can be
 * left out */
Finding
shrink(Finding aFinding);

/**
 * Plays all scripts after a beginning, shortest first, and then random ones.
 * @param aBeginnings scripts after which the search starts
 * @param aLimits limits
 * @param aProgress how far it got
 * @return the first violation, shrunk, or nothing
 */
std::optional<Finding>
search(const std::vector<std::vector<Action>>& aBeginnings,
       const SearchLimits& aLimits,
       Progress& aProgress);

} // namespace marigold::explore
