/** @file Which software may continue a stream that a caller takes up. */
#pragma once

#include "apps/gateway/coalesced_callback.h"
#include "apps/gateway/upstream_table.h"
#include "dispatch/dispatch.h"

#include <functional>
#include <map>
#include <set>

namespace marigold::gateway {

/**
 * Knows the software that began the streams of this VM, and finds out about
 * those of others: from peers, or by elimination if a service has had one
 * version only. While a service has several versions, the VM tells some peers
 * of the streams that it begins, so that the end of its process doesn't end
 * them.
 */
class StreamRegistry
{
public:
  using Software = std::optional<peers::SoftwareTag>;
  using Found = std::function<void(Software)>;

  /** @param aLoop event loop */
  explicit StreamRegistry(http::Loop& aLoop);

  /** Sets for how long streams are remembered. @param aCatalog configuration */
  void applyCatalog(const catalog::Catalog& aCatalog);

  /** @param aOrigin a stream that began at this VM @param aNow time */
  void record(const peers::StreamOrigin& aOrigin, base::TimePoint aNow);

  /**
   * Finds the software that began a stream.
   * @param aStream stream, or nothing if its caller names none
   * @param aService service that produces it
   * @param aFound gets the software, or nothing if nobody knows it; called at
   * once or after peers had time to answer
   */
  void find(std::optional<peers::StreamId> aStream,
            const catalog::ServiceName& aService,
            Found aFound);

  /** Adds what peers know of streams. @param aOrigins origins */
  void merge(const std::vector<peers::StreamOrigin>& aOrigins);

  /** @param aStreams streams that a peer asks for
   * @return the origins of those that are known */
  std::vector<peers::StreamOrigin> known(
    const std::vector<peers::StreamId>& aStreams) const;

  /** @param aUpstream upstream that may continue a stream @param aNow time
   * @return true if it has to be asked first whether its process is still the
   * one of its record */
  bool mustConfirm(const Upstream& aUpstream, base::TimePoint aNow) const;

  /** @param aUpstream upstream that sends the first event of a stream
   * @param aNow time
   * @return true if that may come from another process, of other software, than
   * the one of its record */
  bool isUncertain(const Upstream& aUpstream, base::TimePoint aNow) const;

  /** Asks an upstream which process it is.
   * @param aUpstream upstream @param aDone called when it has answered, or
   * hasn't in time */
  void confirm(const std::shared_ptr<Upstream>& aUpstream,
               std::function<void()> aDone);

  /** The process of an upstream may have ended: a connection broke.
   * @param aUpstream upstream @param aNow time */
  void onBrokenConnection(const std::shared_ptr<Upstream>& aUpstream,
                          base::TimePoint aNow);

  /** Observes the software of the upstreams and forgets old streams.
   * @param aUpstreams upstreams @param aNow time */
  void update(const UpstreamTable& aUpstreams, base::TimePoint aNow);

  /** What has served before this process started can't be told, so nothing is
   * eliminated for the lifetime of a stream. @param aNow time */
  void onHistoryUnknown(base::TimePoint aNow);

  /** The store came back from a copy, which may lack records of upstreams that
   * have begun streams. @param aUntil time until these are written again */
  void onStoreRestored(base::TimePoint aUntil);

  /** @return software that has served recently */
  dispatch::SoftwareHistory& history() { return mHistory; }

  /** @return streams of this VM and of peers */
  const dispatch::StreamOrigins& origins() const { return mOrigins; }

  /** @param aSend tells peers of streams that began at this VM */
  void onAnnounce(
    std::function<void(const std::vector<peers::StreamOrigin>&)> aSend)
  {
    mSendOrigins = std::move(aSend);
  }

  /** Which VMs are asked for a stream. */
  enum class Scope : std::uint8_t
  {
    Nearby, ///< those to which the callers of a VM go if it fails
    Fleet,
  };

  /** @param aAsk asks peers for streams; their answers go to merge() */
  void onAsk(
    std::function<void(const std::vector<peers::StreamId>&, Scope)> aAsk)
  {
    mAsk = std::move(aAsk);
  }

  using Started = std::function<void(std::optional<std::uint64_t>)>;

  /** @param aCheck asks an upstream when its process started; its second
   * argument gets the answer, nothing if there is none */
  void onCheck(std::function<void(const Upstream&, Started)> aCheck)
  {
    mCheck = std::move(aCheck);
  }

  /** @param aRead merges what the store knows of streams, then calls its
   * argument */
  void onReadStore(std::function<void(std::function<void()>)> aRead)
  {
    mReadStore = std::move(aRead);
  }

  using Synchronized = std::function<void(bool)>;

  /** @param aSynchronize brings the records of the upstreams up to date with
   * the store; its argument gets false if the store doesn't answer */
  void onSynchronize(std::function<void(Synchronized)> aSynchronize)
  {
    mSynchronize = std::move(aSynchronize);
  }

  /** @param aIsCurrent tells whether the records are as recent as they are at
   * VMs in step @param aNow time */
  void onCheckView(std::function<bool(base::TimePoint)> aIsCurrent)
  {
    mViewIsCurrent = std::move(aIsCurrent);
  }

private:
  /** Requests that wait for an answer on one stream. */
  struct Search
  {
    std::vector<Found> waiting;
    catalog::ServiceName service;
    base::TimePoint peersAnswerBy{};
    http::EventHandle timeout;
    std::set<Scope> asked;
  };
  /** A request that waits until the records are up to date. */
  struct Elimination
  {
    Found found;
    http::EventHandle timeout;
  };
  /** Requests that wait until an upstream has said which process it is. */
  struct Check
  {
    std::vector<std::function<void()>> waiting;
    base::TimePoint startedAt{};
  };
  Software onlySoftware(const catalog::ServiceName& aService) const;
  void eliminate(const catalog::ServiceName& aService, Found aFound);
  void endElimination(std::uint64_t aId, Software aSoftware);
  void onNoAnswerNearby(peers::StreamId aStream);
  void startCheck(const std::shared_ptr<Upstream>& aUpstream);
  void announceSoon();
  void onChecked(const std::shared_ptr<Upstream>& aUpstream,
                 std::optional<std::uint64_t> aStartedAt);
  void announce();
  void ask(Scope aScope);
  void readStore(peers::StreamId aStream);
  void answer(peers::StreamId aStream, Software aSoftware);

  http::Loop& mLoop;
  dispatch::SoftwareHistory mHistory;
  dispatch::StreamOrigins mOrigins;
  std::uint64_t mAnnounced = 0; ///< streams added when peers were last told
  bool mMixed = false;          ///< a service has had several versions recently
  std::map<peers::StreamId, Search> mSearches;
  CoalescedCallback mAnnounceNew;
  CoalescedCallback mAskPeers;
  http::EventHandle mRepeatTimer;
  std::function<void(const std::vector<peers::StreamOrigin>&)> mSendOrigins;
  std::function<void(const std::vector<peers::StreamId>&, Scope)> mAsk;
  std::function<void(std::function<void()>)> mReadStore;
  std::function<void(const Upstream&, Started)> mCheck;
  std::map<std::shared_ptr<Upstream>, Check> mChecks;
  std::function<void(Synchronized)> mSynchronize;
  std::function<bool(base::TimePoint)> mViewIsCurrent;
  std::map<std::uint64_t, Elimination> mEliminations;
  std::uint64_t mNextElimination = 0;
  base::TimePoint mHistoryKnownFrom{};
};

} // namespace marigold::gateway
