/**
 * @file
 * Load pattern: many streams break off at once, and their callers take them up
 * at any VM while several software versions serve.
 */
#pragma once

#include "peers/peers.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marigold::dispatch {

/** Remembers which software began the recent streams of this VM, and those that
 * peers have told of. The oldest go first if there are too many. */
class StreamOrigins
{
public:
  /** @param aLifetime longest time between the first event of a stream and its
   * last continuation */
  void setLifetime(base::Duration aLifetime) { mLifetime = aLifetime; }

  /** Adds a stream that began at this VM. The first known origin counts.
   * @param aOrigin origin @param aNow time */
  void record(const peers::StreamOrigin& aOrigin, base::TimePoint aNow);

  /** Adds streams that peers have told of. @param aOrigins origins
   * @param aNow time */
  void merge(const std::vector<peers::StreamOrigin>& aOrigins,
             base::TimePoint aNow);

  /** @param aStream stream @return the software that began it, if known */
  std::optional<peers::SoftwareTag> find(peers::StreamId aStream) const;

  /** Which streams a list is for. */
  enum class Whose : std::uint8_t
  {
    Own, ///< of this VM
    All, ///< those of peers included
  };

  /** @param aCount number of streams that had been added before
   * @param aWhose whose streams
   * @return the streams added since, as far as they are remembered */
  std::vector<peers::StreamOrigin> addedSince(std::uint64_t aCount,
                                              Whose aWhose) const;

  /** Forgets streams that nobody takes up any more. @param aNow time */
  void expire(base::TimePoint aNow);

  /** @return number of streams that were added so far */
  std::uint64_t added() const { return mAdded; }

private:
  struct Entry
  {
    peers::StreamOrigin origin;
    base::TimePoint addedAt{};
    Whose whose = Whose::Own;
  };
  void add(const peers::StreamOrigin& aOrigin,
           Whose aWhose,
           base::TimePoint aNow);
  void removeOldest();

  base::Duration mLifetime = std::chrono::seconds(30);
  std::unordered_map<peers::StreamId, peers::SoftwareTag> mOrigins;
  std::deque<Entry> mByAge; ///< oldest first
  std::uint64_t mAdded = 0;
};

} // namespace marigold::dispatch
