/** @file An upstream's own record of the requests that it ran. */
#pragma once

#include "http/message.h"

#include <nlohmann/json.hpp>
#include <string>

namespace marigold::standin {

/**
 * Records each request before it runs. With a file the record also covers
 * earlier runs of the process that crashed or were killed.
 */
class RunRecord
{
public:
  /** @param aFile file of JSON lines, or empty for memory only */
  explicit RunRecord(std::string aFile);

  /**
   * @param aRequest what runs
   * @param aDetails further members of the entry
   */
  void add(const http::Request& aRequest, nlohmann::json aDetails);

  /** @return the entries, oldest first */
  const nlohmann::json& entries() const { return mEntries; }

private:
  std::string mFile;
  nlohmann::json mEntries = nlohmann::json::array();
};

} // namespace marigold::standin
