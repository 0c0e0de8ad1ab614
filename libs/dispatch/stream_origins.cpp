#include "dispatch/stream_origins.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

/** Streams that are remembered at most, which takes some 4 MiB. */
constexpr std::size_t kMaxStreams = 65'536;

} // namespace

void
StreamOrigins::add(const peers::StreamOrigin& aOrigin,
                   Whose aWhose,
                   base::TimePoint aNow)
{
  const auto [known, isNew] =
    mOrigins.emplace(aOrigin.stream, aOrigin.software);
  if (!isNew && (known->second != peers::kUnknownSoftware ||
                 aOrigin.software == peers::kUnknownSoftware)) {
    return;
  }
  known->second = aOrigin.software;
  mByAge.push_back({ aOrigin, aNow, aWhose });
  ++mAdded;
  if (mByAge.size() > kMaxStreams) {
    removeOldest();
  }
}

void
StreamOrigins::removeOldest()
{
  mOrigins.erase(mByAge.front().origin.stream);
  mByAge.pop_front();
}

void
StreamOrigins::record(const peers::StreamOrigin& aOrigin, base::TimePoint aNow)
{
  add(aOrigin, Whose::Own, aNow);
}

void
StreamOrigins::merge(const std::vector<peers::StreamOrigin>& aOrigins,
                     base::TimePoint aNow)
{
  for (const peers::StreamOrigin& origin : aOrigins) {
    add(origin, Whose::All, aNow);
  }
}

std::optional<peers::SoftwareTag>
StreamOrigins::find(peers::StreamId aStream) const
{
  const auto found = mOrigins.find(aStream);
  return found == mOrigins.end() ? std::nullopt : std::optional(found->second);
}

std::vector<peers::StreamOrigin>
StreamOrigins::addedSince(std::uint64_t aCount, Whose aWhose) const
{
  const std::size_t added =
    std::min<std::uint64_t>(mAdded - std::min(aCount, mAdded), mByAge.size());
  std::vector<peers::StreamOrigin> origins;
  for (std::size_t index = mByAge.size() - added; index < mByAge.size();
       ++index) {
    const Entry& entry = mByAge[index];
    if (aWhose == Whose::All || entry.whose == Whose::Own) {
      origins.push_back(entry.origin);
    }
  }
  return origins;
}

void
StreamOrigins::expire(base::TimePoint aNow)
{
  while (!mByAge.empty() && aNow - mByAge.front().addedAt > mLifetime) {
    removeOldest();
  }
}

} // namespace marigold::dispatch
