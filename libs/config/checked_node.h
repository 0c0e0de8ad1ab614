/** @file YAML nodes whose errors name file, line, key and rule. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace marigold::config {

/** Invalid content of a file; what() names file, line, key and rule. */
class InvalidContent : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/**
 * A YAML node that knows its file and path. It records which keys are read, so
 * that rejectUnknownKeys() turns a misspelt key into an error instead of a
 * silent default.
 */
class CheckedNode
{
public:
  /**
   * @param aNode node, or an undefined node for an absent key
   * @param aFile file name for error messages
   * @param aPath path of keys from the root to the node, empty for the root
   */
  CheckedNode(const YAML::Node& aNode, std::string aFile, std::string aPath);

  /** @param aKey key of a mapping @return its node; throws if it is absent */
  CheckedNode require(const std::string& aKey);

  /** @param aKey key of a mapping @return true if the key is present */
  bool has(const std::string& aKey);

  /** @return the items; throws if the node is no sequence */
  std::vector<CheckedNode> items() const;

  /** Throws if the mapping has a key that was not read, or a key twice. */
  void rejectUnknownKeys() const;

  /** @return a name of 1 to 64 letters, digits, dots, dashes and underscores */
  std::string name() const;

  /** @return a text that is not empty */
  std::string text() const;

  /** @param aMin smallest value @param aMax largest value @return a number */
  double number(double aMin, double aMax) const;

  /** @param aMin smallest value @param aMax largest value @return an integer */
  std::int64_t integer(std::int64_t aMin, std::int64_t aMax) const;

  /** @return true or false */
  bool boolean() const;

  /**
   * @param aMin shortest duration
   * @param aMax longest duration
   * @return a duration, written as a number with the unit ms, s, m or h
   */
  base::Duration duration(base::Duration aMin, base::Duration aMax) const;

  /** @return a numeric IPv4 address and port */
  base::Address address() const;

  /** @param aAllowed allowed words @return one of them */
  std::string oneOf(const std::set<std::string>& aAllowed) const;

  /** Throws InvalidContent for this node. @param aRule the values allowed */
  [[noreturn]] void reject(const std::string& aRule) const;

private:
  std::string scalar(const std::string& aRule) const;

  YAML::Node mNode;
  std::string mFile;
  std::string mPath;
  std::set<std::string> mReadKeys;
};

/**
 * Reads a whole file.
 * @param aPath path of the file
 * @return its content, or FileUnreadable
 */
base::Result<std::string>
readFile(const std::string& aPath);

/**
 * Parses YAML and applies a reader to it. Errors of both become a base::Error.
 * @param aText YAML text
 * @param aFile file name for error messages
 * @param aCode error code for invalid content
 * @param aReader callable that takes a CheckedNode and returns the value
 * @return the value, or an error that names file, line, key and rule
 */
template<typename Reader>
auto
parseChecked(const std::string& aText,
             const std::string& aFile,
             base::Code aCode,
             Reader aReader)
  -> base::Result<decltype(aReader(std::declval<CheckedNode&>()))>
{
  try {
    CheckedNode root(YAML::Load(aText), aFile, "");
    auto value = aReader(root);
    root.rejectUnknownKeys();
    return value;
  } catch (const InvalidContent& exception) {
    return base::fail(aCode, exception.what());
  } catch (const YAML::Exception& exception) {
    return base::fail(aCode,
                      aFile + ":" + std::to_string(exception.mark.line + 1) +
                        ": " + exception.msg);
  }
}

} // namespace marigold::config
