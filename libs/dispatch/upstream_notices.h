/** @file What upstreams say of themselves in their answers. */
#pragma once

#include "catalog/upstream.h"
#include "peers/crash_evidence.h"
#include "peers/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace marigold::dispatch {

/** What has changed with an answer. */
struct NoticeChange
{
  bool limit = false;   ///< the upstream began or ceased to name a limit
  bool leaving = false; ///< it began to say that it leaves
};

/** Whether a request may be sent to an upstream that names a limit. */
enum class Admission : std::uint8_t
{
  Admitted,
  LimitReached,
  AskAgain, ///< after the report delay; the peers' requests are known then
};

/**
 * Keeps what each upstream said last, by run of its process, and how the VMs
 * use the requests that a limited upstream takes. An upstream that leaves stays
 * so until its process ends, whatever becomes of its record. Each VM counts its
 * own requests exactly and knows those of its peers with a delay. It therefore
 * admits requests with a probability at which those that all VMs admit during
 * that delay fit into what is left, also if demand begins at all of them at the
 * same moment. VMs tell each other when an upstream last spoke of its limit,
 * and whether the limit has ended. Only an answer shows that it has. So when
 * nobody has asked the upstream for some time, VMs with a request offer to ask
 * it, hold the request until they know each other's offers, and the first one
 * sends it beyond the limit.
 */
class UpstreamNotices
{
public:
  /** @param aDelay longest time until a request of a peer is known here */
  void setReportDelay(base::Duration aDelay) { mReportDelay = aDelay; }

  /** @return time after which to ask again */
  base::Duration reportDelay() const { return mReportDelay; }

  /** @param aVms VMs of the fleet */
  void setFleetSize(std::size_t aVms) { mVms = aVms; }

  /** Records what an answer says.
   * @param aProcess upstream @param aNotice its statements @param aNow time
   * @return what it changed */
  NoticeChange onAnswer(peers::ProcessTag aProcess,
                        const catalog::UpstreamNotice& aNotice,
                        base::TimePoint aNow);

  /** Records that it has turned away something else than a request, whose
   * answer names no limit. @param aProcess upstream
   * @param aTime time for which it wants nothing @param aNow time */
  void onTurnedAway(peers::ProcessTag aProcess,
                    base::Duration aTime,
                    base::TimePoint aNow);

  /** @param aProcess upstream
   * @return the time from which it wants requests and orders from this VM; the
   * past unless it has turned one away, the end of time if it leaves */
  base::TimePoint acceptsFrom(peers::ProcessTag aProcess) const;

  /** @param aProcess upstream @return requests a second that it takes from all
   * VMs together, if it names a limit */
  std::optional<double> limit(peers::ProcessTag aProcess) const;

  /** Counts a request to a limited upstream if it may be sent.
   * @param aProcess upstream @param aPeers use by the peers
   * @param aChance random number in [0, 1) @param aNow time
   * @param aRepeated whether the request asks again
   * @return whether it may be sent */
  Admission tryAdmit(peers::ProcessTag aProcess,
                     const peers::LimitUse& aPeers,
                     double aChance,
                     base::TimePoint aNow,
                     bool aRepeated);

  /** @param aProcess upstream @param aNow time
   * @return use by this VM, for its peers; zero without a limit */
  peers::LimitUse use(peers::ProcessTag aProcess, base::TimePoint aNow);

  /** @param aNow time @return recent statements on limits, for the peers */
  peers::LimitStatements statements(base::TimePoint aNow) const;

  /** @param aNow time @return known offers to ask, for the peers */
  peers::LimitAsks asks(base::TimePoint aNow) const;

  /** Adds the peers' offers to ask. @param aAsks from a peer
   * @param aNow time */
  void merge(const peers::LimitAsks& aAsks, base::TimePoint aNow);

  /** Adds what peers heard of limits. @param aStatements from a peer
   * @param aNow time @return upstreams whose limit has thereby ended here */
  std::vector<peers::ProcessTag> merge(
    const peers::LimitStatements& aStatements,
    base::TimePoint aNow);

  /** Forgets upstreams that have not answered for long. @param aNow time */
  void expire(base::TimePoint aNow);

private:
  /** An offer of this VM to ask for the limit. */
  struct Offer
  {
    peers::LimitAsk ask;
    base::TimePoint at{};
  };
  struct State
  {
    std::optional<double> requestsPerSecond;
    bool leaving = false;
    base::TimePoint turnsAwayUntil{};
    base::TimePoint heardAt{};
    std::optional<base::TimePoint> limitEndedAt;
    std::deque<base::TimePoint> sends; ///< within the window
    std::deque<base::TimePoint> wants; ///< requests that were to be sent
    std::optional<Offer> offer;        ///< of this VM
  };
  /** A statement on a limit, by any VM. */
  struct Statement
  {
    std::uint64_t number = 0;
    base::TimePoint at{};
    bool ended = false;
  };
  Admission admit(const State& aState,
                  const peers::LimitUse& aPeers,
                  double aPart,
                  double aChance,
                  base::TimePoint aNow,
                  bool aRepeated) const;
  std::optional<Admission> admitInOrder(const State& aState,
                                        const peers::LimitUse& aPeers,
                                        double aReportedWants,
                                        base::TimePoint aNow,
                                        bool aRepeated) const;
  bool offerToAsk(peers::ProcessTag aProcess,
                  State& aState,
                  const peers::LimitUse& aPeers,
                  double aChance,
                  base::TimePoint aNow);
  bool mayAsk(peers::ProcessTag aProcess,
              const State& aState,
              base::TimePoint aNow) const;
  bool isOpen(peers::ProcessTag aProcess,
              const peers::LimitAsk& aAsk,
              base::TimePoint aNow) const;
  static void endLimit(State& aState, base::TimePoint aNow);
  static base::Duration window(const State& aState);
  static void dropExpired(State& aState, base::TimePoint aNow);

  base::Duration mReportDelay{};
  std::size_t mVms = 1;
  std::map<peers::ProcessTag, State> mStates;
  std::map<peers::ProcessTag, Statement> mStatements; ///< the latest known
  peers::LimitAsks mFirstAsks;                        ///< the first known
};

} // namespace marigold::dispatch
