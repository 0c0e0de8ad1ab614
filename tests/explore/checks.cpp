#include "scenario.h"

#include <algorithm>

namespace marigold::explore {
namespace {

using namespace std::chrono_literals;
using Step = World::Step;

/** A request that is sent this shortly before the end of a planned stop may get
 * a closed connection (RULES, LOST: `loss_slack_ms`). */
constexpr base::Duration kCrossingSlack = 200ms;
/** Work goes on at most this long after its caller has left (RULES, GONE). */
constexpr base::Duration kGoneSlack = 500ms;
/** A request is tried once more if so much time is left: it may wait for
 * evidence of a crash before. */
constexpr base::Duration kTimeForAttempt = 600ms;

bool
isSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

std::string
Scenario::checkAnswers(const Caller& aCaller) const
{
  for (std::size_t index = 0; index < aCaller.answers.size(); ++index) {
    const Answer& answer = aCaller.answers[index];
    if (answer.status == 0) {
      continue; // Its head is incomplete.
    }
    if (index >= aCaller.requests.size()) {
      const bool ends = index + 1 == aCaller.answers.size();
      if (ends && isClosingRefusal(answer)) {
        continue;
      }
      return "an answer that no request asked for";
    }
    const CallerRequest& request = aCaller.requests[index];
    if (!answer.id.empty() && answer.id != request.id) {
      return "answer to another request (" + answer.id + " reached " +
             request.id + ")";
    }
    if (isSuccess(answer.status) && request.sent < request.text.size()) {
      return "success before the request was whole (" + request.id + ")";
    }
    for (auto found :
         { checkRefusal(request, answer), checkBody(request, answer) }) {
      if (!found.empty()) {
        return found;
      }
    }
  }
  return {};
}

/** @return what is wrong with a refusal for being late or malformed */
std::string
Scenario::checkRefusal(const CallerRequest& aRequest,
                       const Answer& aAnswer) const
{
  const bool whole = aRequest.sent == aRequest.text.size();
  const bool inTime = whole && aRequest.sentAt - aRequest.begunAt < kShortIdle;
  const bool crossed = isClosingRefusal(aAnswer);
  if (crossed && !aRequest.crossesClose) {
    return "a request that crossed no close is refused by one (" + aRequest.id +
           ")";
  }
  if (crossed && lastArrivalOf(aRequest.id) != nullptr) {
    return "a request that crossed the close of its connection is passed on (" +
           aRequest.id + ")";
  }
  // The id of a request is known unless the end of its head is missing.
  const bool anonymous = aAnswer.notRun && aAnswer.id.empty() && !crossed;
  if (anonymous && (!mDraining || aAnswer.code != "draining" ||
                    lastArrivalOf(aRequest.id) != nullptr)) {
    return "a request is refused without its id (" + aRequest.id + ")";
  }
  if (aAnswer.status == 408 && inTime && !crossed) {
    return "a request that came in time is refused as late (" + aRequest.id +
           ")";
  }
  return aAnswer.status == 400
           ? "a sound request is refused as malformed (" + aRequest.id + ")"
           : "";
}

/** @return what is wrong with the body of a success */
std::string
Scenario::checkBody(const CallerRequest& aRequest, const Answer& aAnswer) const
{
  if (!isSuccess(aAnswer.status)) {
    return {};
  }
  const std::string& expected = bodyFor(aRequest.id);
  if (!expected.starts_with(aAnswer.body)) {
    return "success with a wrong body (" + aRequest.id + ")";
  }
  if (!aAnswer.complete || aAnswer.body == expected) {
    return {};
  }
  const Arrival* arrival = lastArrivalOf(aRequest.id);
  const bool shortened =
    arrival != nullptr && arrival->kind == AnswerKind::Short;
  return shortened && aAnswer.body.ends_with("\n\n")
           ? ""
           : "complete answer without its end (" + aRequest.id + ")";
}

/** Callers rely on the idle timeout of the configuration. */
std::string
Scenario::checkIdle(const Caller& aCaller) const
{
  const auto& answers = aCaller.answers;
  const bool refused = answers.size() == aCaller.requests.size() + 1 &&
                       isClosingRefusal(answers.back());
  const bool isIdle =
    refused ||
    (answers.size() == aCaller.requests.size() &&
     (answers.empty() || (answers.back().complete && !answers.back().last)));
  // What a caller that pauses has received says little of when it was sent.
  // A late loop counts the time until it sends an answer as idle.
  const bool mayClose = mDraining || aCaller.leftAt || aCaller.hasPaused ||
                        mLate > 0 || mHeldUp > 0;
  const Connection& connection = connectionOf(aCaller);
  return isIdle && !mayClose && (connection.closed || connection.finSent) &&
             aCaller.closedEarly
           ? "idle connection closed before its idle timeout"
           : "";
}

/** Bytes of a call that was given up may still reach the upstream unless the
 * connection is reset. */
std::string
Scenario::checkGivenUpCalls() const
{
  for (const auto& [id, upstream] : mUpstreams) {
    const Connection& connection = *World::current().connections()[id];
    const bool unanswered = !upstream.arrivals.empty() && !upstream.ended &&
                            !upstream.arrivals.back().complete();
    if (unanswered && connection.closed && !connection.resetSent &&
        !World::current().exited()) {
      return "a call that was given up is not reset (" +
             upstream.arrivals.back().id + ")";
    }
  }
  return {};
}

/** What may run more than once, and streams, end soon after their caller. */
std::string
Scenario::checkCallsWithoutCaller() const
{
  const bool behind = mWorld.ready(Step::Next) || mWorld.ready(Step::Poll);
  for (const auto& [id, upstream] : mUpstreams) {
    for (const Arrival& arrival : upstream.arrivals) {
      const auto leftAt = callerOf(arrival.id)->leftAt;
      if (!leftAt) {
        continue;
      }
      if (arrival.at > *leftAt + kGoneSlack) {
        return "a request is sent although its caller has left (" + arrival.id +
               ")";
      }
      const Connection& connection = *World::current().connections()[id];
      const bool works = &arrival == &upstream.arrivals.back() &&
                         !upstream.ended && !arrival.complete() &&
                         !connection.closed && connection.open();
      if (works && !behind && !mayRunOnce(arrival.id) &&
          mWorld.now() > *leftAt + kGoneSlack) {
        return "a call goes on although its caller has left (" + arrival.id +
               ")";
      }
    }
  }
  return {};
}

/** Nothing that follows such an answer can belong to its request. */
std::string
Scenario::checkInvalidAnswers() const
{
  if (mWorld.ready(Step::Next) || mWorld.ready(Step::Poll)) {
    return {};
  }
  for (const auto& [id, upstream] : mUpstreams) {
    const Connection& connection = *World::current().connections()[id];
    const bool answered = !upstream.arrivals.empty() &&
                          upstream.arrivals.back().complete() &&
                          upstream.arrivals.back().kind == AnswerKind::Invalid;
    if (answered && connection.unread.empty() && !connection.closed) {
      return "a call goes on behind a status that HTTP doesn't have (" +
             upstream.arrivals.back().id + ")";
    }
  }
  return {};
}

/** A request on a connection that has visibly ended is lost needlessly. */
std::string
Scenario::checkKeptConnections() const
{
  for (const auto& connection : World::current().connections()) {
    if (connection->writtenAfterEnd) {
      return "a request is sent on a kept connection that its upstream has "
             "ended";
    }
    if (connection->writtenTooLate) {
      return "a request is sent on a kept connection that its upstream may be "
             "closing";
    }
  }
  return {};
}

std::string
Scenario::checkArrivals() const
{
  std::map<std::string, unsigned> mayHaveRun;
  for (const auto& [connection, upstream] : mUpstreams) {
    for (const Arrival& arrival : upstream.arrivals) {
      mayHaveRun[arrival.id] += arrival.kind == AnswerKind::Busy ? 0 : 1;
    }
  }
  for (const auto& [id, count] : mayHaveRun) {
    if (mayRunOnce(id) && count > 1) {
      return "more than one upstream got a request that may run once (" + id +
             ")";
    }
  }
  const auto& connections = World::current().connections();
  const bool lost =
    std::any_of(connections.begin(), connections.end(), [](const auto& aItem) {
      return !aItem->accepted && aItem->lostBytes;
    });
  for (const Caller& caller : mCallers) {
    for (const Answer& answer : caller.answers) {
      const auto sent = mayHaveRun.find(answer.id);
      const bool mayHave = sent != mayHaveRun.end() && sent->second > 0;
      if (answer.notRun && mayHave) {
        return "a request that may have run is said not to have (" + answer.id +
               ")";
      }
      // The outcome was open when a caller that has half-closed was answered;
      // an upstream has refused the request since.
      const bool wasOpen =
        std::any_of(caller.requests.begin(),
                    caller.requests.end(),
                    [&answer](const CallerRequest& aRequest) {
                      return aRequest.id == answer.id && aRequest.openAtLeave;
                    });
      if (answer.unknown && !mayHave && !lost && !wasOpen) {
        return "a request that cannot have run is said to be unknown (" +
               answer.id + ")";
      }
    }
  }
  return {};
}

/** @return true if all connections to other upstreams were accepted */
bool
Scenario::othersAccept(const base::Address& aTried) const
{
  const auto& connections = World::current().connections();
  return std::all_of(
    connections.begin(), connections.end(), [&](const auto& aItem) {
      return aItem->accepted || aItem->peer == aTried ||
             (aItem->connected && aItem->open() && !aItem->lostBytes);
    });
}

/** What may run more than once is tried at an upstream that accepts
 * connections and has not had it. */
std::string
Scenario::checkAttempts() const
{
  constexpr int kBadGateway = 502;
  if (mDraining) {
    return {};
  }
  for (const Caller& caller : mCallers) {
    for (const Answer& answer : caller.answers) {
      const bool late =
        callerOf(answer.id) == nullptr || !isInTime(answer.id, kTimeForAttempt);
      if (answer.status != kBadGateway || mayRunOnce(answer.id) || late) {
        continue;
      }
      std::size_t arrivals = 0;
      base::Address tried;
      for (const auto& [connection, upstream] : mUpstreams) {
        for (const Arrival& arrival : upstream.arrivals) {
          if (arrival.id == answer.id) {
            ++arrivals;
            tried = World::current().connections()[connection]->peer;
          }
        }
      }
      if (arrivals == 1 && othersAccept(tried)) {
        return "a request that may be repeated fails after one attempt (" +
               answer.id + ")";
      }
    }
  }
  return {};
}

std::string
Scenario::violation() const
{
  for (const Caller& caller : mCallers) {
    for (const auto check : { &Scenario::checkAnswers, &Scenario::checkIdle }) {
      if (auto found = (this->*check)(caller); !found.empty()) {
        return found;
      }
    }
  }
  for (const auto check : { &Scenario::checkArrivals,
                            &Scenario::checkGivenUpCalls,
                            &Scenario::checkCallsWithoutCaller,
                            &Scenario::checkInvalidAnswers,
                            &Scenario::checkAttempts,
                            &Scenario::checkKeptConnections }) {
    if (auto found = (this->*check)(); !found.empty()) {
      return found;
    }
  }
  return {};
}

std::string
Scenario::checkEnd(const Caller& aCaller) const
{
  const Connection& connection = connectionOf(aCaller);
  if (aCaller.leftAt || aCaller.pausedTooLong) {
    return checkHalfClose(aCaller);
  }
  const auto& answers = aCaller.answers;
  for (std::size_t index = 0; index < aCaller.requests.size(); ++index) {
    const CallerRequest& request = aCaller.requests[index];
    if (index < answers.size() && answers[index].complete) {
      if (answers[index].last) {
        break; // Requests behind the last answer are not taken, as HTTP has it.
      }
      continue;
    }
    const bool whole = request.sent == request.text.size();
    const std::size_t begin = request.end - request.text.size();
    if (!whole && connection.read > begin && !World::current().exited()) {
      return connection.closed
               ? "connection closed without an answer to a part of a request "
                 "(" +
                   request.id + ")"
               : "connection with a part of a request stays open (" +
                   request.id + ")";
    }
    if (!whole) {
      break;
    }
    const bool wasRead = connection.read >= request.end;
    if (!connection.closed) {
      return "request is neither answered nor its connection closed (" +
             request.id + ")";
    }
    if (index < answers.size() && answers[index].status != 0) {
      break; // An answer that breaks off ends its connection.
    }
    if (index < answers.size() && connection.closedByExit &&
        aCaller.hasPaused) {
      break; // It had not read its answer when the grace of the stop ended.
    }
    const bool crossedTheEnd =
      World::current().exited() &&
      World::current().now() - request.sentAt < kCrossingSlack;
    if (wasRead && !crossedTheEnd) {
      return "connection closed without an answer to a request that was read "
             "(" +
             request.id + ")";
    }
    break;
  }
  return checkDelivery(aCaller);
}

/** A caller may close its sending side and read on. What it had asked for is
 * answered or refused, also if it may have run. */
std::string
Scenario::checkHalfClose(const Caller& aCaller) const
{
  const Connection& connection = connectionOf(aCaller);
  const auto& connections = World::current().connections();
  const bool lost =
    std::any_of(connections.begin(), connections.end(), [](const auto& aItem) {
      return !aItem->accepted && aItem->lostBytes;
    });
  if (!aCaller.halfClosed || aCaller.pausedTooLong || lost ||
      World::current().exited()) {
    return {};
  }
  const auto& answers = aCaller.answers;
  for (std::size_t index = 0; index < aCaller.requests.size(); ++index) {
    const CallerRequest& request = aCaller.requests[index];
    const bool read =
      request.sent == request.text.size() && connection.read >= request.end;
    const bool begun = index < answers.size() && answers[index].status != 0;
    const bool complete = begun && answers[index].complete;
    // A stream that has begun ends with its caller.
    const Arrival* arrival = lastArrivalOf(request.id);
    const bool mayBreakOff = arrival != nullptr && arrival->answered > 0;
    if (read && !complete && !(begun && mayBreakOff)) {
      return "request of a caller that has half-closed is neither answered nor "
             "refused (" +
             request.id + ")";
    }
    if (!complete || answers[index].last) {
      break;
    }
  }
  return {};
}

/** An answer that the process has read, or that waits for it while the caller
 * reads and time is left, reaches the caller whole. */
std::string
Scenario::checkDelivery(const Caller& aCaller) const
{
  if (connectionOf(aCaller).closedByExit) {
    return {};
  }
  for (std::size_t index = 0; index < aCaller.requests.size(); ++index) {
    const CallerRequest& request = aCaller.requests[index];
    const Arrival* arrival = lastArrivalOf(request.id);
    const bool read = arrival != nullptr && arrival->read && arrival->inTime;
    const bool delivered = index < aCaller.answers.size() &&
                           aCaller.answers[index].complete &&
                           isSuccess(aCaller.answers[index].status);
    if ((read || request.due) && !delivered) {
      return "an answer that had come is not delivered whole (" + request.id +
             ")";
    }
  }
  return {};
}

/** Counters return to where they were. */
std::string
Scenario::checkCounters() const
{
  const gateway::RequestContext& context = mSite->context;
  if (mSite->requests.openRequests() != 0 || !context.openRequests.empty()) {
    return "requests are still open";
  }
  if (mSite->requests.connections() != 0) {
    return "connections of callers are still open";
  }
  for (const auto& [name, upstream] : mSite->upstreams.all()) {
    if (upstream->running != 0) {
      return "requests still count as running (" + name + ")";
    }
  }
  return context.bufferedAnswerBytes == 0
           ? ""
           : "bytes of answers are still counted";
}

/** A request has an end on the request path, so that its connection need not
 * answer in its place. */
std::string
Scenario::checkDuty() const
{
  return mSite->log.unanswered() == 0 &&
             mSite->requests.fallbackResponses() == 0
           ? ""
           : "the request path has left a request without a response";
}

std::string
Scenario::violationAtEnd() const
{
  if (auto found = violation(); !found.empty()) {
    return found;
  }
  if (auto found = checkDuty(); !found.empty()) {
    return found;
  }
  for (const Caller& caller : mCallers) {
    if (auto found = checkEnd(caller); !found.empty()) {
      return found;
    }
  }
  return World::current().exited() ? "" : checkCounters();
}

} // namespace marigold::explore
