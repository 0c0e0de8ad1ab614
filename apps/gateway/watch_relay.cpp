#include "apps/gateway/watch_relay.h"

#include "peers/peers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** A relay in the same data centre responds within milliseconds. */
constexpr base::Duration kRelayTimeout = 500ms;
/** Maximum time that a reader may wait for a change. */
constexpr base::Duration kMaxWait = 5s;
/** A relay that has not renewed its lease and had no other answer for this
 * long, which is after two missed renewals, may be partitioned from the store.
 */
constexpr base::Duration kMaxRenewalAge = 1500ms;

/** A relay that follows a lead has noticed by then if the lead stopped. */
constexpr base::Duration kLeadDetection = 1800ms;
constexpr base::Duration kMaxLeadAge = 2s;

/** A relay that failed or refused is not used for this long. */
constexpr base::Duration kFailedPeriod = 1s;
/** The same of a lead. Longer, because other leads are as good. */
constexpr base::Duration kLeadFailedPeriod = 3s;
/** A VM that begins to read the store, because its own relay failed, has its
 * data within this time. Its readers wait for that. */
constexpr base::Duration kStaleGrace = 400ms;
/** The readers of a data centre share one call to a failing store in this time.
 */
constexpr base::Duration kStoreDelayPerVm = 150ms;

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

http::Response
snapshotAnswer(const platform::Snapshot& aSnapshot)
{
  http::Response response =
    observe::jsonAnswer(kOk, platform::encodeSnapshot(aSnapshot));
  response.headers.emplace_back(platform::kEraHeader,
                                std::to_string(aSnapshot.era));
  return response;
}

bool
wantsDirect(const http::Request& aRequest)
{
  return !http::queryValue(aRequest.query, platform::kDirectParameter).empty();
}

} // namespace

WatchRelay::WatchRelay(http::Loop& aLoop,
                       const Settings& aSettings,
                       Fleet& aFleet,
                       PeerExchange& aPeerExchange,
                       observe::OperatorServer& aServer)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFleet(aFleet)
  , mPeerExchange(aPeerExchange)
{
  aServer.addHandler(
    "GET",
    "/v1/watch",
    [this](const http::Request& aRequest,
           const std::shared_ptr<http::Responder>& aResponder) {
      serve(aRequest, aResponder);
    });
  aServer.addHandler(
    "GET",
    "/v1/kv",
    [this](const http::Request& aRequest,
           const std::shared_ptr<http::Responder>& aResponder) {
      serveList(aRequest, aResponder);
    });
}

void
WatchRelay::addWatch(PrefixWatch& aWatch)
{
  mWatches[aWatch.prefix()] = &aWatch;
  aWatch.setRelays(
    { [this] { return chooseRelay(); },
      [this](const platform::Client& aRelay) { recordFailure(aRelay); },
      [this] { return storeDelay(); } });
  aWatch.mirrorChanged().connect([this, &aWatch] { onChanged(aWatch); });
}

platform::Client*
WatchRelay::chooseRelay()
{
  const auto readers = mPeerExchange.storeReaders();
  // A deputy in place of a failed relay reads the store, because the lead may
  // have failed with the relay.
  if (!readers.empty() && readers.front() == mSettings.vm) {
    return chooseLead();
  }
  for (const base::VmName& vm : readers) {
    if (vm == mSettings.vm) {
      return nullptr;
    }
    if (isUsable(vm)) {
      return &client(mFleet.others().at(vm));
    }
  }
  return nullptr;
}

/** @return true if a VM is registered and has not failed lately */
bool
WatchRelay::isUsable(const base::VmName& aVm) const
{
  const auto failed = mFailedUntil.find(aVm);
  return mFleet.others().contains(aVm) &&
         (failed == mFailedUntil.end() ||
          base::monotonicNow() >= failed->second);
}

bool
WatchRelay::followsLead() const
{
  return peers::mayFollowLead(
    std::min(mSettings.configLimit, mSettings.drainLimit), kLeadDetection);
}

platform::Client*
WatchRelay::chooseLead()
{
  if (!followsLead()) {
    return nullptr;
  }
  for (const base::VmName& vm : mPeerExchange.leadReaders()) {
    if (!isUsable(vm)) {
      continue;
    }
    auto& client = mLeadClients[vm];
    if (!client) {
      client = std::make_unique<platform::Client>(
        mLoop,
        mFleet.others().at(vm).operatorAddress,
        kRelayTimeout,
        platform::directProtocol());
    }
    return client.get();
  }
  return nullptr;
}

platform::Client&
WatchRelay::client(const Member& aVm)
{
  auto& client = mClients[aVm.vm];
  if (!client) {
    client = std::make_unique<platform::Client>(
      mLoop, aVm.operatorAddress, kRelayTimeout);
  }
  return *client;
}

void
WatchRelay::recordFailure(const platform::Client& aRelay)
{
  const base::TimePoint now = base::monotonicNow();
  for (const auto& [vm, client] : mClients) {
    if (client.get() == &aRelay) {
      mFailedUntil[vm] = now + kFailedPeriod;
    }
  }
  for (const auto& [vm, client] : mLeadClients) {
    if (client.get() == &aRelay) {
      mFailedUntil[vm] = now + kLeadFailedPeriod;
    }
  }
}

bool
WatchRelay::isStoreReader() const
{
  const auto readers = mPeerExchange.storeReaders();
  return std::find(readers.begin(), readers.end(), mSettings.vm) !=
         readers.end();
}

base::Duration
WatchRelay::storeDelay() const
{
  if (isStoreReader()) {
    return {};
  }
  return kStoreDelayPerVm * mPeerExchange.dataCentreSize();
}

bool
WatchRelay::readsStore(const PrefixWatch& aWatch) const
{
  const base::TimePoint answered =
    std::max(aWatch.confirmedAt(), mFleet.renewedAt());
  return aWatch.isReadingStore() &&
         base::monotonicNow() - answered < kMaxRenewalAge;
}

bool
WatchRelay::isFollowingLead(const PrefixWatch& aWatch) const
{
  const bool fromLead = std::any_of(
    mLeadClients.begin(), mLeadClients.end(), [&aWatch](const auto& aItem) {
      return aItem.second.get() == aWatch.latestSource();
    });
  return fromLead && base::monotonicNow() - aWatch.confirmedAt() < kMaxLeadAge;
}

/** @param aDirect whether only the store's own word counts */
bool
WatchRelay::isCurrent(const PrefixWatch& aWatch, bool aDirect) const
{
  return aWatch.mirror().revision() > 0 && aWatch.isOfCurrentEra() &&
         (readsStore(aWatch) || (!aDirect && isFollowingLead(aWatch)));
}

void
WatchRelay::serve(const http::Request& aRequest,
                  const std::shared_ptr<http::Responder>& aResponder)
{
  const auto watch = mWatches.find(http::queryValue(aRequest.query, "prefix"));
  const auto after =
    base::parseNumber(http::queryValue(aRequest.query, "after"));
  const auto era = base::parseNumber(http::queryValue(aRequest.query, "era"));
  const auto wait =
    base::parseNumber(http::queryValue(aRequest.query, "wait_ms"));
  if (watch == mWatches.end() || !after || !wait) {
    aResponder->reply({ kBadRequest, {}, "" });
    return;
  }
  const auto waitLimit =
    std::min<base::Duration>(std::chrono::milliseconds(*wait), kMaxWait);
  admit({ watch->second,
          { *after, era.value_or(0) },
          base::monotonicNow() + kStaleGrace,
          false,
          wantsDirect(aRequest),
          aResponder,
          {} },
        waitLimit);
}

/** Lists all keys, for readers that have just started or have lost the history.
 * A VM that has just started itself, and reads the store, has them soon. */
void
WatchRelay::serveList(const http::Request& aRequest,
                      const std::shared_ptr<http::Responder>& aResponder)
{
  const auto watch = mWatches.find(http::queryValue(aRequest.query, "prefix"));
  if (watch == mWatches.end()) {
    aResponder->reply({ kBadRequest, {}, "" });
    return;
  }
  const base::Duration wait = isStoreReader() ? kStaleGrace : 0ms;
  admit({ watch->second,
          {},
          base::monotonicNow() + wait,
          true,
          wantsDirect(aRequest),
          aResponder,
          {} },
        wait);
}

/** Replies at once or, if the reader has to wait, once there is something.
 * @param aWait longest wait */
void
WatchRelay::admit(Reader aReader, base::Duration aWait)
{
  mReaders.push_back(std::move(aReader));
  const auto reader = std::prev(mReaders.end());
  if (tryReply(*reader, false)) {
    mReaders.erase(reader);
    return;
  }
  reader->timer = mLoop.after(aWait, [this, reader] {
    tryReply(*reader, true);
    mReaders.erase(reader);
  });
}

bool
WatchRelay::tryReply(Reader& aReader, bool aTimedOut)
{
  if (aReader.responder->finished()) {
    return true;
  }
  const platform::Mirror& mirror = aReader.watch->mirror();
  // A reader of a later era knows of a restored store before this VM does.
  if (!isCurrent(*aReader.watch, aReader.direct) ||
      aReader.after.era > mirror.era()) {
    if (!aTimedOut && base::monotonicNow() < aReader.refuseAfter) {
      return false;
    }
    aReader.responder->reply({ kUnavailable, {}, "" });
    return true;
  }
  if (aReader.lists) {
    aReader.responder->reply(snapshotAnswer(mirror.all()));
    return true;
  }
  const auto changes = mirror.changesAfter(aReader.after);
  if (!changes) {
    aReader.responder->reply({ kGone, {}, "" });
    return true;
  }
  if (changes->entries.empty() && !aTimedOut) {
    return false;
  }
  aReader.responder->reply(snapshotAnswer(*changes));
  return true;
}

void
WatchRelay::onChanged(const PrefixWatch& aWatch)
{
  std::erase_if(mReaders, [&](Reader& aReader) {
    return aReader.watch == &aWatch && tryReply(aReader, false);
  });
}

void
WatchRelay::tick()
{
  std::erase_if(mReaders, [this](Reader& aReader) {
    return (!isCurrent(*aReader.watch, aReader.direct) ||
            aReader.responder->finished()) &&
           tryReply(aReader, false);
  });
}

} // namespace marigold::gateway
