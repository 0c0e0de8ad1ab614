#include "scenario.h"

#include <algorithm>

namespace marigold::explore {
namespace {

using namespace std::chrono_literals;
using Step = World::Step;

constexpr std::size_t kMaxCallers = 2;
constexpr std::size_t kMaxRequests = 4;
constexpr std::size_t kMaxLarge = 1;
constexpr std::size_t kMaxChanges = 2;
constexpr std::size_t kMaxWaits = 6;
constexpr std::size_t kMaxSeconds = 4;
constexpr std::size_t kMaxDisturbances = 3;
/** For how long a late loop runs nothing: longer than the timeouts of heads and
 * stalls, shorter than a route's timeout. */
constexpr base::Duration kLateness = 4s;
/** A longer one in a planned stop would outlast the stop itself. */
constexpr base::Duration kLatenessInStop = 300ms;
constexpr std::size_t kMaxLate = 1;
/** For how long decoding a large configuration holds up a VM with an eighth of
 * a core. */
constexpr base::Duration kHeldUp = 600ms;
constexpr std::size_t kMaxHeldUp = 1;
constexpr std::size_t kFirstPiece = 20;
constexpr std::size_t kNewRoutes = 200;
constexpr double kNewRate = 50;

} // namespace

struct Scenario::Kind
{
  const char* name;
  char target; ///< 'c' a caller, 'u' a connection to an upstream, '-' none
  bool (Scenario::*possible)(std::size_t) const;
  void (Scenario::*act)(std::size_t);
};

const std::vector<Scenario::Kind>&
Scenario::kinds()
{
  using S = Scenario;
  using A = AnswerKind;
  static const std::vector<Kind> kKinds{
    { "run", '-', &S::always, &S::run },
    { "poll", '-', &S::canPoll, &S::poll },
    { "poll-back", '-', &S::canPollBack, &S::pollBack },
    { "next", '-', &S::canRunNext, &S::next },
    { "connect", '-', &S::canConnect, &S::connect },
    { "send", 'c', &S::canSend, &S::send },
    { "piece", 'c', &S::canSend, &S::sendPiece },
    { "large", 'c', &S::canAskForLarge, &S::askForLarge },
    { "accept", 'u', &S::canAccept, &S::accept },
    { "answer", 'u', &S::canAnswer, &S::answerWith<A::Whole> },
    { "part", 'u', &S::canAnswer, &S::answerPart },
    { "rest", 'u', &S::isAnswering, &S::answerRest },
    { "wait", '-', &S::canWait, &S::wait },
    { "second", '-', &S::canWaitASecond, &S::waitASecond },
    { "late", '-', &S::canBeLate, &S::beLate },
    { "halfclose", 'c', &S::canDisturb, &S::halfClose },
    { "leave", 'c', &S::canDisturb, &S::leave },
    { "pause", 'c', &S::canPause, &S::pause },
    { "sip", 'c', &S::canSip, &S::sip },
    { "resume", 'c', &S::isPaused, &S::resume },
    { "refuse", 'u', &S::canRefuse, &S::refuse },
    { "busy", 'u', &S::canAnswerBadly, &S::answerWith<A::Busy> },
    { "fail", 'u', &S::canAnswerBadly, &S::answerWith<A::Failed> },
    { "unsigned", 'u', &S::canAnswerBadly, &S::answerWith<A::Unsigned> },
    { "invalid", 'u', &S::canAnswerBadly, &S::answerWith<A::Invalid> },
    { "unframed", 'u', &S::canAnswerBadly, &S::answerWith<A::Unframed> },
    { "short", 'u', &S::canBreakStream, &S::answerWith<A::Short> },
    { "cut", 'u', &S::canBreakStream, &S::answerWith<A::Cut> },
    { "copy", 'u', &S::canCopy, &S::copyAnswer },
    { "break", 'u', &S::canEnd, &S::breakOff },
    { "end", 'u', &S::canEnd, &S::endUpstream },
    { "shorter-idle", '-', &S::canChange, &S::shortenIdle },
    { "longer-idle", '-', &S::canChange, &S::lengthenIdle },
    { "team-gone", '-', &S::canChange, &S::removeTeam },
    { "team-changes", '-', &S::canChange, &S::changeTeam },
    { "route-gone", '-', &S::canChange, &S::removeRoute },
    { "more-routes", '-', &S::canChange, &S::addRoutes },
    { "held-up", '-', &S::canBeHeldUp, &S::beHeldUp },
    { "stop", '-', &S::canStop, &S::stop },
    { "exit", '-', &S::canExit, &S::exit }
  };
  return kKinds;
}

bool
Scenario::isPossible(const Kind& aKind, std::size_t aTarget) const
{
  const World& world = World::current();
  const bool runs = aKind.possible == &Scenario::canPoll ||
                    aKind.possible == &Scenario::canPollBack ||
                    aKind.possible == &Scenario::canRunNext;
  if (world.exited() && !runs) {
    return false;
  }
  if (aKind.target == 'c' && aTarget >= mCallers.size()) {
    return false;
  }
  if (aKind.target == 'u') {
    const auto& connections = World::current().connections();
    if (aTarget >= connections.size() || connections[aTarget]->accepted ||
        !connections[aTarget]->open()) {
      return false;
    }
  }
  return (this->*aKind.possible)(aTarget);
}

std::vector<Action>
Scenario::enabled() const
{
  std::vector<Action> actions;
  for (const Kind& kind : kinds()) {
    const std::size_t targets = kind.target == '-' ? 1
                                : kind.target == 'c'
                                  ? mCallers.size()
                                  : World::current().connections().size();
    for (std::size_t target = 0; target < targets; ++target) {
      if (isPossible(kind, target)) {
        actions.push_back({ kind.name, target });
      }
    }
  }
  return actions;
}

bool
Scenario::apply(const Action& aAction)
{
  const auto kind =
    std::find_if(kinds().begin(), kinds().end(), [&](const Kind& aKind) {
      return aAction.name == aKind.name;
    });
  if (kind == kinds().end() || !isPossible(*kind, aAction.target)) {
    return false;
  }
  (this->*kind->act)(aAction.target);
  noteState();
  return true;
}

bool
Scenario::always(std::size_t /*aTarget*/) const
{
  return true;
}

// The event loop and time.

bool
Scenario::canPoll(std::size_t /*aTarget*/) const
{
  return mWorld.ready(Step::Poll);
}

bool
Scenario::canPollBack(std::size_t /*aTarget*/) const
{
  return mWorld.ready(Step::PollBack);
}

bool
Scenario::canRunNext(std::size_t /*aTarget*/) const
{
  return mWorld.ready(Step::Next);
}

void
Scenario::run(std::size_t /*aTarget*/)
{
  mWorld.runAllReady();
}

void
Scenario::poll(std::size_t /*aTarget*/)
{
  mWorld.run(Step::Poll);
}

void
Scenario::pollBack(std::size_t /*aTarget*/)
{
  mWorld.run(Step::PollBack);
}

void
Scenario::next(std::size_t /*aTarget*/)
{
  mWorld.run(Step::Next);
}

/** Time passes while the loop has nothing to do. */
bool
Scenario::canWait(std::size_t /*aTarget*/) const
{
  return mWaits < kMaxWaits && mWorld.untilNextTimer() &&
         !mWorld.ready(Step::Next) && !mWorld.ready(Step::Poll);
}

void
Scenario::wait(std::size_t /*aTarget*/)
{
  ++mWaits;
  advance(*mWorld.untilNextTimer());
}

bool
Scenario::canWaitASecond(std::size_t /*aTarget*/) const
{
  return mSeconds < kMaxSeconds && !mWorld.ready(Step::Next) &&
         !mWorld.ready(Step::Poll);
}

void
Scenario::waitASecond(std::size_t /*aTarget*/)
{
  ++mSeconds;
  passTime(1s);
}

bool
Scenario::canBeLate(std::size_t /*aTarget*/) const
{
  return mLate < kMaxLate;
}

void
Scenario::beLate(std::size_t /*aTarget*/)
{
  ++mLate;
  advance(mDraining ? kLatenessInStop : kLateness);
}

// Callers.

bool
Scenario::canConnect(std::size_t /*aTarget*/) const
{
  return mCallers.size() < kMaxCallers;
}

void
Scenario::connect(std::size_t /*aTarget*/)
{
  if (const auto connection = mWorld.connectCaller()) {
    Caller caller;
    caller.connection = *connection;
    caller.activeAt = mWorld.now();
    mCallers.push_back(std::move(caller));
  }
}

void
Scenario::beginRequest(Caller& aCaller, bool aLarge)
{
  constexpr auto kCount = static_cast<std::size_t>(RequestKind::Count);
  CallerRequest request;
  request.begunAt = mWorld.now();
  // What comes behind the answers to all requests is the last refusal.
  const Connection& connection = connectionOf(aCaller);
  const auto answers = parseAnswers(connection.received);
  const std::size_t asked = aCaller.requests.size();
  const bool answered =
    answers.size() == asked && (answers.empty() || answers.back().complete);
  request.crossesClose =
    connection.finSent || answers.size() > asked ||
    (answered && connection.written > connection.received.size());
  request.id =
    makeId(static_cast<RequestKind>(mRequests % kCount), mRequests, aLarge);
  request.text = requestText(request.id);
  const std::size_t before =
    aCaller.requests.empty() ? 0 : aCaller.requests.back().end;
  request.end = before + request.text.size();
  aCaller.requests.push_back(std::move(request));
  ++mRequests;
}

void
Scenario::sendUpTo(Caller& aCaller, std::size_t aEnd)
{
  CallerRequest& request = aCaller.requests.back();
  connectionOf(aCaller).arrive(
    request.text.substr(request.sent, aEnd - request.sent));
  request.sent = aEnd;
  request.sentAt = mWorld.now();
  aCaller.activeAt = mWorld.now();
}

/** @return true if a caller may begin a request; one may cross the close on its
 * way */
bool
Scenario::canBegin(std::size_t aTarget) const
{
  const Caller& caller = mCallers[aTarget];
  const Connection& connection = connectionOf(caller);
  const bool underWay =
    !caller.requests.empty() &&
    caller.requests.back().sent < caller.requests.back().text.size();
  return !caller.leftAt && connection.open() && !underWay &&
         mRequests < kMaxRequests &&
         (!connection.finSent || connection.finAt == mWorld.now());
}

bool
Scenario::canSend(std::size_t aTarget) const
{
  const Caller& caller = mCallers[aTarget];
  const Connection& connection = connectionOf(caller);
  const bool underWay =
    !caller.requests.empty() &&
    caller.requests.back().sent < caller.requests.back().text.size();
  const bool mayGoOn =
    underWay && !caller.leftAt && connection.open() &&
    (!connection.finSent || connection.finAt == mWorld.now());
  return mayGoOn || canBegin(aTarget);
}

bool
Scenario::canAskForLarge(std::size_t aTarget) const
{
  return mLarge < kMaxLarge && canBegin(aTarget);
}

void
Scenario::send(std::size_t aTarget)
{
  Caller& caller = mCallers[aTarget];
  if (canBegin(aTarget)) {
    beginRequest(caller, false);
  }
  sendUpTo(caller, caller.requests.back().text.size());
}

void
Scenario::sendPiece(std::size_t aTarget)
{
  Caller& caller = mCallers[aTarget];
  if (canBegin(aTarget)) {
    beginRequest(caller, false);
  }
  const CallerRequest& request = caller.requests.back();
  const std::size_t head = request.text.find(kEndOfHead) + 4;
  std::size_t end = request.text.size();
  if (request.sent < head) {
    end = request.sent < kFirstPiece ? kFirstPiece : head;
  }
  sendUpTo(caller, end);
}

void
Scenario::askForLarge(std::size_t aTarget)
{
  ++mLarge;
  Caller& caller = mCallers[aTarget];
  beginRequest(caller, true);
  sendUpTo(caller, caller.requests.back().text.size());
}

bool
Scenario::canDisturb(std::size_t aTarget) const
{
  const Caller& caller = mCallers[aTarget];
  return !caller.leftAt && connectionOf(caller).open() &&
         mDisturbances < kMaxDisturbances;
}

void
Scenario::halfClose(std::size_t aTarget)
{
  ++mDisturbances;
  mCallers[aTarget].leftAt = mWorld.now();
  mCallers[aTarget].halfClosed = true;
  for (CallerRequest& request : mCallers[aTarget].requests) {
    const Arrival* arrival = lastArrivalOf(request.id);
    request.openAtLeave = arrival != nullptr && !arrival->answerRead;
  }
  connectionOf(mCallers[aTarget]).peerFin = true;
}

void
Scenario::leave(std::size_t aTarget)
{
  ++mDisturbances;
  mCallers[aTarget].leftAt = mWorld.now();
  connectionOf(mCallers[aTarget]).peerReset = true;
}

bool
Scenario::canPause(std::size_t aTarget) const
{
  return !isPaused(aTarget) && canDisturb(aTarget);
}

void
Scenario::pause(std::size_t aTarget)
{
  ++mDisturbances;
  mCallers[aTarget].hasPaused = true;
  connectionOf(mCallers[aTarget]).peerPaused = true;
}

bool
Scenario::isPaused(std::size_t aTarget) const
{
  return connectionOf(mCallers[aTarget]).peerPaused;
}

bool
Scenario::canSip(std::size_t aTarget) const
{
  return isPaused(aTarget) && !connectionOf(mCallers[aTarget]).inFlight.empty();
}

void
Scenario::sip(std::size_t aTarget)
{
  mCallers[aTarget].paused = base::Duration::zero();
  mWorld.sip(connectionOf(mCallers[aTarget]));
}

void
Scenario::resume(std::size_t aTarget)
{
  mWorld.resume(connectionOf(mCallers[aTarget]));
}

// Upstreams.

bool
Scenario::canAccept(std::size_t aTarget) const
{
  const Connection& connection = *World::current().connections()[aTarget];
  return !connection.connected && !connection.closed;
}

void
Scenario::accept(std::size_t aTarget)
{
  mWorld.establish(*mWorld.connections()[aTarget]);
}

bool
Scenario::canRefuse(std::size_t aTarget) const
{
  return canAccept(aTarget) && mDisturbances < kMaxDisturbances;
}

void
Scenario::refuse(std::size_t aTarget)
{
  ++mDisturbances;
  mWorld.refuse(*mWorld.connections()[aTarget]);
}

/** @return true if the upstream has a request without an answer */
bool
Scenario::canAnswer(std::size_t aTarget) const
{
  const Arrival* arrival = lastArrival(aTarget);
  return arrival != nullptr && !mUpstreams.at(aTarget).ended &&
         arrival->answer.empty();
}

bool
Scenario::canAnswerBadly(std::size_t aTarget) const
{
  return mDisturbances < kMaxDisturbances && canAnswer(aTarget);
}

bool
Scenario::canBreakStream(std::size_t aTarget) const
{
  return canAnswerBadly(aTarget) && isStream(lastArrival(aTarget)->id);
}

bool
Scenario::isAnswering(std::size_t aTarget) const
{
  const Arrival* arrival = lastArrival(aTarget);
  return arrival != nullptr && !mUpstreams.at(aTarget).ended &&
         arrival->answered > 0 && !arrival->complete();
}

void
Scenario::beginAnswer(std::size_t aConnection, AnswerKind aKind)
{
  Arrival& arrival = mUpstreams[aConnection].arrivals.back();
  arrival.kind = aKind;
  arrival.answer = answerText(arrival.id, aKind);
  mDisturbances += aKind == AnswerKind::Whole ? 0 : 1;
}

void
Scenario::answerUpTo(std::size_t aConnection, std::size_t aEnd)
{
  Connection& connection = *mWorld.connections()[aConnection];
  Upstream& upstream = mUpstreams[aConnection];
  Arrival& arrival = upstream.arrivals.back();
  connection.arrive(
    arrival.answer.substr(arrival.answered, aEnd - arrival.answered));
  arrival.answered = aEnd;
  if (!arrival.complete()) {
    return;
  }
  arrival.end = connection.read + connection.unread.size();
  arrival.inTime = isInTime(arrival.id, base::Duration::zero());
  if (endsWithConnection(arrival.kind)) {
    connection.peerFin = true;
    upstream.ended = true;
  }
}

template<AnswerKind kKind>
void
Scenario::answerWith(std::size_t aTarget)
{
  beginAnswer(aTarget, kKind);
  answerUpTo(aTarget, lastArrival(aTarget)->answer.size());
}

void
Scenario::answerPart(std::size_t aTarget)
{
  beginAnswer(aTarget, AnswerKind::Whole);
  answerUpTo(aTarget, halfOf(lastArrival(aTarget)->answer));
}

void
Scenario::answerRest(std::size_t aTarget)
{
  answerUpTo(aTarget, lastArrival(aTarget)->answer.size());
}

bool
Scenario::canCopy(std::size_t aTarget) const
{
  return mDisturbances < kMaxDisturbances && lastArrival(aTarget) != nullptr &&
         mUpstreams.at(aTarget).arrivals.front().complete() &&
         !isAnswering(aTarget);
}

/** The answer to the first request comes once more. */
void
Scenario::copyAnswer(std::size_t aTarget)
{
  ++mDisturbances;
  mWorld.connections()[aTarget]->arrive(
    mUpstreams[aTarget].arrivals.front().answer);
}

bool
Scenario::canEnd(std::size_t aTarget) const
{
  return mDisturbances < kMaxDisturbances &&
         World::current().connections()[aTarget]->connected;
}

void
Scenario::breakOff(std::size_t aTarget)
{
  ++mDisturbances;
  mWorld.connections()[aTarget]->peerReset = true;
  mUpstreams[aTarget].ended = true;
}

void
Scenario::endUpstream(std::size_t aTarget)
{
  ++mDisturbances;
  mWorld.connections()[aTarget]->peerFin = true;
  mUpstreams[aTarget].ended = true;
}

// The configuration and a planned stop.

bool
Scenario::canChange(std::size_t /*aTarget*/) const
{
  return mChanges < kMaxChanges;
}

void
Scenario::applyChange()
{
  ++mChanges;
  mChangedAt = mWorld.now();
  ++mCatalog.version;
  mSite->apply(mCatalog);
}

/** Callers that pause keep what is left of the old time, at most the new one.
 */
void
Scenario::shortenIdle(std::size_t /*aTarget*/)
{
  const base::Duration shortening =
    mCatalog.callerLimits.idleTimeout - kShortIdle;
  for (Caller& caller : mCallers) {
    caller.paused =
      std::max(caller.paused - shortening, base::Duration::zero());
  }
  mCatalog.callerLimits.idleTimeout = kShortIdle;
  applyChange();
}

void
Scenario::lengthenIdle(std::size_t /*aTarget*/)
{
  mCatalog.callerLimits.idleTimeout = kLongIdle;
  applyChange();
}

void
Scenario::removeTeam(std::size_t /*aTarget*/)
{
  mCatalog.teams = std::make_shared<catalog::Teams>();
  applyChange();
}

void
Scenario::changeTeam(std::size_t /*aTarget*/)
{
  catalog::Teams teams = *mCatalog.teams;
  for (catalog::Team& team : teams) {
    team.rate = kNewRate;
    team.burst = kNewRate;
  }
  teams.push_back(makeTeam("other" + std::to_string(mChanges)));
  mCatalog.teams = std::make_shared<catalog::Teams>(std::move(teams));
  applyChange();
}

void
Scenario::removeRoute(std::size_t /*aTarget*/)
{
  catalog::Routes routes = *mCatalog.routes;
  if (!routes.empty()) {
    routes.erase(routes.begin());
  }
  mCatalog.routes = std::make_shared<catalog::Routes>(std::move(routes));
  applyChange();
}

void
Scenario::addRoutes(std::size_t /*aTarget*/)
{
  catalog::Routes routes = *mCatalog.routes;
  for (std::size_t number = 0; number < kNewRoutes; ++number) {
    const std::string prefix =
      "/new" + std::to_string(mChanges) + "-" + std::to_string(number) + "/";
    routes.push_back(makeRoute(prefix, catalog::RequestKind::Idempotent));
  }
  mCatalog.routes = std::make_shared<catalog::Routes>(std::move(routes));
  applyChange();
}

bool
Scenario::canBeHeldUp(std::size_t aTarget) const
{
  return canChange(aTarget) && mHeldUp < kMaxHeldUp;
}

/** Input, timers and new connections wait while a large configuration is
 * decoded, and are ready in the same pass behind it. */
void
Scenario::beHeldUp(std::size_t aTarget)
{
  ++mHeldUp;
  advance(mDraining ? kLatenessInStop : kHeldUp);
  addRoutes(aTarget);
}

bool
Scenario::canStop(std::size_t /*aTarget*/) const
{
  return !mDraining;
}

/** A planned stop ends early if nothing is left, as in
 * Gateway::continueDrain(). */
bool
Scenario::canExit(std::size_t /*aTarget*/) const
{
  return mSite->requests.drained() && mSite->requests.connections() == 0 &&
         !mWorld.ready(Step::Next);
}

void
Scenario::exit(std::size_t /*aTarget*/)
{
  mSite->loop.stop();
}

void
Scenario::stop(std::size_t /*aTarget*/)
{
  mDraining = true;
  mSite->requests.beginDrain([] {});
}

} // namespace marigold::explore
