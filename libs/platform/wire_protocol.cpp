#include "platform/wire_protocol.h"

namespace marigold::platform {

using base::Code;
using base::Error;

std::optional<Error>
errorFromStatus(int aStatus, int aConflict)
{
  if (aStatus == aConflict) {
    return Error{ Code::RevisionConflict,
                  "the key's revision is not the expected one" };
  }
  switch (aStatus) {
    case 200:
      return std::nullopt;
    case 404:
      return Error{ Code::NotFound, "no such key or lease" };
    case 410:
      return Error{
        Code::HistoryCompacted,
        "the platform no longer has the changes since that revision"
      };
    case 413:
      return Error{ Code::ValueTooLarge, "the value is too large" };
    case 429:
      return Error{ Code::PlatformRateLimited,
                    "the platform's rate limit is exceeded" };
    default:
      return Error{ Code::PlatformUnreachable,
                    "the platform answered with status " +
                      std::to_string(aStatus) };
  }
}

std::optional<Era>
readEraHeader(const http::Headers& aHeaders, const char* aName)
{
  const auto era = base::parseNumber(http::findHeader(aHeaders, aName));
  return era ? std::optional<Era>(*era) : std::nullopt;
}

} // namespace marigold::platform
