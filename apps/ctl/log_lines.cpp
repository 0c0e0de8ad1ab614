#include "apps/ctl/log_lines.h"

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marigold::ctl {
namespace {

using nlohmann::json;

std::string
textOf(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

std::string
textAt(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found == aObject.end() ? "" : textOf(*found);
}

/** @param aText "2026-01-10 20:20:15,000" */
std::optional<base::Duration>
parseTimestamp(const std::string& aText)
{
  std::tm parts{};
  char separator = 0;
  std::int64_t milliseconds = 0;
  std::istringstream input(aText);
  input >> std::get_time(&parts, "%Y-%m-%d %H:%M:%S") >> separator >>
    milliseconds;
  if (!input || separator != ',') {
    return std::nullopt;
  }
  return std::chrono::seconds(timegm(&parts)) +
         std::chrono::milliseconds(milliseconds);
}

/** Reads the time and the VM name before the JSON. */
bool
parsePrefix(const std::string& aPrefix, LogLine& aLine)
{
  double seconds = 0;
  std::istringstream input(aPrefix);
  input >> aLine.clock;
  std::istringstream clock(aLine.clock);
  if (!(clock >> seconds) || !clock.eof()) {
    return false;
  }
  aLine.time = base::fromSeconds(seconds);
  return static_cast<bool>(input >> aLine.vm);
}

} // namespace

const std::string&
LogLine::field(const std::string& aName) const
{
  static const std::string kNone;
  const auto found = fields.find(aName);
  return found == fields.end() ? kNone : found->second;
}

std::optional<LogLine>
parseLogLine(const std::string& aText)
{
  const std::size_t start = aText.find('{');
  if (start == std::string::npos) {
    return std::nullopt;
  }
  const json content =
    json::parse(aText.begin() + static_cast<std::ptrdiff_t>(start),
                aText.end(),
                nullptr,
                false);
  if (!content.is_object() || !content.contains("message")) {
    return std::nullopt;
  }
  LogLine line;
  line.message = textAt(content, "message");
  line.level = textAt(content, "level");
  const std::string prefix = aText.substr(0, start);
  if (prefix.find_first_not_of(" \t") != std::string::npos) {
    if (!parsePrefix(prefix, line)) {
      return std::nullopt;
    }
  } else {
    line.clock = textAt(content, "timestamp");
    line.vm = textAt(content, "logger");
    const auto time = parseTimestamp(line.clock);
    if (!time) {
      return std::nullopt;
    }
    line.time = *time;
  }
  const auto context = content.find("context_map");
  if (context != content.end() && context->is_object()) {
    for (const auto& [name, value] : context->items()) {
      line.fields[name] = textOf(value);
    }
  }
  return line;
}

void
readLogs(std::istream& aInput, Logs& aLogs)
{
  std::string text;
  while (std::getline(aInput, text)) {
    if (auto line = parseLogLine(text)) {
      aLogs.lines.push_back(std::move(*line));
    } else if (!text.empty()) {
      ++aLogs.skipped;
    }
  }
}

base::Result<Logs>
readLogFiles(const std::vector<std::string>& aFiles)
{
  Logs logs;
  for (const std::string& file : aFiles) {
    std::ifstream input(file);
    // A folder can be opened, but not read.
    if (!input || input.peek() == std::ifstream::traits_type::eof()) {
      return base::fail(base::Code::FileUnreadable,
                        file + " cannot be read or is empty");
    }
    readLogs(input, logs);
  }
  std::stable_sort(logs.lines.begin(),
                   logs.lines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.time < aRight.time;
                   });
  return logs;
}

} // namespace marigold::ctl
