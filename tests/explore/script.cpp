#include "script.h"

#include "base/base.h"

#include <sstream>

namespace marigold::explore {

std::vector<Action>
parseScript(const std::string& aText)
{
  std::vector<Action> script;
  std::istringstream words(aText);
  for (std::string word; words >> word;) {
    const std::size_t colon = word.find(':');
    const std::string target =
      colon == std::string::npos ? "0" : word.substr(colon + 1);
    script.push_back({ word.substr(0, colon),
                       base::parseNumber<std::size_t>(target).value_or(0) });
  }
  return script;
}

std::string
formatScript(const std::vector<Action>& aScript)
{
  std::string text;
  for (const Action& action : aScript) {
    text += (text.empty() ? "" : " ") + action.text();
  }
  return text;
}

} // namespace marigold::explore
