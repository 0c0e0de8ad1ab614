/** @file Tests of which software may continue a stream. */
#include "dispatch/dispatch.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;
using dispatch::StreamOrigins;

namespace {

catalog::UpstreamRecord
upstream(const char* aName, std::optional<std::string> aVersion)
{
  catalog::UpstreamRecord record;
  record.name = aName;
  record.service = "chat";
  record.startedAt = 1000;
  record.softwareVersion = std::move(aVersion);
  return record;
}

peers::SoftwareTag
tag(const char* aName, std::optional<std::string> aVersion)
{
  return dispatch::softwareTag(upstream(aName, std::move(aVersion)));
}

const TimePoint kStart{ 1000s };

} // namespace

TEST_GROUP(Software){};

// Guards against streams that are joined from two versions of one service.
TEST(Software, UpstreamsShareATagIfTheyNameTheSameVersionOfAService)
{
  CHECK_EQUAL(tag("a", "1"), tag("b", "1"));
  CHECK(tag("a", "1") != tag("a", "2"));
  auto other = upstream("a", "1");
  other.service = "desk";
  CHECK(dispatch::softwareTag(other) != tag("a", "1"));
}

// Guards against taking upstreams that name no version for the same software.
TEST(Software, UpstreamWithoutAVersionSharesATagWithNoOtherProcess)
{
  CHECK_EQUAL(tag("a", {}), tag("a", {}));
  CHECK(tag("a", {}) != tag("b", {}));
  auto restarted = upstream("a", {});
  restarted.startedAt = 2000;
  CHECK(dispatch::softwareTag(restarted) != tag("a", {}));
  CHECK(tag("a", {}) != peers::kUnknownSoftware);
}

// A release is long over: nothing has to be known of the single stream.
TEST(Software, OnlyVersionOfALifetimeHasBegunAllItsStreams)
{
  dispatch::SoftwareHistory history;
  history.setLifetime(20s);
  CHECK(!history.only("chat", kStart));
  history.observe("chat", 1, kStart);
  CHECK(!history.mixed(kStart));
  CHECK_EQUAL(1, *history.only("chat", kStart));
  history.observe("chat", 2, kStart + 5s);
  history.observe("desk", 9, kStart + 5s);
  CHECK(!history.only("chat", kStart + 20s));
  CHECK(history.mixed(kStart + 20s));
  CHECK_EQUAL(2, *history.only("chat", kStart + 21s));
  CHECK(!history.mixed(kStart + 21s));
  CHECK(!history.only("chat", kStart + 26s));
}

// All VMs are killed just after the last upstream of an old version has left:
// a new process sees the new version only.
TEST(Software, VersionThatOthersHaveSeenCountsForANewProcess)
{
  dispatch::SoftwareHistory before;
  before.observe("chat", 1, kStart);
  before.observe("chat", 2, kStart);
  dispatch::SoftwareHistory after;
  after.observe("chat", 2, kStart + 2s);
  after.merge(before.recent(kStart), kStart + 2s);
  CHECK(!after.only("chat", kStart + 3s));
  after.observe("chat", 2, kStart + 40s);
  CHECK_EQUAL(2, *after.only("chat", kStart + 40s));
}

TEST_GROUP(StreamOrigins){};

// Many streams break off at once and are taken up at other VMs: guards against
// continuing them with the software that happens to be free.
TEST(StreamOrigins, FirstOriginOfAStreamCounts)
{
  StreamOrigins origins;
  origins.record({ 7, 1 }, kStart);
  origins.merge({ { 7, 2 }, { 8, 2 } }, kStart);
  CHECK_EQUAL(1, *origins.find(7));
  CHECK_EQUAL(2, *origins.find(8));
  CHECK(!origins.find(9));
}

TEST(StreamOrigins, ListsWhatWasAddedSince)
{
  StreamOrigins origins;
  origins.record({ 1, 5 }, kStart);
  const std::uint64_t told = origins.added();
  origins.record({ 2, 5 }, kStart);
  origins.merge({ { 3, 6 } }, kStart);
  origins.record({ 2, 6 }, kStart);
  CHECK(origins.addedSince(told, StreamOrigins::Whose::Own) ==
        std::vector<peers::StreamOrigin>({ { 2, 5 } }));
  CHECK(origins.addedSince(told, StreamOrigins::Whose::All) ==
        std::vector<peers::StreamOrigin>({ { 2, 5 }, { 3, 6 } }));
  CHECK(origins.addedSince(origins.added(), StreamOrigins::Whose::All).empty());
}

TEST(StreamOrigins, ForgetsWhatNobodyTakesUp)
{
  StreamOrigins origins;
  origins.setLifetime(20s);
  origins.record({ 1, 5 }, kStart);
  origins.record({ 2, 5 }, kStart + 10s);
  origins.expire(kStart + 25s);
  CHECK(!origins.find(1));
  CHECK_EQUAL(5, *origins.find(2));
  CHECK(origins.addedSince(0, StreamOrigins::Whose::All) ==
        std::vector<peers::StreamOrigin>({ { 2, 5 } }));
}

// A flood of streams must not use up the memory of a small VM.
TEST(StreamOrigins, OldestStreamsGoFirstIfThereAreTooMany)
{
  constexpr peers::StreamId kMany = 66'000;
  StreamOrigins origins;
  for (peers::StreamId stream = 1; stream <= kMany; ++stream) {
    origins.record({ stream, 5 }, kStart);
  }
  CHECK(!origins.find(1));
  CHECK_EQUAL(5, *origins.find(kMany));
  CHECK(origins.addedSince(0, StreamOrigins::Whose::All).size() < kMany);
}
