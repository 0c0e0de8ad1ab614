#include "apps/gateway/watch_relay.h"

#include <algorithm>

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

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

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
}

void
WatchRelay::addWatch(PrefixWatch& aWatch)
{
  mWatches[aWatch.prefix()] = &aWatch;
  aWatch.setRelay([this] { return relayClient(); });
  aWatch.mirrorChanged().connect([this, &aWatch] { onChanged(aWatch); });
}

platform::Client*
WatchRelay::relayClient()
{
  const base::VmName relay = mPeerExchange.relay();
  if (relay == mSettings.vm || !mPeerExchange.usesRelay()) {
    return nullptr;
  }
  const auto member = mFleet.others().find(relay);
  if (member == mFleet.others().end()) {
    return nullptr;
  }
  auto& client = mClients[relay];
  if (!client) {
    client = std::make_unique<platform::Client>(
      mLoop, member->second.operatorAddress, kRelayTimeout);
  }
  return client.get();
}

bool
WatchRelay::isCurrent(const PrefixWatch& aWatch) const
{
  return aWatch.isReadingStore() && aWatch.mirror().revision() > 0 &&
         base::monotonicNow() - mFleet.renewedAt() < kMaxRenewalAge;
}

void
WatchRelay::serve(const http::Request& aRequest,
                  const std::shared_ptr<http::Responder>& aResponder)
{
  const auto watch = mWatches.find(http::queryValue(aRequest.query, "prefix"));
  const auto after =
    base::parseNumber(http::queryValue(aRequest.query, "after"));
  const auto wait =
    base::parseNumber(http::queryValue(aRequest.query, "wait_ms"));
  if (watch == mWatches.end() || !after || !wait) {
    aResponder->reply({ kBadRequest, {}, "" });
    return;
  }
  mReaders.push_back({ watch->second, *after, aResponder, {} });
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

bool
WatchRelay::tryReply(Reader& aReader, bool aTimedOut)
{
  if (aReader.responder->finished()) {
    return true;
  }
  if (!isCurrent(*aReader.watch)) {
    aReader.responder->reply({ kUnavailable, {}, "" });
    return true;
  }
  const auto changes = aReader.watch->mirror().changesAfter(aReader.after);
  if (!changes) {
    aReader.responder->reply({ kGone, {}, "" });
    return true;
  }
  if (changes->entries.empty() && !aTimedOut) {
    return false;
  }
  aReader.responder->reply(
    observe::jsonAnswer(kOk, platform::encodeSnapshot(*changes)));
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
    return (!isCurrent(*aReader.watch) || aReader.responder->finished()) &&
           tryReply(aReader, false);
  });
}

} // namespace marigold::gateway
