/** @file Scripts: what happens, in order. */
#pragma once

#include <string>
#include <vector>

namespace marigold::explore {

/** One step of a script: what happens, and to which caller or connection. */
struct Action
{
  std::string name;
  std::size_t target = 0;

  std::string text() const { return name + ":" + std::to_string(target); }
  bool operator==(const Action&) const = default;
};

/** @param aText actions as printed, separated by spaces @return the actions */
std::vector<Action>
parseScript(const std::string& aText);

/** @param aScript actions @return their text */
std::string
formatScript(const std::vector<Action>& aScript);

} // namespace marigold::explore
