/** @file How many of the latest answers of upstreams have served callers. */
#pragma once

#include "base/base.h"
#include "peers/messages.h"

#include <array>
#include <cstddef>
#include <map>
#include <set>

namespace marigold::dispatch {

/** Whether an answer of an upstream has served its caller: errors of its own,
 * rejections, broken connections and silence have not. */
enum class Service : std::uint8_t
{
  Served,
  Failed
};

/**
 * Counts the answers of upstreams within the last seconds. Whole numbers, so
 * that the sum over many VMs is exact also where each has few requests.
 */
class ServedAnswers
{
public:
  /** @param aProcess process of an upstream @param aService of its answer
   * @param aNow time */
  void onAnswer(peers::ProcessTag aProcess,
                Service aService,
                base::TimePoint aNow);

  /** @param aProcess process of an upstream @param aNow time
   * @return its answers within the last seconds */
  peers::AnswerCounts counts(peers::ProcessTag aProcess,
                             base::TimePoint aNow) const;

  /** Forgets processes without recent answers. @param aNow time */
  void expire(base::TimePoint aNow);

private:
  static constexpr std::size_t kPeriods = 6;

  /** Answers of the latest periods, each at its number modulo kPeriods. */
  struct Window
  {
    std::array<peers::AnswerCounts, kPeriods> counts{};
    base::Duration::rep latest = 0; ///< number of the latest period
  };

  static base::Duration::rep periodAt(base::TimePoint aTime);

  std::map<peers::ProcessTag, Window> mWindows;
};

/** @param aAnswers recent answers of the upstreams of a service to all VMs
 * @return upstreams that serve few of their callers although their siblings
 * serve theirs; none if all fail alike, as in a flood */
std::set<base::UpstreamName>
impairedUpstreams(
  const std::map<base::UpstreamName, peers::AnswerCounts>& aAnswers);

} // namespace marigold::dispatch
