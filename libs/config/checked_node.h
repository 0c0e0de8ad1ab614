/** @file YAML nodes that report wrong content with file, line and key. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace marigold::config {

/** The content of a file is wrong; what() names file, line, key and rule. */
class InvalidContent : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/**
 * A YAML node with its place. Reading a key marks it as known;
 * rejectUnknownKeys() rejects what nobody read, so that a misspelt key is an
 * error and not a silent default.
 */
class CheckedNode
{
public:
  /**
   * @param aNode node, or an undefined node for an absent key
   * @param aFile file name for messages
   * @param aPath keys that lead to the node
   */
  CheckedNode(const YAML::Node& aNode, std::string aFile, std::string aPath);

  /** @param aKey key of a mapping @return its node; throws if it is absent */
  CheckedNode require(const std::string& aKey);

  /** @param aKey key of a mapping @return true if the key is present */
  bool has(const std::string& aKey);

  /** @return the items of a sequence; throws if it is none */
  std::vector<CheckedNode> items() const;

  /** Throws if the mapping has a key that was not asked for. */
  void rejectUnknownKeys() const;

  /**
   * @param aAllowed describes the allowed names in a message
   * @return a name of letters, digits, dot, dash and underscore
   */
  std::string name() const;

  /** @return any non-empty text */
  std::string text() const;

  /** @param aLowest least value @param aHighest largest value @return number */
  double number(double aLowest, double aHighest) const;

  /** @param aLowest least value @param aHighest largest value @return number */
  std::int64_t integer(std::int64_t aLowest, std::int64_t aHighest) const;

  /** @return true or false */
  bool boolean() const;

  /**
   * @param aLowest least value
   * @param aHighest largest value
   * @return a duration written as a number with ms, s, m or h
   */
  base::Duration duration(base::Duration aLowest,
                          base::Duration aHighest) const;

  /** @return a numeric IPv4 address with a port */
  base::Address address() const;

  /** @param aAllowed allowed words @return one of them */
  std::string oneOf(const std::set<std::string>& aAllowed) const;

  /** Throws InvalidContent. @param aAllowed what would have been right */
  [[noreturn]] void reject(const std::string& aAllowed) const;

private:
  std::string scalar(const std::string& aAllowed) const;

  YAML::Node mNode;
  std::string mFile;
  std::string mPath;
  std::set<std::string> mKnown;
};

/**
 * Reads a file and hands its content to a reader.
 * @param aPath file
 * @return its text, or FileUnreadable
 */
base::Result<std::string>
readFile(const std::string& aPath);

/**
 * Parses YAML and runs a reader on it; every error of either becomes one Error.
 * @param aText YAML text
 * @param aFile name for messages
 * @param aCode code of the error
 * @param aRead callable that takes a CheckedNode and returns the value
 * @return the value, or an error that names file, line, key and rule
 */
template<typename Read>
auto
parseChecked(const std::string& aText,
             const std::string& aFile,
             base::Code aCode,
             Read aRead)
  -> base::Result<decltype(aRead(std::declval<CheckedNode&>()))>
{
  try {
    CheckedNode root(YAML::Load(aText), aFile, "");
    auto value = aRead(root);
    root.rejectUnknownKeys();
    return value;
  } catch (const InvalidContent& wrong) {
    return base::fail(aCode, wrong.what());
  } catch (const YAML::Exception& wrong) {
    return base::fail(aCode,
                      aFile + ":" + std::to_string(wrong.mark.line + 1) + ": " +
                        wrong.msg);
  }
}

} // namespace marigold::config
