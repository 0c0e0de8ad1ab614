#include "apps/gateway/watch_relay.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** A relay in the same data centre responds within milliseconds. */
constexpr base::Duration kRelayTimeout = 500ms;
/** Maximum time that a reader may wait for a change. */
constexpr base::Duration kMaxWait = 5s;
/** A relay that has not renewed its lease for this long, which is after two
 * missed renewals, may be partitioned from the store. */
constexpr base::Duration kMaxRenewalAge = 1500ms;

/** A relay that failed or refused is not used for this long. */
constexpr base::Duration kFailedPeriod = 1s;
/** A VM that begins to read the store, because its own relay failed, has its
 * data within this time. Its readers wait for that. */
constexpr base::Duration kStaleGrace = 400ms;
/** The readers of a data centre share one call to a failing store in this time.
 */
constexpr base::Duration kStoreDelayPerVm = 150ms;

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kBadRequest = 400;

http::Response
snapshotAnswer(const platform::Snapshot& aSnapshot)
{
  http::Response response =
    observe::jsonAnswer(kOk, platform::encodeSnapshot(aSnapshot));
  response.headers.emplace_back(platform::kEraHeader,
                                std::to_string(aSnapshot.era));
  return response;
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
      serveList(aRequest, *aResponder);
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
  const base::TimePoint now = base::monotonicNow();
  for (const base::VmName& vm : mPeerExchange.storeReaders()) {
    if (vm == mSettings.vm) {
      return nullptr;
    }
    const auto member = mFleet.others().find(vm);
    const auto failed = mFailedUntil.find(vm);
    const bool usable = failed == mFailedUntil.end() || now >= failed->second;
    if (member != mFleet.others().end() && usable) {
      return &client(member->second);
    }
  }
  return nullptr;
}

platform::Client&
WatchRelay::client(const Member& aRelay)
{
  auto& client = mClients[aRelay.vm];
  if (!client) {
    client = std::make_unique<platform::Client>(
      mLoop, aRelay.operatorAddress, kRelayTimeout);
  }
  return *client;
}

void
WatchRelay::recordFailure(const platform::Client& aRelay)
{
  for (const auto& [vm, client] : mClients) {
    if (client.get() == &aRelay) {
      mFailedUntil[vm] = base::monotonicNow() + kFailedPeriod;
    }
  }
}

base::Duration
WatchRelay::storeDelay() const
{
  const auto readers = mPeerExchange.storeReaders();
  if (std::find(readers.begin(), readers.end(), mSettings.vm) !=
      readers.end()) {
    return {};
  }
  return kStoreDelayPerVm * mPeerExchange.dataCentreSize();
}

bool
WatchRelay::isCurrent(const PrefixWatch& aWatch) const
{
  return aWatch.isReadingStore() && aWatch.mirror().revision() > 0 &&
         aWatch.isOfCurrentEra() &&
         base::monotonicNow() - mFleet.renewedAt() < kMaxRenewalAge;
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
  mReaders.push_back({ watch->second,
                       { *after, era.value_or(0) },
                       http::queryValue(aRequest.query, "patches") == "1",
                       base::monotonicNow() + kStaleGrace,
                       aResponder,
                       {} });
  const auto reader = std::prev(mReaders.end());
  if (tryReply(*reader, false)) {
    mReaders.erase(reader);
    return;
  }
  const auto waitLimit =
    std::min<base::Duration>(std::chrono::milliseconds(*wait), kMaxWait);
  reader->timer = mLoop.after(waitLimit, [this, reader] {
    tryReply(*reader, true);
    mReaders.erase(reader);
  });
}

/** Lists all keys, for readers that have lost the history. */
void
WatchRelay::serveList(const http::Request& aRequest,
                      http::Responder& aResponder)
{
  const auto watch = mWatches.find(http::queryValue(aRequest.query, "prefix"));
  if (watch == mWatches.end()) {
    aResponder.reply({ kBadRequest, {}, "" });
    return;
  }
  if (!isCurrent(*watch->second)) {
    aResponder.reply({ http::kServiceUnavailable, {}, "" });
    return;
  }
  aResponder.reply(snapshotAnswer(watch->second->mirror().all()));
}

bool
WatchRelay::tryReply(Reader& aReader, bool aTimedOut)
{
  if (aReader.responder->finished()) {
    return true;
  }
  const platform::Mirror& mirror = aReader.watch->mirror();
  // A reader of a later era knows of a restored store before this VM does.
  if (!isCurrent(*aReader.watch) || aReader.after.era > mirror.era()) {
    if (!aTimedOut && base::monotonicNow() < aReader.refuseAfter) {
      return false;
    }
    aReader.responder->reply({ http::kServiceUnavailable, {}, "" });
    return true;
  }
  if (replyFromShared(aReader)) {
    return true;
  }
  const auto changes = mirror.changesAfter(aReader.after, aReader.takesPatches);
  if (!changes) {
    aReader.responder->reply({ kGone, {}, "" });
    return true;
  }
  if (changes->entries.empty() && !aTimedOut) {
    return false;
  }
  http::Response response = snapshotAnswer(*changes);
  aReader.responder->reply(response);
  if (!changes->entries.empty()) {
    mShared = {
      aReader.watch, aReader.after, aReader.takesPatches, std::move(response)
    };
  }
  return true;
}

/** Encoding a large value anew for each reader would hold up this VM. */
bool
WatchRelay::replyFromShared(Reader& aReader)
{
  if (!mShared || mShared->watch != aReader.watch ||
      mShared->after != aReader.after ||
      mShared->patches != aReader.takesPatches) {
    return false;
  }
  aReader.responder->reply(mShared->response);
  return true;
}

void
WatchRelay::onChanged(const PrefixWatch& aWatch)
{
  if (mShared && mShared->watch == &aWatch) {
    mShared.reset();
  }
  std::erase_if(mReaders, [&](Reader& aReader) {
    return aReader.watch == &aWatch && tryReply(aReader, false);
  });
}

void
WatchRelay::tick()
{
  std::erase_if(mReaders, [this](Reader& aReader) {
    return (!isCurrent(*aReader.watch) || aReader.responder->finished()) &&
           tryReply(aReader, false);
  });
}

} // namespace marigold::gateway
