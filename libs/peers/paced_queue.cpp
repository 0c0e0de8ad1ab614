#include "peers/paced_queue.h"

#include <algorithm>

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** Datagrams of this time may be sent at once; requests wait behind them. */
constexpr base::Duration kBurst = 20ms;

} // namespace

void
PacedQueue::push(const std::string& aStream,
                 std::string aBytes,
                 const std::vector<base::Address>& aRecipients)
{
  Stream& stream = mStreams[aStream];
  stream.bytes = std::move(aBytes);
  stream.recipients = { aRecipients.begin(), aRecipients.end() };
  for (const base::Address& recipient : aRecipients) {
    const Turn turn{ aStream, recipient };
    if (mWaiting.insert(turn).second) {
      mTurns.push_back(turn);
    }
  }
}

double
PacedQueue::available(base::TimePoint aNow) const
{
  const double burst = *mBytesPerSecond * base::inSeconds(kBurst);
  return std::min(
    burst, mAvailable + *mBytesPerSecond * base::inSeconds(aNow - mUpdatedAt));
}

void
PacedQueue::charge(std::size_t aBytes, base::TimePoint aNow)
{
  if (mBytesPerSecond) {
    mAvailable = available(aNow) - static_cast<double>(aBytes);
    mUpdatedAt = aNow;
  }
}

base::Duration
PacedQueue::wait(base::TimePoint aNow) const
{
  if (!mBytesPerSecond) {
    return {};
  }
  return base::fromSeconds(std::max(0.0, -available(aNow)) / *mBytesPerSecond);
}

std::optional<PacedQueue::Datagram>
PacedQueue::next(base::TimePoint aNow)
{
  while (!mTurns.empty() && (!mBytesPerSecond || available(aNow) >= 0)) {
    const Turn turn = std::move(mTurns.front());
    mTurns.pop_front();
    mWaiting.erase(turn);
    const Stream& stream = mStreams.at(turn.first);
    if (stream.recipients.contains(turn.second)) {
      charge(stream.bytes.size(), aNow);
      return Datagram{ stream.bytes, turn.second };
    }
  }
  return std::nullopt;
}

} // namespace marigold::peers
