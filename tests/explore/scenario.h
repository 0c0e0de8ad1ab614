/** @file Callers, a gateway's request path and upstreams in a scripted world.
 */
#pragma once

#include "apps/gateway/exchange.h"
#include "world.h"

#include <map>
#include <string>
#include <vector>

namespace marigold::explore {

/** One step of a script: what happens, and to which caller or connection. */
struct Action
{
  std::string name;
  std::size_t target = 0;

  std::string text() const { return name + ":" + std::to_string(target); }
  bool operator==(const Action&) const = default;
};

/** @param aText actions as printed, separated by spaces @return the actions */
std::vector<Action>
parseScript(const std::string& aText);

/** @param aScript actions @return their text */
std::string
formatScript(const std::vector<Action>& aScript);

/**
 * The request path of one gateway process (CallerServer, Exchange,
 * ConnectionPool and what they share), callers and upstreams. Nothing happens
 * unless an action says so.
 */
class Scenario
{
public:
  Scenario();
  ~Scenario();
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
  struct Shared;

  struct CallerRequest
  {
    std::string id;
    std::string text;
    std::size_t sent = 0;      ///< bytes of the text
    std::size_t end = 0;       ///< bytes sent on the connection up to its end
    base::TimePoint begunAt{}; ///< when its first byte was sent
    base::TimePoint sentAt{};  ///< when its last byte was sent
  };
  struct Caller
  {
    std::size_t connection = 0;
    std::vector<CallerRequest> requests;
    bool left = false;          ///< it closed or reset the connection
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
    std::size_t answered = 0; ///< bytes of its answer that were sent
    std::string answer;
    bool refused = false; ///< the answer says that it was not executed
  };
  struct Upstream
  {
    std::vector<Arrival> arrivals;
    std::size_t parsed = 0; ///< bytes of the connection
    bool ended = false;
  };
  struct Answer
  {
    int status = 0;
    std::string id;
    std::string body;
    bool notRun = false;
    bool last = false; ///< it says that the connection will be closed
    bool complete = false;
  };

  void advance(base::Duration aTime);
  void act(const Action& aAction);
  bool isPossible(const Action& aAction) const;
  bool mayAnswer(std::size_t aConnection) const;
  bool isAnswering(std::size_t aConnection) const;
  void beginRequest(Caller& aCaller);
  void sendPiece(Caller& aCaller, bool aAll);
  void readArrivals();
  void noteActivity();
  void answer(std::size_t aConnection, const std::string& aName);
  void applyConfiguration();
  void beginDrain();
  std::vector<Answer> answers(const Caller& aCaller) const;
  std::string checkAnswers(const Caller& aCaller) const;
  std::string checkRefusal(const CallerRequest& aRequest,
                           const Answer& aAnswer) const;
  std::string checkIdle(const Caller& aCaller) const;
  std::string checkArrivals() const;
  std::string checkGivenUpCalls() const;
  std::string checkEnd(const Caller& aCaller) const;

  World mWorld;
  std::unique_ptr<Shared> mShared;
  std::vector<Caller> mCallers;
  std::map<std::size_t, Upstream> mUpstreams; ///< by connection
  std::size_t mRequests = 0;
  catalog::Catalog mCatalog;
  std::size_t mChanges = 0;
  base::TimePoint mChangedAt{};
  std::size_t mWaits = 0;
  std::size_t mLate = 0;
  std::size_t mDisturbances = 0;
  bool mDraining = false;
  std::vector<http::EventHandle> mDrainTimers;
};

} // namespace marigold::explore
