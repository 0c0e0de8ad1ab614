#include "apps/load/runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::load {
namespace {

using nlohmann::json;

/** The timeout of a call exceeds its deadline by this, so that late answers
 * are recorded. */
constexpr base::Duration kLateAnswerGrace = std::chrono::seconds(2);
constexpr base::Duration kRecordTimeout = std::chrono::seconds(10);

} // namespace

Runner::Runner(http::Loop& aLoop,
               const Scenario& aScenario,
               const std::vector<PlannedRequest>& aPlan)
  : mLoop(aLoop)
  , mScenario(aScenario)
  , mPlan(aPlan)
  , mClient(aLoop)
  , mResults(aPlan.size())
{
}

void
Runner::start(std::function<void()> aDone)
{
  mDone = std::move(aDone);
  mStart = base::monotonicNow();
  sendDue();
}

base::Duration
Runner::elapsed() const
{
  return base::monotonicNow() - mStart;
}

void
Runner::sendDue()
{
  while (mNext < mPlan.size() && mPlan[mNext].at <= elapsed()) {
    send(mNext++);
  }
  if (mNext < mPlan.size()) {
    const base::Duration wait =
      std::max(base::Duration::zero(), mPlan[mNext].at - elapsed());
    mTimer = mLoop.after(wait, [this] { sendDue(); });
    return;
  }
  if (mOpenRequests.empty()) {
    mLoop.post(mDone);
  }
}

void
Runner::send(std::size_t aIndex)
{
  const PlannedRequest& planned = mPlan[aIndex];
  const RequestClass& requestClass =
    mScenario.teams[planned.team].mix[planned.requestClass];
  const http::Request request = buildRequest(mScenario, planned);
  RequestResult& result = mResults[aIndex];
  result.sent = elapsed();
  result.cost = tokenCost(requestClass, request.body.size());
  const auto openRequest =
    mOpenRequests
      .emplace(aIndex,
               OpenRequest{
                 AnswerCheck(requestClass, planned.reference), {}, nullptr })
      .first;
  http::CallEvents events;
  events.chunk = [this, aIndex](std::string_view aBytes) {
    onChunk(aIndex, aBytes);
  };
  events.done = [this, aIndex](http::CallEnd aEnd,
                               const http::Response& aAnswer) {
    onDone(aIndex, aEnd, aAnswer);
  };
  openRequest->second.call =
    mClient.start(mScenario.entries[planned.entry],
                  request,
                  requestClass.deadline + kLateAnswerGrace,
                  std::move(events));
}

void
Runner::onChunk(std::size_t aIndex, std::string_view aBytes)
{
  OpenRequest& openRequest = mOpenRequests.at(aIndex);
  RequestResult& result = mResults[aIndex];
  if (openRequest.check.feed(aBytes) == 0) {
    return;
  }
  const base::Duration now = elapsed();
  if (result.firstEvent) {
    result.longestGap =
      std::max(result.longestGap, now - openRequest.lastEvent);
  } else {
    result.firstEvent = now;
  }
  openRequest.lastEvent = now;
}

void
Runner::onDone(std::size_t aIndex,
               http::CallEnd aEnd,
               const http::Response& aAnswer)
{
  const auto openRequest = mOpenRequests.extract(aIndex);
  AnswerCheck& check = openRequest.mapped().check;
  RequestResult& result = mResults[aIndex];
  result.complete = aEnd == http::CallEnd::Complete;
  result.ended = elapsed();
  result.status = aAnswer.status;
  check.finish(result.status, result.complete);
  result.outcome = http::findHeader(aAnswer.headers, "Marigold-Outcome");
  result.requestId = http::findHeader(aAnswer.headers, "X-Request-Id");
  result.code = check.code();
  result.tokens = check.tokens();
  result.whole = check.whole();
  result.foreign = check.foreign();
  result.silentlyTruncated = check.silentlyTruncated();
  if (mNext >= mPlan.size() && mOpenRequests.empty()) {
    mLoop.post(mDone);
  }
}

RecordReader::RecordReader(http::Loop& aLoop, const Scenario& aScenario)
  : mLoop(aLoop)
  , mClient(aLoop)
{
  for (const http::Address& engine : aScenario.engines) {
    mQueries.push_back({ engine, "/_ran", true });
    mQueries.push_back({ engine, "/_memory", true });
  }
  for (const http::Address& service : aScenario.services) {
    mQueries.push_back({ service, "/_ran", false });
  }
}

void
RecordReader::start(std::function<void(const UpstreamRecords&)> aDone)
{
  mDone = std::move(aDone);
  mRecords = {};
  mNext = 0;
  next();
}

void
RecordReader::next()
{
  if (mNext == mQueries.size()) {
    mLoop.post([this] { mDone(mRecords); });
    return;
  }
  const RecordQuery& query = mQueries[mNext++];
  http::CallEvents events;
  events.done = [this, &query](http::CallEnd aEnd,
                               const http::Response& aAnswer) {
    if (aEnd == http::CallEnd::Complete && aAnswer.status == 200) {
      read(query, aAnswer.body);
    } else {
      ++mRecords.unreachable;
    }
    mLoop.post([this] { next(); });
  };
  mCall = mClient.start(query.address,
                        { "GET", query.path, "", {}, "" },
                        kRecordTimeout,
                        std::move(events));
}

void
RecordReader::read(const RecordQuery& aQuery, const std::string& aBody)
{
  const json content = json::parse(aBody, nullptr, false);
  if (content.is_object()) {
    mRecords.overcommits += content.value("overcommits", 0);
    mRecords.loads += content.value("loads", 0);
    return;
  }
  if (content.is_array()) {
    json& runs = aQuery.engine ? mRecords.engineRuns : mRecords.serviceRuns;
    runs.insert(runs.end(), content.begin(), content.end());
  }
}

} // namespace marigold::load
