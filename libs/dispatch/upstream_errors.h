/** @file Upstreams that answer with more errors, or reject more requests, than
 * their siblings. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace marigold::dispatch {

/** Whether a request may be sent again if an upstream answers with an error. */
enum class Repetition : std::uint8_t
{
  Allowed,
  Forbidden
};

/** Kinds of evidence against an upstream. */
enum class Evidence : std::uint8_t
{
  Error,    ///< a server error that the upstream itself has made
  Rejection ///< it has not run the request although it had room
};

inline constexpr std::size_t kEvidenceKinds = 2;

/** What an upstream has done with a request. */
enum class Answer : std::uint8_t
{
  Served,
  Error,
  Rejection
};

/** What is known of a request that an upstream has not run. */
struct RejectionFacts
{
  bool hasRoom = true;       ///< by its reports and by the requests there
  bool othersWait = false;   ///< it says that requests wait for it
  bool namesTime = false;    ///< it says for how long it wants no requests
  bool brittle = false;      ///< counts its rejections and says so
  bool deadlineNear = false; ///< the request may be rejected for that
  bool byPeer = false;       ///< a peer, not the upstream, may have answered
  bool modelLeaves = false;  ///< the model is not there, or being unloaded
};

/** @param aFacts of a rejection
 * @return true if it speaks against the upstream; one that is full, or says
 * when it takes requests again, is not at fault */
bool
speaksAgainstUpstream(const RejectionFacts& aFacts);

/**
 * Tells errors and rejections that go with an upstream from those that go with
 * the requests or with a load that all bear. The share of each kind that is
 * usual for a service is learnt from the siblings of an upstream; a
 * log-likelihood ratio (CUSUM) for each kind sums up how much its own answers
 * speak for a higher one. An upstream above a threshold is avoided: it gets
 * single trial requests, with pauses that grow to a bound, until these speak
 * for it.
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

  /** Shares of errors or rejections, for operators. */
  struct Shares
  {
    double own = 0;       ///< of the upstream, moving average, 0 to 1
    double usual = 0;     ///< of its siblings, 0 to 1
    bool avoided = false; ///< for this kind
  };

  /**
   * Records an answer.
   * @param aService service of the upstream @param aUpstream that has answered
   * @param aAnswer what it has done @param aNow time
   * @return whether the upstream begins or ceases to be avoided
   */
  Change onAnswer(const catalog::ServiceName& aService,
                  const base::UpstreamName& aUpstream,
                  Answer aAnswer,
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

  /** @return true if the latest errors or rejections of the upstream are
   * probably its own */
  bool doubtful(const catalog::ServiceName& aService,
                const base::UpstreamName& aUpstream,
                base::TimePoint aNow) const;

  /** @return shares of a kind of an upstream and of its siblings */
  Shares shares(const catalog::ServiceName& aService,
                const base::UpstreamName& aUpstream,
                Evidence aKind,
                base::TimePoint aNow) const;

  /** Forgets a name that another process now has. */
  void erase(const base::UpstreamName& aUpstream);

private:
  /** Answers as evidence of one kind. */
  struct Record
  {
    double answers = 0; ///< decaying count
    double bad = 0;     ///< decaying count
    double share = 0;   ///< moving average over the latest answers
    double score = 0;   ///< log-likelihood ratio, at least 0
    unsigned badInARow = 0;
  };
  struct State
  {
    std::array<Record, kEvidenceKinds> records;
    base::TimePoint at{};               ///< of the decaying values
    std::optional<Evidence> avoidedFor; ///< empty if it isn't avoided
    double restoreScore = 0;            ///< below which it is no longer avoided
    unsigned avoidances = 0;            ///< since the scores were last 0
    base::Duration pause{};
    base::TimePoint nextTrial{};
    bool trialServed = false; ///< the latest one

    Record& record(Evidence aKind)
    {
      return records[static_cast<std::size_t>(aKind)];
    }
    const Record& record(Evidence aKind) const
    {
      return records[static_cast<std::size_t>(aKind)];
    }
    bool doubtful(Evidence aKind) const;
    void restore();
  };
  /** The other upstreams of a service, as evidence of one kind. */
  struct Siblings
  {
    double answers = 0;
    double usual = 0;
    std::size_t total = 1;    ///< with the upstream itself
    std::size_t avoided = 0;  ///< for any kind
    std::size_t doubtful = 0; ///< for this kind
  };
  using Service = std::map<base::UpstreamName, State>;

  static void decay(State& aState, base::TimePoint aNow);
  static Siblings siblings(const Service& aService,
                           const base::UpstreamName& aUpstream,
                           Evidence aKind,
                           base::TimePoint aNow);
  static void weigh(State& aState,
                    const Siblings& aSiblings,
                    Evidence aKind,
                    bool aBad);
  static void weighTrial(State& aState, bool aServed, base::TimePoint aNow);
  static void avoid(State& aState, Evidence aKind, base::TimePoint aNow);
  static bool restoreBetterOne(Service& aService,
                               double aShare,
                               base::TimePoint aNow);
  static bool update(Service& aService,
                     const base::UpstreamName& aUpstream,
                     Evidence aKind,
                     bool aBad,
                     base::TimePoint aNow);
  const State* find(const catalog::ServiceName& aService,
                    const base::UpstreamName& aUpstream) const;

  std::map<catalog::ServiceName, Service> mServices;
};

} // namespace marigold::dispatch
