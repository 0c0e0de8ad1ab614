/** @file One request of a caller, from admission to the end of its answer. */
#pragma once

#include "apps/entry/caller_request.h"
#include "apps/entry/sse_parser.h"
#include "apps/entry/team_limits.h"
#include "apps/entry/upstream_choice.h"
#include "apps/entry/upstream_table.h"
#include "observe/observe.h"

#include <functional>
#include <memory>
#include <set>

namespace marigold::entry {

/** What an exchange needs of its process. */
struct ExchangeContext
{
  http::Loop& loop;
  http::Client& client;
  Configuration& configuration;
  TeamLimits& limits;
  UpstreamTable& upstreams;
  UpstreamChoice& choice;
  observe::Metrics& metrics;
};

/**
 * Serves one request: charges its team, chooses an upstream, forwards the
 * request and passes the answer on. It ends exactly once.
 */
class Exchange
{
public:
  using Ended = std::function<void()>;

  /**
   * @param aContext what the exchange works with
   * @param aCaller request that was read and authenticated
   * @param aOut answer to the caller
   * @param aEnded runs once after the end; it may destroy the exchange
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
  void forward();
  void onHead(const http::Answer& aAnswer);
  void onChunk(std::string_view aBytes);
  void onDone(http::CallEnd aEnd, const http::Answer& aAnswer);
  void finishStream(http::CallEnd aEnd);
  void finishWhole(const http::Answer& aAnswer);
  void upstreamFailed(http::CallEnd aEnd);
  void retryOrRefuse(base::Code aCode, const std::string& aMessage);
  void refuse(base::Code aCode, const std::string& aMessage);
  void end(base::Code aCode);
  bool mayRetry(base::Code aCode) const;

  ExchangeContext& mContext;
  CallerRequest mCaller;
  std::shared_ptr<http::Responder> mOut;
  Ended mEnded;
  base::TimePoint mStarted;
  Charge mCharge;
  std::set<base::UpstreamName> mTried;
  base::UpstreamName mUpstream; ///< empty while none is working
  std::unique_ptr<http::Call> mCall;
  SseParser mEvents;
  std::string mBody;
  http::Answer mHead;
  bool mFinished = false;
};

/**
 * @param aCode why a request is refused
 * @param aMessage one plain sentence
 * @param aId id of the request
 * @return the answer to the caller
 */
http::Answer
refusal(base::Code aCode, const std::string& aMessage, const std::string& aId);

} // namespace marigold::entry
