#include "standins/common/faults.h"

#include <array>
#include <cstdlib>
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

/** @return the text between aStart and the next "]]", or empty */
std::string
markerValue(std::string_view aBody, std::string_view aStart)
{
  const auto start = aBody.find(aStart);
  if (start == std::string_view::npos) {
    return "";
  }
  const auto first = start + aStart.size();
  const auto end = aBody.find("]]", first);
  return end == std::string_view::npos
           ? ""
           : std::string(aBody.substr(first, end - first));
}

} // namespace

std::optional<Fault>
parseFault(std::string_view aName)
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
  for (auto& [fault, count] : mRemainingCounts) {
    if (count > 0) {
      --count;
      return fault;
    }
  }
  return Fault::None;
}

base::Duration
parseDelayMarker(std::string_view aBody)
{
  return std::chrono::milliseconds(
    std::atoi(markerValue(aBody, "[[delay:").c_str()));
}

std::string
parseReferenceMarker(std::string_view aBody)
{
  return markerValue(aBody, "[[ref:");
}

} // namespace marigold::standin
