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
  for (const catalog::Route& route : aCatalog.routes) {
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
  Software software = aStream ? mOrigins.find(*aStream) : std::nullopt;
  const base::TimePoint now = base::monotonicNow();
  if (!software && mayEliminate(now)) {
    software = mHistory.only(aService, now);
  }
  if (software || !aStream || !mAsk) {
    aFound(software);
    return;
  }
  Search& search = mSearches[*aStream];
  search.waiting.push_back(std::move(aFound));
  if (search.timeout) {
    return;
  }
  search.timeout =
    mLoop.after(kAnswerTime, [this, stream = *aStream] { readStore(stream); });
  mAskPeers.trigger(kAskDelay);
  if (!mRepeatTimer) {
    mRepeatTimer = mLoop.after(kAskAgain, [this] {
      mRepeatTimer.reset();
      ask(Scope::Fleet);
    });
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

bool
StreamRegistry::mayEliminate(base::TimePoint aNow) const
{
  return mViewIsCurrent && aNow >= mHistoryKnownFrom;
}

void
StreamRegistry::onHistoryUnknown(base::TimePoint aNow)
{
  mHistoryKnownFrom = aNow + mHistory.lifetime();
}

bool
StreamRegistry::mustConfirm(const Upstream& aUpstream,
                            base::TimePoint aNow) const
{
  return mCheck && aNow - aUpstream.softwareConfirmedAt > kConfirmationPeriod;
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
StreamRegistry::update(const UpstreamTable& aUpstreams,
                       bool aViewIsCurrent,
                       base::TimePoint aNow)
{
  mViewIsCurrent = aViewIsCurrent;
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
