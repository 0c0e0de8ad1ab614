#include "scenario.h"

#include <algorithm>
#include <sstream>

namespace marigold::explore {
namespace {

using namespace std::chrono_literals;
using Step = World::Step;

/** Everything in the request path ends well within this time. */
constexpr base::Duration kSettleTime = 5min;
constexpr base::Duration kWarmUp = 10s;
/** An answer that is there so long before its request's deadline must reach a
 * caller that reads. */
constexpr base::Duration kTimeToPassOn = 500ms;
/** Bytes of what a peer has received that describe() shows. */
constexpr std::size_t kShownBytes = 1000;

} // namespace

Scenario::Scenario()
  : mSite(std::make_unique<Site>())
  , mCatalog(makeCatalog())
{
  mSite->apply(mCatalog);
  mWorld.advance(kWarmUp); // The buckets of the quota start empty.
  mSite->upstreams.apply(makeRecord("u1", 1));
  mSite->upstreams.apply(makeRecord("u2", 2));
  if (!mSite->requests.listen({ "10.0.0.9", 80 })) {
    std::abort();
  }
}

Connection&
Scenario::connectionOf(const Caller& aCaller) const
{
  return *World::current().connections()[aCaller.connection];
}

/** @return the latest request that came on a connection to an upstream */
const Scenario::Arrival*
Scenario::lastArrival(std::size_t aConnection) const
{
  const auto found = mUpstreams.find(aConnection);
  return found == mUpstreams.end() || found->second.arrivals.empty()
           ? nullptr
           : &found->second.arrivals.back();
}

/** @return the latest arrival of a request at any upstream */
const Scenario::Arrival*
Scenario::lastArrivalOf(const std::string& aId) const
{
  const Arrival* last = nullptr;
  for (const auto& [connection, upstream] : mUpstreams) {
    for (const Arrival& arrival : upstream.arrivals) {
      if (arrival.id == aId &&
          (last == nullptr || arrival.number > last->number)) {
        last = &arrival;
      }
    }
  }
  return last;
}

/** @return the caller of a request */
const Scenario::Caller*
Scenario::callerOf(const std::string& aId) const
{
  for (const Caller& caller : mCallers) {
    for (const CallerRequest& request : caller.requests) {
      if (request.id == aId) {
        return &caller;
      }
    }
  }
  return nullptr;
}

/** @return true if more than a reserve is left until the deadline of a request
 */
bool
Scenario::isInTime(const std::string& aId, base::Duration aReserve) const
{
  const auto& requests = callerOf(aId)->requests;
  const auto found = std::find_if(
    requests.begin(), requests.end(), [&](const CallerRequest& aRequest) {
      return aRequest.id == aId;
    });
  return mWorld.now() + aReserve < found->begunAt + kDeadline;
}

/** @return true for a whole answer that is to reach its caller */
bool
Scenario::isSound(const Arrival& aArrival) const
{
  return aArrival.complete() && (aArrival.kind == AnswerKind::Whole ||
                                 aArrival.kind == AnswerKind::Unframed);
}

/** Lets time pass, also for callers that pause. */
void
Scenario::advance(base::Duration aTime)
{
  mWorld.advance(aTime);
  for (Caller& caller : mCallers) {
    const bool paused = connectionOf(caller).peerPaused;
    caller.paused = paused ? caller.paused + aTime : base::Duration::zero();
    caller.pausedTooLong = caller.pausedTooLong ||
                           caller.paused >= mCatalog.callerLimits.idleTimeout;
  }
}

/** Lets time pass while the loop runs. */
void
Scenario::passTime(base::Duration aTime)
{
  const base::TimePoint end = mWorld.now() + aTime;
  mWorld.runAllReady();
  noteState();
  while (!mWorld.exited() && mWorld.now() < end) {
    const base::Duration left = end - mWorld.now();
    advance(std::min(mWorld.untilNextTimer().value_or(left), left));
    mWorld.runAllReady();
    noteState();
  }
}

void
Scenario::settle()
{
  for (const Caller& caller : mCallers) {
    mWorld.resume(connectionOf(caller));
  }
  noteDueAnswers();
  mWorld.runAllReady();
  noteState();
  base::Duration passed{};
  while (!mWorld.exited() && passed < kSettleTime) {
    const auto next = mWorld.untilNextTimer();
    if (!next) {
      break;
    }
    passed += *next;
    mWorld.advance(*next);
    mWorld.runAllReady();
    noteState();
  }
}

/** Notes what the peers have received and what the process has read. */
void
Scenario::noteState()
{
  readArrivals();
  noteReadAnswers();
  noteActivity();
}

void
Scenario::readArrivals()
{
  for (const auto& connection : mWorld.connections()) {
    if (connection->accepted) {
      continue;
    }
    Upstream& upstream = mUpstreams[connection->id];
    while (upstream.parsed < connection->received.size()) {
      const std::string rest = connection->received.substr(upstream.parsed);
      const std::size_t head = rest.find(kEndOfHead);
      if (head == std::string::npos || rest.size() < head + 4 + kBodySize) {
        break;
      }
      upstream.parsed += head + 4 + kBodySize;
      Arrival arrival;
      arrival.id = headerOf(rest.substr(0, head), "X-Request-Id");
      arrival.number = ++mArrivals;
      arrival.at = mWorld.now();
      upstream.arrivals.push_back(std::move(arrival));
    }
  }
}

void
Scenario::noteReadAnswers()
{
  for (auto& [id, upstream] : mUpstreams) {
    if (upstream.arrivals.empty()) {
      continue;
    }
    const Connection& connection = *mWorld.connections()[id];
    Arrival& arrival = upstream.arrivals.back();
    const bool endSeen =
      !endsWithConnection(arrival.kind) || connection.endReported;
    arrival.answerRead = arrival.answerRead ||
                         (arrival.complete() && connection.read >= arrival.end);
    arrival.read = arrival.read || (isSound(arrival) && endSeen &&
                                    connection.read >= arrival.end);
  }
}

void
Scenario::noteActivity()
{
  for (Caller& caller : mCallers) {
    const Connection& connection = connectionOf(caller);
    if (connection.received.size() != caller.seen) {
      caller.seen = connection.received.size();
      caller.answers = parseAnswers(connection.received);
      // The refusal at the end of the idle time is no use of the connection.
      if (caller.answers.size() <= caller.requests.size()) {
        caller.activeAt = mWorld.now();
      }
    }
    if ((connection.closed || connection.finSent) && !caller.closeSeen) {
      caller.closeSeen = true;
      caller.closedEarly =
        mWorld.now() > mChangedAt &&
        mWorld.now() - caller.activeAt < mCatalog.callerLimits.idleTimeout;
    }
  }
}

/** Notes the answers that have arrived in time for callers that read. */
void
Scenario::noteDueAnswers()
{
  const base::TimePoint until = mWorld.now() + kTimeToPassOn;
  const auto& end = mSite->context.endRequestsAt;
  if (mWorld.exited() || (end && until > *end)) {
    return;
  }
  for (const auto& [id, upstream] : mUpstreams) {
    const Connection& connection = *mWorld.connections()[id];
    const Arrival* arrival = lastArrival(id);
    const bool arrived = arrival != nullptr && isSound(*arrival) &&
                         arrival == lastArrivalOf(arrival->id) &&
                         !connection.closed && !connection.peerReset;
    if (!arrived) {
      continue;
    }
    for (Caller& caller : mCallers) {
      if (connectionOf(caller).closed) {
        continue;
      }
      for (CallerRequest& request : caller.requests) {
        request.due = request.due || (request.id == arrival->id &&
                                      until <= request.begunAt + kDeadline);
      }
    }
  }
}

std::string
Scenario::describe() const
{
  std::ostringstream out;
  for (const auto& connection : World::current().connections()) {
    out << "connection " << connection->id << " "
        << (connection->accepted ? "of a caller"
                                 : "to " + connection->peer.text())
        << ", "
        << base::inMilliseconds(World::current().now().time_since_epoch())
        << " ms: read " << connection->read << ", unread "
        << connection->unread.size() << ", received "
        << connection->received.size() << ", in flight "
        << connection->inFlight.size()
        << (connection->peerPaused ? ", peer pauses" : "")
        << (connection->peerFin ? ", peer closed" : "")
        << (connection->peerReset ? ", peer reset" : "")
        << (connection->finSent ? ", end sent" : "")
        << (connection->resetSent ? ", reset sent" : "")
        << (connection->closed ? ", closed" : "") << "\n"
        << connection->received.substr(0, kShownBytes) << "\n";
  }
  return out.str();
}

std::uint64_t
Scenario::fingerprint() const
{
  std::string text = std::to_string(mWorld.fingerprint());
  const auto add = [&text](auto aNumber) {
    text += " " + std::to_string(aNumber);
  };
  for (const Caller& caller : mCallers) {
    add(caller.requests.size());
    add(caller.requests.empty() ? 0 : caller.requests.back().sent);
    add(caller.leftAt.has_value());
    for (const Answer& answer : caller.answers) {
      add(answer.status);
    }
  }
  for (const auto& [connection, upstream] : mUpstreams) {
    for (const Arrival& arrival : upstream.arrivals) {
      text += arrival.id;
      add(arrival.answered);
      add(static_cast<int>(arrival.kind));
    }
    add(upstream.ended);
  }
  add(mRequests);
  add(mCatalog.version);
  add(mCatalog.callerLimits.idleTimeout.count());
  add(mCatalog.teams->size());
  add(mCatalog.routes->size());
  add(mWaits);
  add(mSeconds);
  add(mLate);
  add(mHeldUp);
  add(mLarge);
  add(mDisturbances);
  add(mDraining);
  add(mSite->requests.openRequests());
  add(mSite->requests.connections());
  add(mSite->context.openRequests.size());
  return base::hash64(text);
}

} // namespace marigold::explore
