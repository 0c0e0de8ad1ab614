/** @file Pool of connections to upstreams. */
#pragma once

#include "wire/upstream.h"

#include <list>
#include <map>

namespace marigold::wire {

/** Identifies an upstream process. A new process at the same address has
 * another name and does not share connections with the old one. */
struct UpstreamKey
{
  std::string name;
  base::Address address;

  auto operator<=>(const UpstreamKey&) const = default;
};

class ConnectionPool;

/** A call in progress. The destructor returns the connection to the pool if it
 * is reusable and closes it otherwise, with a reset if there is no complete
 * response. */
class PooledCall
{
public:
  PooledCall(ConnectionPool& aPool,
             UpstreamKey aUpstream,
             std::unique_ptr<UpstreamConnection> aConnection);
  ~PooledCall();
  PooledCall(const PooledCall&) = delete;
  PooledCall& operator=(const PooledCall&) = delete;

  /** @param aPaused true to stop reading the response */
  void pauseReading(bool aPaused) { mConnection->pauseReading(aPaused); }

  /** @return the input since the connection was made */
  http::InputCount inputCount() const { return mConnection->inputCount(); }

  /** @return true once the request was written to the connection */
  bool sent() const { return mConnection->sent(); }

  /** @return true while the call has neither a complete response nor failed */
  bool active() const { return mConnection->active(); }

  /** @return how far the request has come */
  SendProgress progress() const { return mConnection->progress(); }

private:
  friend class ConnectionPool;
  void finish();

  ConnectionPool& mPool;
  UpstreamKey mUpstream;
  std::unique_ptr<UpstreamConnection> mConnection;
};

/** Opens connections to upstreams and reuses idle ones. */
class ConnectionPool
{
public:
  /** @param aLoop event loop */
  explicit ConnectionPool(http::Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /** Counts what upstreams have not read yet towards a budget.
   * @param aMemory budget, which outlives the pool */
  void setMemoryBudget(base::MemoryBudget& aMemory) { mMemory = &aMemory; }

  /**
   * Starts a call on an idle connection or a new one.
   * @param aUpstream upstream to call
   * @param aCall request
   * @param aEvents callbacks, never invoked before this function returns
   * @param aLimit maximum number of connections to this upstream
   * @return the call, or nullptr if the limit is reached
   */
  std::unique_ptr<PooledCall> start(const UpstreamKey& aUpstream,
                                    OutgoingCall aCall,
                                    CallEvents aEvents,
                                    std::size_t aLimit);

  /** Closes the idle connections to an upstream. @param aUpstream upstream */
  void closeIdle(const UpstreamKey& aUpstream) { mIdle.erase(aUpstream); }

  /** @param aUpstream upstream @return number of its active and idle
   * connections */
  std::size_t connections(const UpstreamKey& aUpstream) const;

  /** @return total number of connections opened */
  std::uint64_t opened() const { return mOpened; }

private:
  friend class PooledCall;
  struct Idle
  {
    std::unique_ptr<UpstreamConnection> connection;
    base::TimePoint until; ///< no request is sent on it later
    http::EventHandle expiry;
  };
  std::unique_ptr<UpstreamConnection> takeIdle(const UpstreamKey& aUpstream,
                                               const std::string& aId);
  void keepIdle(const UpstreamKey& aUpstream,
                std::unique_ptr<UpstreamConnection> aConnection);
  void removeIdle(const UpstreamKey& aUpstream,
                  const UpstreamConnection* aConnection);
  void destroyLater(std::unique_ptr<UpstreamConnection> aConnection);

  http::Loop& mLoop;
  base::MemoryBudget mUnlimited;
  base::MemoryBudget* mMemory = &mUnlimited;
  std::map<UpstreamKey, std::list<Idle>> mIdle;
  std::map<UpstreamKey, std::size_t> mActive;
  std::uint64_t mOpened = 0;
};

} // namespace marigold::wire
