/** @file Connections of callers, the configuration of their requests and the
 * end of both in a planned stop. */
#pragma once

#include "apps/gateway/exchange.h"

namespace marigold::gateway {

/** Serves requests of callers until a planned stop has ended. */
class RequestServer
{
public:
  /** @param aContext state that all requests share; must outlive this object */
  explicit RequestServer(RequestContext& aContext);
  ~RequestServer();
  RequestServer(const RequestServer&) = delete;
  RequestServer& operator=(const RequestServer&) = delete;

  /** @param aAddress address to listen on @return SettingsInvalid on failure */
  base::Result<void> listen(const base::Address& aAddress);

  /** @param aHandler called when a connection has ended */
  void onClosed(wire::CallerServer::CloseHandler aHandler)
  {
    mCallers.onClosed(std::move(aHandler));
  }

  /** @param aSnapshot configuration for the requests that come from now on
   * @return false if it is not newer than the one in force and was ignored */
  bool applyCatalog(const std::shared_ptr<const CatalogSnapshot>& aSnapshot);

  /**
   * Begins a planned stop. Callers are served until the load balancer has
   * noticed it; at the end of the grace period the event loop stops.
   * @param aListeningStopped called when no caller can connect any more
   */
  void beginDrain(std::function<void()> aListeningStopped);

  /** @return true once a planned stop has begun */
  bool draining() const { return mDraining; }

  /** @return true once a planned stop has left no request */
  bool drained() const;

  /** @return number of requests whose callers wait for an answer */
  std::size_t openRequests() const { return mCallers.openRequests(); }

  /** @return number of open connections */
  std::size_t connections() const { return mCallers.connections(); }

  /** @return number of requests that the request path has left to the fallback
   * response of their connections */
  std::size_t fallbackResponses() const { return mFallbackResponses; }

private:
  void stopListening();
  void endOpenRequests();

  RequestContext& mContext;
  wire::CallerServer mCallers;
  std::function<void()> mListeningStopped;
  std::vector<http::EventHandle> mTimers;
  std::size_t mFallbackResponses = 0;
  bool mDraining = false;
  bool mListening = true;
};

} // namespace marigold::gateway
