#include "apps/gateway/stream_registry.h"

#include "observe/log.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Streams that begin together are announced in one message. What has not been
 * announced is lost with the process. */
constexpr base::Duration kAnnounceDelay = 40ms;
/** Callers whose streams broke off together ask together. */
constexpr base::Duration kAskDelay = 3ms;
/** Datagrams may be lost, and the caller may come from another data centre, so
 * the question is repeated once, to all VMs. */
constexpr base::Duration kAskAgain = 70ms;
/** A round trip in the data centre, and a peer that is late by some tens of
 * milliseconds. While there is one version, what no peer knows soon is found by
 * a call to the store. */
constexpr base::Duration kNearbyAnswerTime = 40ms;
/** A slow store takes a few hundred milliseconds. */
constexpr base::Duration kSynchronizationTime = 600ms;
/** A round trip between regions, and a peer that is late by some tens of
 * milliseconds. */
constexpr base::Duration kAnswerTime = 180ms;
/** Streams are remembered for this many times the longest timeout of a route,
 * and for a minimum, because callers may wait longer than a route allows. */
constexpr int kTimeouts = 2;
constexpr base::Duration kMinLifetime = 30s;
/** An answer that names the process counts for this long. */
constexpr base::Duration kConfirmationPeriod = 600ms;

} // namespace

StreamRegistry::StreamRegistry(http::Loop& aLoop)
  : mLoop(aLoop)
  , mAnnounceNew(aLoop, [this] { announce(); })
  , mAskPeers(aLoop, [this] { ask(Scope::Nearby); })
{
}

void
StreamRegistry::applyCatalog(const catalog::Catalog& aCatalog)
{
  base::Duration lifetime = kMinLifetime;
  for (const catalog::Route& route : *aCatalog.routes) {
    if (route.resumableStream()) {
      lifetime = std::max(lifetime, kTimeouts * route.timeout);
    }
  }
  mHistory.setLifetime(lifetime);
  mOrigins.setLifetime(lifetime);
}

void
StreamRegistry::record(const peers::StreamOrigin& aOrigin, base::TimePoint aNow)
{
  mOrigins.record(aOrigin, aNow);
  announceSoon();
}

void
StreamRegistry::announceSoon()
{
  if (mSendOrigins && mMixed && mAnnounced != mOrigins.added()) {
    mAnnounceNew.trigger(kAnnounceDelay);
  }
}

void
StreamRegistry::announce()
{
  const auto origins =
    mOrigins.addedSince(mAnnounced, dispatch::StreamOrigins::Whose::Own);
  mAnnounced = mOrigins.added();
  if (!origins.empty()) {
    mSendOrigins(origins);
  }
}

void
StreamRegistry::find(std::optional<peers::StreamId> aStream,
                     const catalog::ServiceName& aService,
                     Found aFound)
{
  const Software known = aStream ? mOrigins.find(*aStream) : std::nullopt;
  if (known) {
    aFound(known);
    return;
  }
  if (!aStream || !mAsk) {
    eliminate(aService, std::move(aFound));
    return;
  }
  Search& search = mSearches[*aStream];
  search.waiting.push_back(std::move(aFound));
  if (search.timeout) {
    return;
  }
  search.service = aService;
  search.peersAnswerBy = base::monotonicNow() + kAnswerTime;
  search.timeout =
    onlySoftware(aService)
      ? mLoop.after(kNearbyAnswerTime,
                    [this, stream = *aStream] { onNoAnswerNearby(stream); })
      : mLoop.after(kAnswerTime,
                    [this, stream = *aStream] { readStore(stream); });
  mAskPeers.trigger(kAskDelay);
  if (!mRepeatTimer) {
    mRepeatTimer = mLoop.after(kAskAgain, [this] {
      mRepeatTimer.reset();
      ask(Scope::Fleet);
    });
  }
}

/** The VM that began the stream may have ended without telling others. */
void
StreamRegistry::onNoAnswerNearby(peers::StreamId aStream)
{
  const catalog::ServiceName service = mSearches.at(aStream).service;
  eliminate(service, [this, aStream, service](Software aSoftware) {
    const auto search = mSearches.find(aStream);
    if (search == mSearches.end()) {
      return; // A peer has answered meanwhile.
    }
    if (aSoftware) {
      answer(aStream, aSoftware);
      return;
    }
    const bool storeAnswers = !onlySoftware(service);
    const base::Duration left =
      search->second.peersAnswerBy - base::monotonicNow();
    search->second.timeout = mLoop.after(
      std::max(left, base::Duration::zero()), [this, aStream, storeAnswers] {
        storeAnswers ? readStore(aStream) : answer(aStream, std::nullopt);
      });
  });
}

/** @return the only software that this VM has seen in a service, if it would
 * have seen others */
StreamRegistry::Software
StreamRegistry::onlySoftware(const catalog::ServiceName& aService) const
{
  const base::TimePoint now = base::monotonicNow();
  return now >= mHistoryKnownFrom ? mHistory.only(aService, now) : std::nullopt;
}

/** The record of the upstream that began a stream was in the store before, so
 * the records that are there now show whether other software may have begun it.
 * The view of this VM may be older than the stream. */
void
StreamRegistry::eliminate(const catalog::ServiceName& aService, Found aFound)
{
  if (!mSynchronize || !onlySoftware(aService)) {
    aFound(std::nullopt);
    return;
  }
  const std::uint64_t id = mNextElimination++;
  Elimination& elimination = mEliminations[id];
  elimination.found = std::move(aFound);
  elimination.timeout = mLoop.after(
    kSynchronizationTime, [this, id] { endElimination(id, std::nullopt); });
  mSynchronize([this, id, aService](bool aSynchronized) {
    endElimination(id, aSynchronized ? onlySoftware(aService) : std::nullopt);
  });
}

void
StreamRegistry::endElimination(std::uint64_t aId, Software aSoftware)
{
  const auto elimination = mEliminations.extract(aId);
  if (!elimination.empty()) {
    elimination.mapped().found(aSoftware);
  }
}

void
StreamRegistry::ask(Scope aScope)
{
  std::vector<peers::StreamId> streams;
  for (auto& [stream, search] : mSearches) {
    if (search.asked.insert(aScope).second) {
      streams.push_back(stream);
    }
  }
  if (!streams.empty()) {
    mAsk(streams, aScope);
  }
}

/** No peer has answered. After a kill of all VMs only the store knows. */
void
StreamRegistry::readStore(peers::StreamId aStream)
{
  if (!mReadStore) {
    answer(aStream, std::nullopt);
    return;
  }
  mReadStore([this, aStream] { answer(aStream, mOrigins.find(aStream)); });
}

void
StreamRegistry::answer(peers::StreamId aStream, Software aSoftware)
{
  const auto search = mSearches.extract(aStream);
  if (search.empty()) {
    return;
  }
  for (const Found& found : search.mapped().waiting) {
    found(aSoftware);
  }
}

void
StreamRegistry::merge(const std::vector<peers::StreamOrigin>& aOrigins)
{
  mOrigins.merge(aOrigins, base::monotonicNow());
  for (const peers::StreamOrigin& origin : aOrigins) {
    answer(origin.stream, mOrigins.find(origin.stream));
  }
}

std::vector<peers::StreamOrigin>
StreamRegistry::known(const std::vector<peers::StreamId>& aStreams) const
{
  std::vector<peers::StreamOrigin> origins;
  for (const peers::StreamId stream : aStreams) {
    if (const auto software = mOrigins.find(stream)) {
      origins.push_back({ stream, *software });
    }
  }
  return origins;
}

void
StreamRegistry::onHistoryUnknown(base::TimePoint aNow)
{
  mHistoryKnownFrom = aNow + mHistory.lifetime();
}

void
StreamRegistry::onStoreRestored(base::TimePoint aUntil)
{
  mHistoryKnownFrom = std::max(mHistoryKnownFrom, aUntil);
}

bool
StreamRegistry::mustConfirm(const Upstream& aUpstream,
                            base::TimePoint aNow) const
{
  return mCheck && aNow - aUpstream.softwareConfirmedAt > kConfirmationPeriod;
}

bool
StreamRegistry::isUncertain(const Upstream& aUpstream,
                            base::TimePoint aNow) const
{
  const bool recordIsOld = mViewIsCurrent && !mViewIsCurrent(aNow);
  return aUpstream.softwareUncertain ||
         (recordIsOld && mustConfirm(aUpstream, aNow));
}

void
StreamRegistry::confirm(const std::shared_ptr<Upstream>& aUpstream,
                        std::function<void()> aDone)
{
  Check& check = mChecks[aUpstream];
  check.waiting.push_back(std::move(aDone));
  if (check.waiting.size() == 1) {
    startCheck(aUpstream);
  }
}

void
StreamRegistry::startCheck(const std::shared_ptr<Upstream>& aUpstream)
{
  mChecks[aUpstream].startedAt = base::monotonicNow();
  mCheck(*aUpstream,
         [this, aUpstream](std::optional<std::uint64_t> aStartedAt) {
           onChecked(aUpstream, aStartedAt);
         });
}

void
StreamRegistry::onChecked(const std::shared_ptr<Upstream>& aUpstream,
                          std::optional<std::uint64_t> aStartedAt)
{
  const base::TimePoint askedAt = mChecks[aUpstream].startedAt;
  if (aStartedAt && aUpstream->softwareDoubtedAt >= askedAt) {
    startCheck(aUpstream); // A process that has ended since may have answered.
    return;
  }
  if (aStartedAt && *aStartedAt == aUpstream->record.startedAt) {
    aUpstream->softwareConfirmedAt = askedAt;
    aUpstream->softwareUncertain = false;
  } else if (aStartedAt) {
    // The record of the process that runs now will tell its software.
    aUpstream->software = peers::kUnknownSoftware;
    observe::logInfo("upstream has restarted, its record is late",
                     { { "upstream", aUpstream->record.name } });
  }
  const auto check = mChecks.extract(aUpstream);
  for (const auto& done : check.mapped().waiting) {
    done();
  }
}

void
StreamRegistry::onBrokenConnection(const std::shared_ptr<Upstream>& aUpstream,
                                   base::TimePoint aNow)
{
  if (!mCheck) {
    return; // Nothing would end the doubt.
  }
  aUpstream->doubtSoftware(aNow);
  confirm(aUpstream, [] {});
}

void
StreamRegistry::update(const UpstreamTable& aUpstreams, base::TimePoint aNow)
{
  for (const auto& [name, upstream] : aUpstreams.all()) {
    if (upstream->software != peers::kUnknownSoftware) {
      mHistory.observe(upstream->record.service, upstream->software, aNow);
    }
  }
  mHistory.expire(aNow);
  mOrigins.expire(aNow);
  mMixed = mHistory.mixed(aNow);
  announceSoon();
}

} // namespace marigold::gateway
