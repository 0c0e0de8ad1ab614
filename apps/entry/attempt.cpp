#include "apps/entry/attempt.h"

#include "apps/entry/answers.h"

namespace marigold::entry {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

} // namespace

base::Code
codeOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::NotSent:
      return base::Code::UpstreamRefused;
    case AttemptEnd::NotResident:
      return base::Code::NoUpstream;
    case AttemptEnd::TimedOut:
      return base::Code::UpstreamTimeout;
    case AttemptEnd::Crossed:
      return base::Code::AnswerCrossed;
    case AttemptEnd::Truncated:
      return base::Code::AnswerTruncated;
    case AttemptEnd::Broken:
      break;
  }
  return base::Code::UpstreamFailed;
}

Attempt::Attempt(http::Client& aClient,
                 const AttemptPlan& aPlan,
                 AttemptEvents aEvents)
  : mId(aPlan.id)
  , mStreamed(aPlan.streamed)
  , mForModel(aPlan.forModel)
  , mEvents(std::move(aEvents))
{
  http::CallEvents events;
  events.head = [this](const http::Response& aAnswer) { onHead(aAnswer); };
  events.chunk = [this](std::string_view aBytes) { onChunk(aBytes); };
  events.done = [this](http::CallEnd aEnd, const http::Response& aAnswer) {
    if (aEnd == http::CallEnd::Complete) {
      mHead = aAnswer;
    }
    onDone(aEnd);
  };
  mCall = aClient.start(aPlan.address,
                        aPlan.request,
                        aPlan.timeout,
                        std::move(events),
                        aPlan.reuseConnection);
}

bool
Attempt::isOwn() const
{
  return http::findHeader(mHead.headers, kIdHeader) == mId;
}

void
Attempt::setPaused(bool aPaused)
{
  if (mCall) {
    mCall->setPaused(aPaused);
  }
}

void
Attempt::onHead(const http::Response& aAnswer)
{
  mHead = aAnswer;
}

void
Attempt::onChunk(std::string_view aBytes)
{
  if (!mStreamed || mHead.status != kOk) {
    mBody += aBytes;
    return;
  }
  if (!isOwn()) {
    fail(AttemptEnd::Crossed);
    return;
  }
  const std::vector<std::string> events = mParser.feed(aBytes);
  if (mParser.overflowed()) {
    fail(AttemptEnd::Truncated);
    return;
  }
  if (!events.empty()) {
    const auto callback = mEvents.events;
    callback(mHead, events);
  }
}

void
Attempt::onDone(http::CallEnd aEnd)
{
  if (mStreamed && mParser.sawDone()) {
    // The answer is whole even if the connection broke after its last event.
    const auto callback = mEvents.streamDone;
    callback();
    return;
  }
  switch (aEnd) {
    case http::CallEnd::NotSent:
      fail(AttemptEnd::NotSent);
      return;
    case http::CallEnd::TimedOut:
      fail(AttemptEnd::TimedOut);
      return;
    case http::CallEnd::Complete:
      break;
    default:
      fail(AttemptEnd::Broken);
      return;
  }
  if (mForModel && mHead.status == kNotFound &&
      mBody.find("model-not-resident") != std::string::npos) {
    fail(AttemptEnd::NotResident);
    return;
  }
  if (!isOwn()) {
    fail(AttemptEnd::Crossed);
    return;
  }
  if (mStreamed && mHead.status == kOk) {
    fail(AttemptEnd::Truncated);
    return;
  }
  const http::Response answer{ mHead.status, mHead.headers, mBody };
  const auto callback = mEvents.whole;
  callback(answer);
}

void
Attempt::fail(AttemptEnd aEnd)
{
  const auto callback = mEvents.failed;
  callback(aEnd);
}

} // namespace marigold::entry
