/** @file Requests of one model that wait for an upstream. */
#pragma once

#include "base/base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigold::request {

/** What one level of priority is worth. With strict priorities a busy team
 * would keep less urgent ones waiting until their deadlines have passed. */
inline constexpr base::Duration kPriorityStep = std::chrono::seconds(2);

/** Part of the mean time of requests below which one hardly ever ends. A
 * request that has less time left is shed: work on it would be wasted. */
inline constexpr double kLeastTimeShare = 0.9;

/** A request that waits. */
struct Waiting
{
  std::string id;
  base::TeamName team;
  int priority = 1; ///< 0 is most urgent
  double cost = 0;  ///< tokens
  base::TimePoint deadline;
  base::Duration leastTime = {}; ///< shortest time in which it could be served
};

/** Outcome of an offer to the queue. */
struct Offered
{
  base::Code code = base::Code::Ok; ///< Ok, Overloaded, DeadlineUnreachable
  std::optional<Waiting> displaced; ///< gave its place to the new request
};

/**
 * Bounded queue of one model. Teams within their rate are served before teams
 * above it; then the earliest deadline counts, to which each level of priority
 * adds 2 s. When the queue is full, a request of a team above its rate gives
 * its place up first.
 */
class ModelQueue
{
public:
  /** @param aCapacity requests that may wait */
  explicit ModelQueue(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /** @param aTeam team @param aRate tokens per second that it may use here */
  void setRate(const base::TeamName& aTeam, double aRate);

  /** @param aWaiting request @param aNow current time */
  Offered offer(const Waiting& aWaiting, base::TimePoint aNow);

  /** Removes requests that can no longer meet their deadline.
   * @param aNow current time @return what was removed */
  std::vector<Waiting> shed(base::TimePoint aNow);

  /** @param aNow current time @return the request to serve next; it is removed
   * and counts against the rate of its team */
  std::optional<Waiting> take(base::TimePoint aNow);

  /** @param aId request that no longer waits */
  void remove(const std::string& aId);

  /** @return requests that wait */
  std::size_t size() const { return mWaiting.size(); }

  /** @return earliest deadline of those that wait */
  std::optional<base::TimePoint> earliestDeadline() const;

private:
  /** Tokens that a team may still use before it is above its rate. */
  struct Credit
  {
    double rate = 0;
    double tokens = 0;
    base::TimePoint filledAt;
  };

  bool aboveRate(const base::TeamName& aTeam, base::TimePoint aNow);
  bool before(const Waiting& aLeft,
              const Waiting& aRight,
              base::TimePoint aNow);

  std::size_t mCapacity;
  std::vector<Waiting> mWaiting;
  std::map<base::TeamName, Credit> mCredits;
};

} // namespace marigold::request
