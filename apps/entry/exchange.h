/** @file One request of a caller, from admission to the end of its answer. */
#pragma once

#include "apps/entry/answers.h"
#include "apps/entry/attempt.h"
#include "apps/entry/caller_request.h"
#include "apps/entry/request_path.h"
#include "apps/entry/upstream_choice.h"
#include "apps/entry/upstream_table.h"
#include "observe/observe.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace marigold::entry {

/** What an exchange needs of its process. */
struct ExchangeContext
{
  http::Loop& loop;
  http::Client& client;
  Configuration& configuration;
  UpstreamTable& upstreams;
  UpstreamChoice& choice;
  observe::Metrics& metrics;
  RequestPath& path;
};

/**
 * Serves one request: chooses an upstream or waits for one,
 * forwards the request and streams the answer back.
 */
class Exchange
{
public:
  using Ended = std::function<void()>;

  /**
   * @param aContext what exchanges of the process share
   * @param aCaller request that was read and authenticated
   * @param aOut answer to the caller
   * @param aEnded runs once at the end; the exchange may be destroyed after
   */
  Exchange(ExchangeContext& aContext,
           CallerRequest aCaller,
           std::shared_ptr<http::Responder> aOut,
           Ended aEnded);

  /** Starts to serve. */
  void start();

  /** Ends the exchange if its key has been withdrawn meanwhile. */
  void checkKey();

private:
  /** One upstream that works on the request. */
  struct Working
  {
    base::UpstreamName upstream;
    base::TimePoint since;
    std::unique_ptr<Attempt> attempt;
  };

  void onDisconnect();
  void place();
  void wait();
  void send(const base::UpstreamName& aUpstream);
  AttemptEvents attemptEvents();
  void onEvents(const http::Response& aHead,
                const std::vector<std::string>& aEvents);
  void passOn(const std::string& aEvent, const http::Response& aHead);
  void onStreamDone();
  void onWhole(const http::Response& aAnswer);
  void onFailed(AttemptEnd aEnd);
  void pause();
  void cancelWork();
  Working takeWorking(bool aConnected);
  void stop(base::Code aCode, const std::string& aMessage);
  void end(base::Code aCode);

  /** Wraps a callback that may run after the end of this exchange. */
  template<typename Function>
  auto guarded(Function aFunction)
  {
    return [alive = std::weak_ptr<bool>(mAlive),
            function = std::move(aFunction)](auto&&... aArguments) {
      if (alive.lock()) {
        function(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

  ExchangeContext& mContext;
  CallerRequest mCaller;
  std::shared_ptr<http::Responder> mOut;
  Ended mEnded;
  base::TimePoint mStarted;
  base::TimePoint mLastEvent;
  std::set<base::UpstreamName> mTried; ///< could not be reached
  bool mMayHaveRun = false;
  std::optional<Working> mWorking;
  std::string mLastEvents; ///< final event held back
  int mDelivered = 0;      ///< content events sent on
  bool mWaiting = false;
  bool mFinished = false;
  http::EventHandle mTimer; ///< paused caller
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace marigold::entry
