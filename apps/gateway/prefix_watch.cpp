#include "apps/gateway/prefix_watch.h"

#include "observe/log.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** One wait for changes. A connection can fall silent without an error, and a
 * withdrawn key must not stay in force for long after that. */
constexpr base::Duration kWait = 4s;
/** First pause after a failed call; it doubles up to the longest one. */
constexpr base::Duration kFirstBackoff = 100ms;
constexpr base::Duration kLongestBackoff = 800ms;

} // namespace

PrefixWatch::PrefixWatch(http::Loop& aLoop,
                         platform::Client& aClient,
                         std::string aPrefix,
                         base::Duration aPause,
                         PrefixEvents aEvents)
  : mLoop(aLoop)
  , mClient(aClient)
  , mPrefix(std::move(aPrefix))
  , mPause(aPause)
  , mEvents(std::move(aEvents))
{
}

void
PrefixWatch::start()
{
  list();
}

void
PrefixWatch::relist()
{
  mListAgain = true;
}

void
PrefixWatch::later(base::Duration aDelay, void (PrefixWatch::*aNext)())
{
  mTimer = mLoop.after(aDelay, [this, aNext] { (this->*aNext)(); });
}

void
PrefixWatch::noteAnswer()
{
  mAnsweredAt = base::monotonicNow();
  mFailures = 0;
  if (!mConnected) {
    mConnected = true;
    mEvents.regained();
  }
}

void
PrefixWatch::noteFailure(const base::Error& aError)
{
  ++mFailures;
  if (mConnected) {
    mConnected = false;
    mEvents.lost(aError);
  }
}

void
PrefixWatch::list()
{
  mListAgain = false;
  mClient.list(mPrefix, [this](const base::Captured<platform::Snapshot>& aOut) {
    if (const base::Error* error = base::errorOf(aOut)) {
      noteFailure(*error);
      later(std::min(kLongestBackoff,
                     kFirstBackoff * (1U << std::min(mFailures, 4U))),
            &PrefixWatch::list);
      return;
    }
    const auto& snapshot = std::get<platform::Snapshot>(aOut);
    mRevision = snapshot.revision;
    noteAnswer();
    mEvents.snapshot(snapshot);
    wait();
  });
}

void
PrefixWatch::wait()
{
  if (mListAgain) {
    list();
    return;
  }
  mClient.watch(
    mPrefix,
    mRevision,
    kWait,
    [this](const base::Captured<platform::Snapshot>& aOut) {
      if (const base::Error* error = base::errorOf(aOut)) {
        if (error->code == base::Code::HistoryCompacted) {
          observe::logInfo("store history compacted",
                           { { "prefix", mPrefix },
                             { "revision", std::to_string(mRevision) } });
          list();
          return;
        }
        noteFailure(*error);
        later(std::min(kLongestBackoff,
                       kFirstBackoff * (1U << std::min(mFailures, 4U))),
              &PrefixWatch::wait);
        return;
      }
      const auto& changes = std::get<platform::Snapshot>(aOut);
      mRevision = std::max(mRevision, changes.revision);
      noteAnswer();
      for (const platform::Entry& entry : changes.entries) {
        mEvents.changed(entry);
      }
      later(changes.entries.empty() ? 0ms : mPause, &PrefixWatch::wait);
    });
}

} // namespace marigold::gateway
