/** @file An upstream's record of the requests that it executed. */
#pragma once

#include "http/message.h"

#include <nlohmann/json.hpp>
#include <string>

namespace marigold::standin {

/**
 * Records each request before it executes. With a file, entries persist across
 * crashes and restarts of the process.
 */
class RunRecord
{
public:
  /** @param aFile JSON Lines file, or empty to keep entries in memory only */
  explicit RunRecord(std::string aFile);

  /**
   * @param aRequest request about to execute
   * @param aDetails additional members of the entry
   */
  void add(const http::Request& aRequest, nlohmann::json aDetails);

  /** @return all entries, oldest first */
  const nlohmann::json& entries() const { return mEntries; }

private:
  std::string mFile;
  nlohmann::json mEntries = nlohmann::json::array();
};

} // namespace marigold::standin
