#include "wire/connection_pool.h"

namespace marigold::wire {

PooledCall::PooledCall(ConnectionPool& aPool,
                       UpstreamKey aUpstream,
                       std::unique_ptr<UpstreamConnection> aConnection)
  : mPool(aPool)
  , mUpstream(std::move(aUpstream))
  , mConnection(std::move(aConnection))
{
  ++mPool.mActive[mUpstream];
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
  if (--mPool.mActive[mUpstream] == 0) {
    mPool.mActive.erase(mUpstream);
  }
  if (mConnection->reusable()) {
    mPool.keepIdle(mUpstream, std::move(mConnection));
  } else {
    mPool.destroyLater(std::move(mConnection));
  }
}

std::unique_ptr<PooledCall>
ConnectionPool::start(const UpstreamKey& aUpstream,
                      OutgoingCall aCall,
                      CallEvents aEvents,
                      std::size_t aLimit)
{
  auto connection = takeIdle(aUpstream, aCall.id);
  if (!connection) {
    if (connections(aUpstream) >= aLimit) {
      return nullptr;
    }
    connection =
      std::make_unique<UpstreamConnection>(mLoop, aUpstream.address, *mMemory);
    ++mOpened;
  }
  connection->start(std::move(aCall), std::move(aEvents));
  return std::make_unique<PooledCall>(*this, aUpstream, std::move(connection));
}

std::size_t
ConnectionPool::connections(const UpstreamKey& aUpstream) const
{
  const auto active = mActive.find(aUpstream);
  const auto idle = mIdle.find(aUpstream);
  return (active == mActive.end() ? 0 : active->second) +
         (idle == mIdle.end() ? 0 : idle->second.size());
}

std::unique_ptr<UpstreamConnection>
ConnectionPool::takeIdle(const UpstreamKey& aUpstream, const std::string& aId)
{
  const auto found = mIdle.find(aUpstream);
  if (found == mIdle.end()) {
    return nullptr;
  }
  std::unique_ptr<UpstreamConnection> taken;
  auto& idle = found->second;
  // The most recently used one is the least likely to be closed by the
  // upstream.
  for (auto next = idle.end(); !taken && next != idle.begin();) {
    --next;
    // The timer of its end may wait behind the request in a late loop.
    if (next->until <= base::monotonicNow() || next->connection->stale()) {
      destroyLater(std::move(next->connection));
      next = idle.erase(next);
    } else if (!next->connection->hasCarried(aId)) {
      taken = std::move(next->connection);
      next = idle.erase(next);
    }
  }
  if (idle.empty()) {
    mIdle.erase(found);
  }
  return taken;
}

void
ConnectionPool::keepIdle(const UpstreamKey& aUpstream,
                         std::unique_ptr<UpstreamConnection> aConnection)
{
  const auto limit = aConnection->reuseTime();
  if (!limit) {
    destroyLater(std::move(aConnection));
    return;
  }
  const UpstreamConnection* raw = aConnection.get();
  const auto end = [this, aUpstream, raw] { removeIdle(aUpstream, raw); };
  aConnection->setIdle(end);
  mIdle[aUpstream].push_back({ std::move(aConnection),
                               base::monotonicNow() + *limit,
                               mLoop.after(*limit, end) });
}

void
ConnectionPool::removeIdle(const UpstreamKey& aUpstream,
                           const UpstreamConnection* aConnection)
{
  const auto found = mIdle.find(aUpstream);
  if (found == mIdle.end()) {
    return;
  }
  auto& connections = found->second;
  for (auto idle = connections.begin(); idle != connections.end(); ++idle) {
    if (idle->connection.get() != aConnection) {
      continue;
    }
    auto removed = std::move(idle->connection);
    connections.erase(idle);
    if (connections.empty()) {
      mIdle.erase(found);
    }
    destroyLater(std::move(removed));
    return;
  }
}

void
ConnectionPool::destroyLater(std::unique_ptr<UpstreamConnection> aConnection)
{
  // Destroyed from the event loop, because one of its callbacks may be running.
  aConnection->setIdle({});
  mLoop.post(
    [held = std::shared_ptr<UpstreamConnection>(std::move(aConnection))] {});
}

} // namespace marigold::wire
