#include "wire/connection_pool.h"

namespace marigold::wire {
namespace {

using namespace std::chrono_literals;

/** Kept this long where an upstream does not say its own limit. */
constexpr base::Duration kDefaultIdle = 4s;
/** A request must not cross the upstream's own close of an idle connection. */
constexpr base::Duration kIdleMargin = 400ms;
constexpr base::Duration kLeastIdle = 100ms;

} // namespace

PooledCall::PooledCall(ConnectionPool& aPool,
                       UpstreamKey aPeer,
                       std::unique_ptr<UpstreamConnection> aConnection)
  : mPool(aPool)
  , mPeer(std::move(aPeer))
  , mConnection(std::move(aConnection))
{
  ++mPool.mActive[mPeer];
}

PooledCall::~PooledCall()
{
  if (mConnection) {
    finish();
  }
}

void
PooledCall::finish()
{
  if (--mPool.mActive[mPeer] == 0) {
    mPool.mActive.erase(mPeer);
  }
  if (mConnection->reusable()) {
    mPool.keep(mPeer, std::move(mConnection));
  } else {
    mPool.discard(std::move(mConnection));
  }
}

std::unique_ptr<PooledCall>
ConnectionPool::start(const UpstreamKey& aPeer,
                      OutgoingCall aCall,
                      CallEvents aEvents,
                      std::size_t aLimit)
{
  auto connection = take(aPeer);
  if (!connection) {
    if (connections(aPeer) >= aLimit) {
      return nullptr;
    }
    connection = std::make_unique<UpstreamConnection>(mLoop, aPeer.address);
    ++mOpened;
  }
  connection->start(std::move(aCall), std::move(aEvents));
  return std::make_unique<PooledCall>(*this, aPeer, std::move(connection));
}

std::size_t
ConnectionPool::connections(const UpstreamKey& aPeer) const
{
  const auto active = mActive.find(aPeer);
  const auto idle = mIdle.find(aPeer);
  return (active == mActive.end() ? 0 : active->second) +
         (idle == mIdle.end() ? 0 : idle->second.size());
}

std::unique_ptr<UpstreamConnection>
ConnectionPool::take(const UpstreamKey& aPeer)
{
  const auto found = mIdle.find(aPeer);
  if (found == mIdle.end()) {
    return nullptr;
  }
  std::unique_ptr<UpstreamConnection> taken;
  auto& kept = found->second;
  while (!taken && !kept.empty()) {
    // The one used last is the least likely to be closed by the upstream.
    auto connection = std::move(kept.back().connection);
    kept.pop_back();
    if (connection->disturbed()) {
      discard(std::move(connection));
    } else {
      taken = std::move(connection);
    }
  }
  if (kept.empty()) {
    mIdle.erase(found);
  }
  return taken;
}

void
ConnectionPool::keep(const UpstreamKey& aPeer,
                     std::unique_ptr<UpstreamConnection> aConnection)
{
  const base::Duration limit =
    aConnection->idleLimit().value_or(kDefaultIdle) - kIdleMargin;
  if (limit < kLeastIdle) {
    discard(std::move(aConnection));
    return;
  }
  const UpstreamConnection* raw = aConnection.get();
  const auto end = [this, aPeer, raw] { drop(aPeer, raw); };
  aConnection->idle(end);
  mIdle[aPeer].push_back({ std::move(aConnection), mLoop.after(limit, end) });
}

void
ConnectionPool::drop(const UpstreamKey& aPeer,
                     const UpstreamConnection* aConnection)
{
  const auto found = mIdle.find(aPeer);
  if (found == mIdle.end()) {
    return;
  }
  auto& connections = found->second;
  for (auto idle = connections.begin(); idle != connections.end(); ++idle) {
    if (idle->connection.get() != aConnection) {
      continue;
    }
    auto ended = std::move(idle->connection);
    connections.erase(idle);
    if (connections.empty()) {
      mIdle.erase(found);
    }
    discard(std::move(ended));
    return;
  }
}

void
ConnectionPool::discard(std::unique_ptr<UpstreamConnection> aConnection)
{
  // Freed later, because one of its callbacks may be running.
  aConnection->idle({});
  mLoop.post(
    [held = std::shared_ptr<UpstreamConnection>(std::move(aConnection))] {});
}

} // namespace marigold::wire
