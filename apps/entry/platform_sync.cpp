#include "apps/entry/platform_sync.h"

#include "observe/observe.h"

#include <algorithm>
#include <utility>

namespace marigold::entry {
namespace {

constexpr base::Duration kTick = std::chrono::milliseconds(250);
constexpr base::Duration kWatchWait = std::chrono::seconds(20);

/** While documents are missing every VM watches, so the watches are short and
 * end soon after a relay has passed the documents on. */
constexpr base::Duration kFirstWatchWait = std::chrono::seconds(2);
constexpr base::Duration kListPeriod = std::chrono::seconds(1);

/** A VM that is no relay reads this seldom, in case every relay is wrong. */
constexpr base::Duration kSafetyPeriod = std::chrono::seconds(30);

constexpr const char* kPrefix = "config/";

} // namespace

PlatformSync::PlatformSync(http::Loop& aLoop,
                           platform::Client& aPlatform,
                           membership::Membership& aMembership,
                           PeerLink& aPeers,
                           Configuration& aConfiguration)
  : mLoop(aLoop)
  , mPlatform(aPlatform)
  , mMembership(aMembership)
  , mPeers(aPeers)
  , mConfiguration(aConfiguration)
  , mLastAnswer(base::monotonicNow())
{
}

void
PlatformSync::start()
{
  mTick = mLoop.every(kTick, [this] { tick(); });
  tick();
}

base::Duration
PlatformSync::age() const
{
  return base::monotonicNow() - mLastAnswer;
}

bool
PlatformSync::mayWatch() const
{
  const base::TimePoint now = base::monotonicNow();
  if (mMembership.isRelay(now) || !mConfiguration.complete()) {
    return true;
  }
  const auto relays = mMembership.relays(mMembership.dataCentre(), now);
  return std::none_of(
    relays.begin(), relays.end(), [this](const base::VmName& aRelay) {
      const auto peer = mMembership.peers().find(aRelay);
      return peer != mMembership.peers().end() &&
             peer->second.last.platformReachable;
    });
}

void
PlatformSync::tick()
{
  const base::TimePoint now = base::monotonicNow();
  const bool relaying = mayWatch();
  const bool safetyDue = now - mLastRead >= kSafetyPeriod;
  if ((relaying || safetyDue) && !mWatching) {
    watch();
  }
  const base::Duration listPeriod = relaying ? kListPeriod : kSafetyPeriod;
  if (now - mLastList >= listPeriod && !mListing) {
    readList();
  }
}

void
PlatformSync::noteAnswer(bool aReachable)
{
  const base::TimePoint now = base::monotonicNow();
  mMembership.onPlatform(aReachable, now);
  mPeers.setPlatformReachable(aReachable);
  if (aReachable) {
    mLastAnswer = now;
  }
}

void
PlatformSync::watch()
{
  mWatching = true;
  mLastRead = base::monotonicNow();
  // A VM that is no relay only reads; a waiting watch would count as a call.
  base::Duration wait = base::Duration::zero();
  if (mayWatch() && mRevision > 0) {
    wait = mConfiguration.complete() ? kWatchWait : kFirstWatchWait;
  }
  mPlatform.watch(kPrefix,
                  { mRevision },
                  wait,
                  [this](const base::Captured<platform::Snapshot>& aSnapshot) {
                    mWatching = false;
                    const base::Error* error = base::errorOf(aSnapshot);
                    noteAnswer(error == nullptr);
                    if (error != nullptr) {
                      observe::logDebug("platform watch failed",
                                        { { "problem", error->message } });
                      return;
                    }
                    apply(std::get<platform::Snapshot>(aSnapshot));
                    // An empty store has revision 0, for which a watch does not
                    // wait; the
                    // next tick asks again.
                    if (mayWatch() && mRevision > 0) {
                      watch();
                    }
                  });
}

void
PlatformSync::apply(const platform::Snapshot& aSnapshot)
{
  mRevision = aSnapshot.revision;
  for (const platform::Entry& entry : aSnapshot.entries) {
    if (!entry.value) {
      continue;
    }
    const auto outcome = base::capture([&]() -> base::Result<documents::Offer> {
      BOOST_LEAF_AUTO(document, documents::decode(entry.value->text()));
      return mConfiguration.offer(document);
    });
    if (const base::Error* error = base::errorOf(outcome)) {
      observe::logWarn("document of the platform refused",
                       { { "key", entry.key }, { "problem", error->message } });
    }
  }
}

void
PlatformSync::readList()
{
  mListing = true;
  mLastList = base::monotonicNow();
  mPlatform.listVms([this](const base::Captured<std::string>& aText) {
    mListing = false;
    const base::Error* error = base::errorOf(aText);
    noteAnswer(error == nullptr);
    if (error != nullptr) {
      return;
    }
    const auto& text = std::get<std::string>(aText);
    // Decoding 12,380 VMs takes 37 ms, and most answers repeat the last one.
    const std::uint64_t digest = base::hash64(text);
    if (std::exchange(mListDigest, digest) == digest) {
      return;
    }
    const auto outcome = base::capture([&]() -> base::Result<documents::Offer> {
      BOOST_LEAF_AUTO(list, platform::decodeVmList(text));
      return mConfiguration.offer(
        { std::string(kVmListName), list.revision, text });
    });
    if (const base::Error* wrong = base::errorOf(outcome)) {
      observe::logWarn("list of VMs refused",
                       { { "problem", wrong->message } });
    }
  });
}

} // namespace marigold::entry
