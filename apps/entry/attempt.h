/** @file One attempt of a request at one upstream. */
#pragma once

#include "apps/entry/sse_parser.h"
#include "http/http.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marigold::entry {

/** How an attempt ended without a whole answer of its own. */
enum class AttemptEnd : std::uint8_t
{
  NotSent,     ///< no byte left this VM
  NotResident, ///< the engine answered that it does not hold the model
  Broken,      ///< the connection ended after the first byte
  TimedOut,    ///< bytes may have left, no complete answer
  Crossed,     ///< the answer belongs to another request
  Truncated,   ///< the answer is not whole
};

/** @param aEnd end of an attempt @return the code that describes it */
base::Code
codeOf(AttemptEnd aEnd);

/** What an attempt tells its exchange. Each callback may destroy it. */
struct AttemptEvents
{
  /** Whole events of a stream. */
  std::function<void(const http::Response&, const std::vector<std::string>&)>
    events;
  /** The stream ended with its final event. */
  std::function<void()> streamDone;
  /** A complete answer that is no stream. */
  std::function<void(const http::Response&)> whole;
  /** No complete answer of this request will come. */
  std::function<void(AttemptEnd)> failed;
};

/** What an attempt sends and expects. */
struct AttemptPlan
{
  http::Address address;
  http::Request request;
  std::string id; ///< that the upstream must echo
  base::Duration timeout;
  bool streamed = false;
  bool forModel = false; ///< the engine may say that it lacks the model
  bool reuseConnection = true;
};

/** Forwards a request once and checks that the answer is its own and whole. */
class Attempt
{
public:
  Attempt(http::Client& aClient,
          const AttemptPlan& aPlan,
          AttemptEvents aEvents);
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  /** @return true once a byte has left this VM */
  bool sent() const { return mCall && mCall->sent(); }

  /** @param aPaused true to stop reading the answer */
  void setPaused(bool aPaused);

private:
  void onHead(const http::Response& aAnswer);
  void onChunk(std::string_view aBytes);
  void onDone(http::CallEnd aEnd);
  void fail(AttemptEnd aEnd);
  bool isOwn() const;

  std::string mId;
  bool mStreamed;
  bool mForModel;
  AttemptEvents mEvents;
  http::Response mHead;
  SseParser mParser;
  std::string mBody;
  std::unique_ptr<http::Call> mCall;
};

} // namespace marigold::entry
