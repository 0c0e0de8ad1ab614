#include "config/checked_node.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace marigold::config {
namespace {

std::string
formatNumber(double aValue)
{
  std::ostringstream out;
  out << aValue;
  return out.str();
}

/** @return what a node holds, for an error message */
std::string
describe(const YAML::Node& aNode)
{
  if (!aNode.IsDefined()) {
    return "nothing";
  }
  switch (aNode.Type()) {
    case YAML::NodeType::Map:
      return "a mapping";
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Scalar:
      return "\"" + aNode.Scalar() + "\"";
    default:
      return "an empty value";
  }
}

struct DurationUnit
{
  std::string_view suffix;
  base::Duration length;
};

// The suffix "ms" must be tried before "s", which matches its end.
constexpr std::array kDurationUnits{
  DurationUnit{ "ms", std::chrono::milliseconds(1) },
  DurationUnit{ "s", std::chrono::seconds(1) },
  DurationUnit{ "m", std::chrono::minutes(1) },
  DurationUnit{ "h", std::chrono::hours(1) },
};

/** @return true if the whole text is a finite number */
bool
parseNumber(std::string_view aText, double& aValue)
{
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), aValue);
  return error == std::errc{} && end == aText.data() + aText.size() &&
         std::isfinite(aValue);
}

} // namespace

CheckedNode::CheckedNode(const YAML::Node& aNode,
                         std::string aFile,
                         std::string aPath)
  : mNode(aNode)
  , mFile(std::move(aFile))
  , mPath(std::move(aPath))
{
}

void
CheckedNode::reject(const std::string& aRule) const
{
  const int line = mNode.IsDefined() ? mNode.Mark().line + 1 : 1;
  throw InvalidContent(mFile + ":" + std::to_string(line) + ": " +
                       (mPath.empty() ? "document" : mPath) + ": found " +
                       describe(mNode) + "; allowed: " + aRule);
}

CheckedNode
CheckedNode::require(const std::string& aKey)
{
  if (!mNode.IsMap()) {
    reject("a mapping");
  }
  const YAML::Node child = mNode[aKey];
  mReadKeys.insert(aKey);
  if (!child.IsDefined()) {
    throw InvalidContent(mFile + ":" + std::to_string(mNode.Mark().line + 1) +
                         ": " + (mPath.empty() ? "document" : mPath) +
                         ": required key \"" + aKey + "\" is missing");
  }
  return { child, mFile, mPath.empty() ? aKey : mPath + "." + aKey };
}

bool
CheckedNode::has(const std::string& aKey)
{
  if (!mNode.IsMap()) {
    reject("a mapping");
  }
  mReadKeys.insert(aKey);
  return mNode[aKey].IsDefined();
}

std::vector<CheckedNode>
CheckedNode::items() const
{
  if (!mNode.IsSequence()) {
    reject("a list");
  }
  std::vector<CheckedNode> items;
  for (std::size_t index = 0; index < mNode.size(); ++index) {
    items.emplace_back(
      mNode[index], mFile, mPath + "[" + std::to_string(index) + "]");
  }
  return items;
}

void
CheckedNode::rejectUnknownKeys() const
{
  if (!mNode.IsMap()) {
    reject("a mapping");
  }
  std::set<std::string> seen;
  for (const auto& entry : mNode) {
    const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
    std::string problem;
    if (!mReadKeys.contains(key)) {
      problem = "unknown key";
    } else if (!seen.insert(key).second) {
      problem = "duplicate key";
    }
    if (problem.empty()) {
      continue;
    }
    std::string allowed;
    for (const std::string& readKey : mReadKeys) {
      allowed += (allowed.empty() ? "" : ", ") + readKey;
    }
    throw InvalidContent(mFile + ":" +
                         std::to_string(entry.first.Mark().line + 1) + ": " +
                         (mPath.empty() ? "document" : mPath) + ": " + problem +
                         " \"" + key + "\"; allowed: " + allowed);
  }
}

std::string
CheckedNode::scalar(const std::string& aRule) const
{
  if (!mNode.IsDefined() || !mNode.IsScalar()) {
    reject(aRule);
  }
  return mNode.Scalar();
}

std::string
CheckedNode::name() const
{
  static constexpr std::string_view kRule =
    "1 to 64 letters, digits, '.', '-' or '_'";
  constexpr std::size_t kMaxLength = 64;
  const std::string value = scalar(std::string(kRule));
  const bool valid =
    !value.empty() && value.size() <= kMaxLength &&
    std::all_of(value.begin(), value.end(), [](unsigned char aChar) {
      return std::isalnum(aChar) != 0 || aChar == '.' || aChar == '-' ||
             aChar == '_';
    });
  if (!valid) {
    reject(std::string(kRule));
  }
  return value;
}

std::string
CheckedNode::text() const
{
  const std::string value = scalar("a text");
  if (value.empty()) {
    reject("a text that is not empty");
  }
  return value;
}

double
CheckedNode::number(double aMin, double aMax) const
{
  const std::string rule =
    "a number from " + formatNumber(aMin) + " to " + formatNumber(aMax);
  double value = 0;
  if (!parseNumber(scalar(rule), value) || value < aMin || value > aMax) {
    reject(rule);
  }
  return value;
}

std::int64_t
CheckedNode::integer(std::int64_t aMin, std::int64_t aMax) const
{
  const std::string rule = "a whole number from " + std::to_string(aMin) +
                           " to " + std::to_string(aMax);
  const std::string digits = scalar(rule);
  std::int64_t value = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc{} || end != digits.data() + digits.size() ||
      value < aMin || value > aMax) {
    reject(rule);
  }
  return value;
}

bool
CheckedNode::boolean() const
{
  const std::string value = scalar("true or false");
  if (value != "true" && value != "false") {
    reject("true or false");
  }
  return value == "true";
}

base::Duration
CheckedNode::duration(base::Duration aMin, base::Duration aMax) const
{
  const std::string rule = "a duration such as 250ms, 3s, 5m or 1h, from " +
                           std::to_string(base::inMilliseconds(aMin)) +
                           "ms to " +
                           std::to_string(base::inMilliseconds(aMax)) + "ms";
  const std::string value = scalar(rule);
  for (const DurationUnit& unit : kDurationUnits) {
    if (!value.ends_with(unit.suffix)) {
      continue;
    }
    double count = 0;
    const std::string_view digits =
      std::string_view(value).substr(0, value.size() - unit.suffix.size());
    constexpr double kMaxCount = 1e9;
    if (!parseNumber(digits, count) || std::abs(count) > kMaxCount) {
      break;
    }
    const auto length = base::fromSeconds(count * base::inSeconds(unit.length));
    if (length < aMin || length > aMax) {
      break;
    }
    return length;
  }
  reject(rule);
}

base::Address
CheckedNode::address() const
{
  const auto outcome =
    base::capture([this] { return base::parseAddress(text()); });
  if (base::errorOf(outcome) != nullptr) {
    reject("a numeric IPv4 address with a port");
  }
  return std::get<base::Address>(outcome);
}

std::string
CheckedNode::oneOf(const std::set<std::string>& aAllowed) const
{
  std::string rule;
  for (const std::string& allowed : aAllowed) {
    rule += (rule.empty() ? "" : ", ") + allowed;
  }
  const std::string value = scalar(rule);
  if (!aAllowed.contains(value)) {
    reject(rule);
  }
  return value;
}

base::Result<std::string>
readFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return base::fail(base::Code::FileUnreadable, aPath + ": cannot be read");
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

} // namespace marigold::config
