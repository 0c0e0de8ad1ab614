/** @file Callers, a gateway's request path and upstreams in a scripted world.
 */
#pragma once

#include "messages.h"
#include "script.h"
#include "site.h"
#include "world.h"

#include <map>

namespace marigold::explore {

/**
 * The request path of one gateway process (CallerServer, Exchange,
 * ConnectionPool and what they share), callers and upstreams. Nothing happens
 * unless an action says so.
 */
class Scenario
{
public:
  Scenario();
  Scenario(const Scenario&) = delete;
  Scenario& operator=(const Scenario&) = delete;

  /** @return the actions that are possible now */
  std::vector<Action> enabled() const;

  /** @param aAction action @return false if it is not possible now */
  bool apply(const Action& aAction);

  /** Lets the callers read, the upstreams stay silent and all timers run.
   */
  void settle();

  /** @return what is wrong now, empty if nothing */
  std::string violation() const;

  /** @return what is wrong after settle(), empty if nothing */
  std::string violationAtEnd() const;

  /** @return the connections with what their peers have received, for a person
   */
  std::string describe() const;

  /** @return digest of the state, to recognise one that was seen before */
  std::uint64_t fingerprint() const;

private:
  /** A kind of action: when it is possible and what it does. */
  struct Kind;
  static const std::vector<Kind>& kinds();

  struct CallerRequest
  {
    std::string id;
    std::string text;
    std::size_t sent = 0;      ///< bytes of the text
    std::size_t end = 0;       ///< bytes sent on the connection up to its end
    base::TimePoint begunAt{}; ///< when its first byte was sent
    base::TimePoint sentAt{};  ///< when its last byte was sent
    bool due = false;          ///< its answer must be complete at the end
    /** Begun when the process had sent the last bytes of its connection, which
     * the caller didn't know. */
    bool crossesClose = false;
    /** Its caller left while an upstream had it, which had not refused it as
     * far as the process had read. */
    bool openAtLeave = false;
  };
  struct Caller
  {
    std::size_t connection = 0;
    std::vector<CallerRequest> requests;
    std::vector<Answer> answers;
    std::optional<base::TimePoint> leftAt; ///< it closed or reset
    bool halfClosed = false;    ///< it closed, and reads what still comes
    base::Duration paused{};    ///< for which it has not read
    bool pausedTooLong = false; ///< its connection may be closed
    base::TimePoint activeAt{}; ///< when it last sent or received bytes
    std::size_t seen = 0;       ///< bytes that it had received then
    bool hasPaused = false;
    bool closedEarly = false; ///< before the idle timeout in force
    bool closeSeen = false;
  };
  /** A request that an upstream has received whole. */
  struct Arrival
  {
    std::string id;
    std::size_t number = 0; ///< in the order of arrival
    base::TimePoint at{};
    AnswerKind kind = AnswerKind::Whole;
    std::string answer;
    std::size_t answered = 0; ///< bytes of its answer that were sent
    std::size_t end = 0;      ///< bytes sent on the connection up to its end
    bool inTime = false;      ///< the answer was whole before the deadline
    bool read = false;        ///< the process has read all of a sound answer
    bool answerRead = false;  ///< the process has read all of any answer

    bool complete() const { return answered > 0 && answered == answer.size(); }
  };
  struct Upstream
  {
    std::vector<Arrival> arrivals;
    std::size_t parsed = 0; ///< bytes of the connection
    bool ended = false;
  };

  // What happens.
  void run(std::size_t aTarget);
  void poll(std::size_t aTarget);
  void pollBack(std::size_t aTarget);
  void next(std::size_t aTarget);
  void connect(std::size_t aTarget);
  void send(std::size_t aTarget);
  void sendPiece(std::size_t aTarget);
  void askForLarge(std::size_t aTarget);
  void halfClose(std::size_t aTarget);
  void leave(std::size_t aTarget);
  void pause(std::size_t aTarget);
  void sip(std::size_t aTarget);
  void resume(std::size_t aTarget);
  void accept(std::size_t aTarget);
  void refuse(std::size_t aTarget);
  void answerPart(std::size_t aTarget);
  void answerRest(std::size_t aTarget);
  template<AnswerKind kKind>
  void answerWith(std::size_t aTarget);
  void copyAnswer(std::size_t aTarget);
  void breakOff(std::size_t aTarget);
  void endUpstream(std::size_t aTarget);
  void wait(std::size_t aTarget);
  void waitASecond(std::size_t aTarget);
  void beLate(std::size_t aTarget);
  void beHeldUp(std::size_t aTarget);
  void stop(std::size_t aTarget);
  void exit(std::size_t aTarget);
  void shortenIdle(std::size_t aTarget);
  void lengthenIdle(std::size_t aTarget);
  void removeTeam(std::size_t aTarget);
  void changeTeam(std::size_t aTarget);
  void removeRoute(std::size_t aTarget);
  void addRoutes(std::size_t aTarget);

  // When it is possible.
  bool always(std::size_t aTarget) const;
  bool canPoll(std::size_t aTarget) const;
  bool canPollBack(std::size_t aTarget) const;
  bool canRunNext(std::size_t aTarget) const;
  bool canConnect(std::size_t aTarget) const;
  bool canSend(std::size_t aTarget) const;
  bool canBegin(std::size_t aTarget) const;
  bool canAskForLarge(std::size_t aTarget) const;
  bool canDisturb(std::size_t aTarget) const;
  bool canPause(std::size_t aTarget) const;
  bool canSip(std::size_t aTarget) const;
  bool isPaused(std::size_t aTarget) const;
  bool canAccept(std::size_t aTarget) const;
  bool canRefuse(std::size_t aTarget) const;
  bool canAnswer(std::size_t aTarget) const;
  bool canAnswerBadly(std::size_t aTarget) const;
  bool canBreakStream(std::size_t aTarget) const;
  bool isAnswering(std::size_t aTarget) const;
  bool canCopy(std::size_t aTarget) const;
  bool canEnd(std::size_t aTarget) const;
  bool canWait(std::size_t aTarget) const;
  bool canWaitASecond(std::size_t aTarget) const;
  bool canBeLate(std::size_t aTarget) const;
  bool canBeHeldUp(std::size_t aTarget) const;
  bool canStop(std::size_t aTarget) const;
  bool canExit(std::size_t aTarget) const;
  bool canChange(std::size_t aTarget) const;

  // Parts of these.
  Connection& connectionOf(const Caller& aCaller) const;
  const Arrival* lastArrival(std::size_t aConnection) const;
  const Arrival* lastArrivalOf(const std::string& aId) const;
  void advance(base::Duration aTime);
  void passTime(base::Duration aTime);
  void beginRequest(Caller& aCaller, bool aLarge);
  void sendUpTo(Caller& aCaller, std::size_t aEnd);
  void beginAnswer(std::size_t aConnection, AnswerKind aKind);
  void answerUpTo(std::size_t aConnection, std::size_t aEnd);
  void applyChange();
  void noteState();
  void readArrivals();
  void noteReadAnswers();
  void noteActivity();
  void noteDueAnswers();
  bool isPossible(const Kind& aKind, std::size_t aTarget) const;
  bool isSound(const Arrival& aArrival) const;
  bool isInTime(const std::string& aId, base::Duration aReserve) const;
  const Caller* callerOf(const std::string& aId) const;

  // What is asked.
  std::string checkAnswers(const Caller& aCaller) const;
  std::string checkRefusal(const CallerRequest& aRequest,
                           const Answer& aAnswer) const;
  std::string checkBody(const CallerRequest& aRequest,
                        const Answer& aAnswer) const;
  std::string checkIdle(const Caller& aCaller) const;
  std::string checkArrivals() const;
  std::string checkGivenUpCalls() const;
  std::string checkCallsWithoutCaller() const;
  std::string checkInvalidAnswers() const;
  std::string checkAttempts() const;
  bool othersAccept(const base::Address& aTried) const;
  std::string checkKeptConnections() const;
  std::string checkEnd(const Caller& aCaller) const;
  std::string checkHalfClose(const Caller& aCaller) const;
  std::string checkDelivery(const Caller& aCaller) const;
  std::string checkCounters() const;
  std::string checkDuty() const;

  World mWorld;
  std::unique_ptr<Site> mSite;
  std::vector<Caller> mCallers;
  std::map<std::size_t, Upstream> mUpstreams; ///< by connection
  std::size_t mRequests = 0;
  std::size_t mArrivals = 0;
  catalog::Catalog mCatalog;
  std::size_t mChanges = 0;
  base::TimePoint mChangedAt{};
  std::size_t mWaits = 0;
  std::size_t mSeconds = 0;
  std::size_t mLate = 0;
  std::size_t mHeldUp = 0;
  std::size_t mLarge = 0;
  std::size_t mDisturbances = 0;
  bool mDraining = false;
};

} // namespace marigold::explore
