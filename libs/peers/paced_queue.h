/** @file Paces messages to peers, so that they leave room on a slow link. */
#pragma once

#include "base/address.h"
#include "base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigold::peers {

/**
 * Datagrams of periodic messages that wait for their turn on the link. All
 * pairs of message and recipient take turns, and a newer message replaces one
 * that still waits, so a slow link makes the messages rarer but never older.
 */
class PacedQueue
{
public:
  struct Datagram
  {
    const std::string& bytes; ///< valid until the next call
    base::Address to;
  };

  /** @param aBytesPerSecond rate of all datagrams together; nothing if it is
   * not limited */
  explicit PacedQueue(std::optional<double> aBytesPerSecond)
    : mBytesPerSecond(aBytesPerSecond)
  {
  }

  /** @param aStream kind of message; its next message replaces this one
   * @param aBytes message
   * @param aRecipients all recipients of the stream */
  void push(const std::string& aStream,
            std::string aBytes,
            const std::vector<base::Address>& aRecipients);

  /** Counts datagrams that are sent without waiting.
   * @param aBytes their size @param aNow time */
  void charge(std::size_t aBytes, base::TimePoint aNow);

  /** @param aNow time @return the next datagram, which counts as sent; nothing
   * if none waits or may be sent yet */
  std::optional<Datagram> next(base::TimePoint aNow);

  /** @return true if no datagram waits */
  bool empty() const { return mTurns.empty(); }

  /** @param aNow time @return time until another datagram may be sent */
  base::Duration wait(base::TimePoint aNow) const;

private:
  using Turn = std::pair<std::string, base::Address>;
  struct Stream
  {
    std::string bytes;
    std::set<base::Address> recipients;
  };
  double available(base::TimePoint aNow) const;

  std::optional<double> mBytesPerSecond;
  std::map<std::string, Stream> mStreams;
  std::deque<Turn> mTurns;
  std::set<Turn> mWaiting; ///< the same turns, to find them
  /** Bytes that could be sent at mUpdatedAt; negative after a long datagram. */
  double mAvailable = 0;
  base::TimePoint mUpdatedAt{};
};

} // namespace marigold::peers
