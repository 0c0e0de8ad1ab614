/** @file Kept connections to upstreams. */
#pragma once

#include "wire/upstream.h"

#include <list>
#include <map>

namespace marigold::wire {

/** Identifies the upstream behind an address; a new process at the same
 * address is another peer. */
struct UpstreamKey
{
  std::string name;
  base::Address address;

  auto operator<=>(const UpstreamKey&) const = default;
};

class ConnectionPool;

/** A call in progress; destroying it closes its connection. */
class PooledCall
{
public:
  PooledCall(ConnectionPool& aPool,
             UpstreamKey aPeer,
             std::unique_ptr<UpstreamConnection> aConnection);
  ~PooledCall();
  PooledCall(const PooledCall&) = delete;
  PooledCall& operator=(const PooledCall&) = delete;

  /** @param aPaused true to stop reading the answer */
  void pauseReading(bool aPaused) { mConnection->pauseReading(aPaused); }

  /** @return true once bytes of the request were written */
  bool sent() const { return mConnection->sent(); }

private:
  friend class ConnectionPool;
  void finish();

  ConnectionPool& mPool;
  UpstreamKey mPeer;
  std::unique_ptr<UpstreamConnection> mConnection;
};

/** Opens connections to upstreams and keeps those that can be used again. */
class ConnectionPool
{
public:
  /** @param aLoop loop */
  explicit ConnectionPool(http::Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /**
   * @param aPeer upstream
   * @param aCall request
   * @param aEvents callbacks, never called from inside this function
   * @param aLimit most connections to this upstream
   * @return the call, or nullptr if the limit is reached
   */
  std::unique_ptr<PooledCall> start(const UpstreamKey& aPeer,
                                    OutgoingCall aCall,
                                    CallEvents aEvents,
                                    std::size_t aLimit);

  /** Closes the kept connections to a peer. @param aPeer upstream */
  void closeIdle(const UpstreamKey& aPeer) { mIdle.erase(aPeer); }

  /** @param aPeer upstream @return open connections to it */
  std::size_t connections(const UpstreamKey& aPeer) const;

  /** @return connections opened so far */
  std::uint64_t opened() const { return mOpened; }

private:
  friend class PooledCall;
  struct Idle
  {
    std::unique_ptr<UpstreamConnection> connection;
    http::EventHandle expiry;
  };
  std::unique_ptr<UpstreamConnection> take(const UpstreamKey& aPeer);
  void keep(const UpstreamKey& aPeer,
            std::unique_ptr<UpstreamConnection> aConnection);
  void drop(const UpstreamKey& aPeer, const UpstreamConnection* aConnection);
  void discard(std::unique_ptr<UpstreamConnection> aConnection);

  http::Loop& mLoop;
  std::map<UpstreamKey, std::list<Idle>> mIdle;
  std::map<UpstreamKey, std::size_t> mActive;
  std::uint64_t mOpened = 0;
};

} // namespace marigold::wire
