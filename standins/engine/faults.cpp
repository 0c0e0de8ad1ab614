#include "standins/engine/faults.h"

#include <array>
#include <utility>

namespace marigold::standin {
namespace {

constexpr std::array kFaults{
  std::pair<std::string_view, Fault>{ "crash", Fault::Crash },
  std::pair<std::string_view, Fault>{ "wrong-id", Fault::WrongId },
  std::pair<std::string_view, Fault>{ "truncate", Fault::Truncate },
  std::pair<std::string_view, Fault>{ "cut", Fault::Cut },
  std::pair<std::string_view, Fault>{ "surplus", Fault::Surplus },
  std::pair<std::string_view, Fault>{ "stall", Fault::Stall },
};

} // namespace

std::optional<Fault>
faultNamed(std::string_view aName)
{
  for (const auto& [name, fault] : kFaults) {
    if (name == aName) {
      return fault;
    }
  }
  return std::nullopt;
}

Fault
RequestFaults::choose(std::string_view aBody)
{
  for (const auto& [name, fault] : kFaults) {
    if (aBody.find("[[" + std::string(name) + "]]") != std::string_view::npos) {
      return fault;
    }
  }
  for (auto& [fault, count] : mCounts) {
    if (count > 0) {
      --count;
      return fault;
    }
  }
  return Fault::None;
}

std::string
referenceIn(std::string_view aBody)
{
  constexpr std::string_view kStart = "[[ref:";
  const auto start = aBody.find(kStart);
  if (start == std::string_view::npos) {
    return "";
  }
  const auto first = start + kStart.size();
  const auto end = aBody.find("]]", first);
  return end == std::string_view::npos
           ? ""
           : std::string(aBody.substr(first, end - first));
}

} // namespace marigold::standin
