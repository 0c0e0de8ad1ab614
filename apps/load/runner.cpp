#include "apps/load/runner.h"

#include <algorithm>

namespace marigold::load {
namespace {

using nlohmann::json;

/** A caller waits this much longer than its deadline, to see a late answer. */
constexpr base::Duration kGrace = std::chrono::seconds(2);
constexpr base::Duration kRecordTimeout = std::chrono::seconds(10);

} // namespace

Runner::Runner(http::Loop& aLoop,
               const Scenario& aScenario,
               const std::vector<Planned>& aPlan)
  : mLoop(aLoop)
  , mScenario(aScenario)
  , mPlan(aPlan)
  , mClient(aLoop)
  , mSeen(aPlan.size())
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
  if (mOpen.empty()) {
    mLoop.post(mDone);
  }
}

void
Runner::send(std::size_t aIndex)
{
  const Planned& planned = mPlan[aIndex];
  const Work& work = mScenario.teams[planned.team].mix[planned.work];
  const http::Request request = requestOf(mScenario, planned);
  Seen& seen = mSeen[aIndex];
  seen.sent = elapsed();
  seen.cost = costOf(work, request.body.size());
  const auto open =
    mOpen
      .emplace(aIndex,
               Open{ AnswerCheck(work, planned.reference), {}, nullptr })
      .first;
  http::CallEvents events;
  events.chunk = [this, aIndex](std::string_view aBytes) {
    onChunk(aIndex, aBytes);
  };
  events.done = [this, aIndex](http::CallEnd aEnd,
                               const http::Response& aAnswer) {
    onDone(aIndex, aEnd, aAnswer);
  };
  open->second.call = mClient.start(mScenario.entries[planned.entry],
                                    request,
                                    work.deadline + kGrace,
                                    std::move(events));
}

void
Runner::onChunk(std::size_t aIndex, std::string_view aBytes)
{
  Open& open = mOpen.at(aIndex);
  Seen& seen = mSeen[aIndex];
  if (open.check.feed(aBytes) == 0) {
    return;
  }
  const base::Duration now = elapsed();
  if (seen.firstEvent) {
    seen.longestGap = std::max(seen.longestGap, now - open.lastEvent);
  } else {
    seen.firstEvent = now;
  }
  open.lastEvent = now;
}

void
Runner::onDone(std::size_t aIndex,
               http::CallEnd aEnd,
               const http::Response& aAnswer)
{
  const auto open = mOpen.extract(aIndex);
  AnswerCheck& check = open.mapped().check;
  Seen& seen = mSeen[aIndex];
  seen.complete = aEnd == http::CallEnd::Complete;
  seen.ended = elapsed();
  seen.status = aAnswer.status;
  check.finish(seen.status, seen.complete);
  seen.outcome = http::findHeader(aAnswer.headers, "Marigold-Outcome");
  seen.requestId = http::findHeader(aAnswer.headers, "X-Request-Id");
  seen.code = check.code();
  seen.tokens = check.tokens();
  seen.whole = check.whole();
  seen.foreign = check.foreign();
  seen.cutSilently = check.cutSilently();
  if (mNext >= mPlan.size() && mOpen.empty()) {
    mLoop.post(mDone);
  }
}

RecordReader::RecordReader(http::Loop& aLoop, const Scenario& aScenario)
  : mLoop(aLoop)
  , mClient(aLoop)
{
  for (const http::Address& engine : aScenario.engines) {
    mQuestions.push_back({ engine, "/_ran", true });
    mQuestions.push_back({ engine, "/_memory", true });
  }
  for (const http::Address& service : aScenario.services) {
    mQuestions.push_back({ service, "/_ran", false });
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
  if (mNext == mQuestions.size()) {
    mLoop.post([this] { mDone(mRecords); });
    return;
  }
  const Question& question = mQuestions[mNext++];
  http::CallEvents events;
  events.done = [this, &question](http::CallEnd aEnd,
                                  const http::Response& aAnswer) {
    if (aEnd == http::CallEnd::Complete && aAnswer.status == 200) {
      read(question, aAnswer.body);
    } else {
      ++mRecords.unreachable;
    }
    mLoop.post([this] { next(); });
  };
  mCall = mClient.start(question.address,
                        { "GET", question.path, "", {}, "" },
                        kRecordTimeout,
                        std::move(events));
}

void
RecordReader::read(const Question& aQuestion, const std::string& aBody)
{
  const json content = json::parse(aBody, nullptr, false);
  if (content.is_object()) {
    mRecords.overcommits += content.value("overcommits", 0);
    mRecords.loads += content.value("loads", 0);
    return;
  }
  if (content.is_array()) {
    json& runs = aQuestion.engine ? mRecords.engineRuns : mRecords.serviceRuns;
    runs.insert(runs.end(), content.begin(), content.end());
  }
}

} // namespace marigold::load
