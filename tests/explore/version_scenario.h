/** @file Streams that go on while upstreams of two software versions restart
 * under their names. */
#pragma once

#include "messages.h"
#include "script.h"
#include "site.h"
#include "world.h"

#include <map>

namespace marigold::explore {

/**
 * The request path of one gateway process and upstreams of two software
 * versions. An upstream may start again with the other version before its
 * record says so; asked which process it is, it answers, answers late or
 * doesn't. Callers take streams up that have broken off. Nothing happens unless
 * an action says so.
 */
class VersionScenario
{
public:
  VersionScenario();
  VersionScenario(const VersionScenario&) = delete;
  VersionScenario& operator=(const VersionScenario&) = delete;

  /** @return the actions that are possible now */
  std::vector<Action> enabled() const;

  /** @param aAction action @return false if it is not possible now */
  bool apply(const Action& aAction);

  /** Lets the upstreams stay silent and all timers run. */
  void settle();

  /** @return what is wrong now, empty if nothing */
  std::string violation() const;

  /** @return what is wrong after settle(), empty if nothing */
  std::string violationAtEnd() const;

  /** @return streams, questions and connections, for a person */
  std::string describe() const;

  /** @return digest of the state, to recognise one that was seen before */
  std::uint64_t fingerprint() const;

private:
  /** A kind of action: when it is possible and what it does. */
  struct Kind;
  static const std::vector<Kind>& kinds();

  /** An upstream, by the process that runs under its name. */
  struct Server
  {
    catalog::UpstreamRecord process; ///< as its record will say
    bool recorded = true;            ///< its record says so
  };
  /** A request for a stream, or one that takes it up. */
  struct Attempt
  {
    std::string id;
    std::size_t stream = 0;
    std::size_t connection = 0;
    base::TimePoint begunAt{};
    bool left = false; ///< its caller has closed the connection
  };
  /** An event as its caller got it. */
  struct Event
  {
    std::size_t number = 0;
    std::string software; ///< that wrote it
    bool operator==(const Event&) const = default;
  };
  /** A question which process an upstream is. */
  struct Check
  {
    std::size_t server = 0;
    gateway::StreamRegistry::Started done; ///< empty: it was answered
    /** What the process that has read the question answers. */
    std::optional<std::uint64_t> composed;
    http::EventHandle timeout;
  };
  /** A request that an upstream has received whole. */
  struct Arrival
  {
    std::string id;
    std::size_t next = 1; ///< number of its next event
    bool begun = false;
  };
  /** A connection to an upstream. */
  struct Link
  {
    std::string software;          ///< of the process that accepted it
    std::size_t parsed = 0;        ///< bytes
    std::optional<Arrival> latest; ///< request on it without a whole answer
  };

  // What happens.
  void run(std::size_t aTarget);
  void poll(std::size_t aTarget);
  void next(std::size_t aTarget);
  void wait(std::size_t aTarget);
  void waitASecond(std::size_t aTarget);
  void begin(std::size_t aTarget);
  void takeUp(std::size_t aTarget);
  void leave(std::size_t aTarget);
  void accept(std::size_t aTarget);
  void refuse(std::size_t aTarget);
  void sendEvent(std::size_t aTarget);
  void sendRest(std::size_t aTarget);
  void breakOff(std::size_t aTarget);
  void restart(std::size_t aTarget);
  void writeRecord(std::size_t aTarget);
  void readQuestion(std::size_t aTarget);
  void answerCheck(std::size_t aTarget);
  void failCheck(std::size_t aTarget);

  // When it is possible.
  bool always(std::size_t aTarget) const;
  bool canPoll(std::size_t aTarget) const;
  bool canRunNext(std::size_t aTarget) const;
  bool canWait(std::size_t aTarget) const;
  bool canWaitASecond(std::size_t aTarget) const;
  bool canBegin(std::size_t aTarget) const;
  bool canTakeUp(std::size_t aTarget) const;
  bool canLeave(std::size_t aTarget) const;
  bool canAccept(std::size_t aTarget) const;
  bool canRefuse(std::size_t aTarget) const;
  bool canSendEvent(std::size_t aTarget) const;
  bool canBreak(std::size_t aTarget) const;
  bool canRestart(std::size_t aTarget) const;
  bool canWriteRecord(std::size_t aTarget) const;
  bool canReadQuestion(std::size_t aTarget) const;
  bool canAnswerCheck(std::size_t aTarget) const;

  // Parts of these.
  Connection& connectionOf(const Attempt& aAttempt) const;
  bool isOpen(const Attempt& aAttempt) const;
  std::vector<Event> eventsOf(const Attempt& aAttempt) const;
  std::vector<Event> eventsOf(std::size_t aStream) const;
  bool breakIsUnread() const;
  std::size_t serverOf(const Connection& aConnection) const;
  void startAttempt(std::size_t aStream);
  void sendEvents(std::size_t aConnection, std::size_t aCount);
  void check(const gateway::Upstream& aUpstream,
             gateway::StreamRegistry::Started aDone);
  void endCheck(std::size_t aCheck, std::optional<std::uint64_t> aStartedAt);
  void onProbe(const wire::UpstreamKey& aUpstream,
               gateway::ProbeResult aResult);
  void applyRecord(Server& aServer);
  void noteState();
  void readArrivals();
  bool isPossible(const Kind& aKind, std::size_t aTarget) const;
  std::size_t targets(const Kind& aKind) const;

  World mWorld;
  std::unique_ptr<Site> mSite;
  std::vector<Server> mServers;
  std::vector<Attempt> mAttempts;
  std::size_t mStreams = 0;
  std::vector<Check> mChecks;
  std::map<std::size_t, Link> mLinks; ///< by connection
  base::TimePoint mBusyAt{}; ///< when a request last waited for something
  bool mForgotten = false;   ///< one has waited for nothing
  std::size_t mWaits = 0;
  std::size_t mSeconds = 0;
  std::size_t mRestarts = 0;
  std::size_t mDisturbances = 0;
};

} // namespace marigold::explore
