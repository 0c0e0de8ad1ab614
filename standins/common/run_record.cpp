#include "standins/common/run_record.h"

#include "base/time.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace marigold::standin {

using nlohmann::json;

RunRecord::RunRecord(std::string aFile)
  : mFile(std::move(aFile))
{
  if (mFile.empty()) {
    return;
  }
  std::ifstream earlier(mFile);
  std::string line;
  while (std::getline(earlier, line)) {
    json entry = json::parse(line, nullptr, false);
    if (entry.is_object()) {
      mEntries.push_back(std::move(entry));
    }
  }
}

void
RunRecord::add(const http::Request& aRequest, json aDetails)
{
  json headers = json::object();
  for (const auto& [name, value] : aRequest.headers) {
    headers[name] = value;
  }
  const auto now = base::monotonicNow().time_since_epoch();
  aDetails.update(
    { { "id", http::findHeader(aRequest.headers, "X-Request-Id") },
      { "at_ms", base::inMilliseconds(now) },
      { "method", aRequest.method },
      { "path", aRequest.path },
      { "query", aRequest.query },
      { "headers", headers },
      { "body", aRequest.body } });
  if (!mFile.empty()) {
    // The file is closed after each entry so that a killed process loses none.
    std::ofstream(mFile, std::ios::app) << aDetails.dump() << "\n";
  }
  mEntries.push_back(std::move(aDetails));
}

} // namespace marigold::standin
