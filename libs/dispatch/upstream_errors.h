/** @file Upstreams that answer with more errors than their siblings. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace marigold::dispatch {

/** Whether a request may be sent again if an upstream answers with an error. */
enum class Repetition : std::uint8_t
{
  Allowed,
  Forbidden
};

/**
 * Tells errors that go with an upstream from those that go with the requests.
 * Errors are answers with a server error that the upstream itself has made. The
 * share that is usual for a service is learnt from the siblings of an upstream;
 * a log-likelihood ratio (CUSUM) sums up how much its own answers speak for a
 * higher one. An upstream above a threshold is avoided: it gets single trial
 * requests, with pauses that grow to a bound, until these speak for it.
 */
class UpstreamErrors
{
public:
  /** What an answer has changed for its upstream. */
  enum class Change : std::uint8_t
  {
    None,
    Avoided,
    Restored
  };

  /** Shares of errors, for operators. */
  struct Shares
  {
    double own = 0;   ///< of the upstream, moving average, 0 to 1
    double usual = 0; ///< of its siblings, 0 to 1
    bool avoided = false;
  };

  /**
   * Records an answer.
   * @param aService service of the upstream @param aUpstream that has answered
   * @param aError true if it is an error that the upstream has made
   * @param aNow time
   * @return whether the upstream begins or ceases to be avoided
   */
  Change onAnswer(const catalog::ServiceName& aService,
                  const base::UpstreamName& aUpstream,
                  bool aError,
                  base::TimePoint aNow);

  /** Records that a request is sent, which may be a trial. */
  void onSent(const catalog::ServiceName& aService,
              const base::UpstreamName& aUpstream,
              base::TimePoint aNow);

  /** @param aRepetition of the request that is to be sent; one that may be
   * repeated makes the better trial
   * @return true while the upstream is to get no requests if others are
   * available */
  bool avoided(const catalog::ServiceName& aService,
               const base::UpstreamName& aUpstream,
               Repetition aRepetition,
               base::TimePoint aNow) const;

  /** @return true if the latest errors of the upstream are probably its own,
   * not those of the requests */
  bool doubtful(const catalog::ServiceName& aService,
                const base::UpstreamName& aUpstream,
                base::TimePoint aNow) const;

  /** @return shares of errors of an upstream and of its siblings */
  Shares shares(const catalog::ServiceName& aService,
                const base::UpstreamName& aUpstream,
                base::TimePoint aNow) const;

  /** Forgets a name that another process now has. */
  void erase(const base::UpstreamName& aUpstream);

private:
  struct State
  {
    double answers = 0;      ///< decaying count
    double errors = 0;       ///< decaying count
    double share = 0;        ///< moving average over the latest answers
    double score = 0;        ///< log-likelihood ratio, at least 0
    base::TimePoint at{};    ///< of the decaying values
    double restoreScore = 0; ///< below which it is no longer avoided
    bool avoided = false;
    unsigned avoidances = 0; ///< since the score was last 0
    base::Duration pause{};
    base::TimePoint nextTrial{};
  };
  struct Siblings
  {
    double answers = 0;
    double usual = 0;
    std::size_t total = 1; ///< with the upstream itself
    std::size_t avoided = 0;
    std::size_t doubtful = 0;
  };
  using Service = std::map<base::UpstreamName, State>;

  static void decay(State& aState, base::TimePoint aNow);
  static Siblings siblings(const Service& aService,
                           const base::UpstreamName& aUpstream,
                           base::TimePoint aNow);
  static void avoid(State& aState, base::TimePoint aNow);
  const State* find(const catalog::ServiceName& aService,
                    const base::UpstreamName& aUpstream) const;

  std::map<catalog::ServiceName, Service> mServices;
};

} // namespace marigold::dispatch
