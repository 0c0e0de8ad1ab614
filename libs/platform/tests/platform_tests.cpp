/** @file Tests of the platform client against a scripted server. */
#include "platform/platform.h"
#include "platform/untrusted_json.h"

// Before CppUTest, whose macros replace operator new.
#include <nlohmann/json.hpp>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <malloc.h>
#include <optional>

using namespace marigold;
using namespace std::chrono_literals;
using base::Code;

namespace {

std::uint16_t
testPort()
{
  constexpr std::uint16_t kDefaultPort = 17970;
  const char* configured = std::getenv("MARIGOLD_TEST_PORT");
  return configured == nullptr
           ? kDefaultPort
           : static_cast<std::uint16_t>(std::atoi(configured) + 4);
}

} // namespace

TEST_GROUP(Platform)
{
  http::Loop loop;
  const http::Address address{ "127.0.0.1", testPort() };
  platform::Client client{ loop, address, 300ms };

  /** @return result of a write to a server that uses the handler */
  Code writeCode(const http::Handler& aHandler)
  {
    http::Server server(loop, {}, aHandler);
    CHECK(bool(server.listen(address)));
    return writeCodeWithoutServer();
  }

  Code writeCodeWithoutServer()
  {
    std::optional<Code> code;
    client.write("k", "v", 3, "", [&](const auto& aOutcome) {
      const base::Error* error = base::errorOf(aOutcome);
      code = error == nullptr ? Code::Ok : error->code;
      loop.stop();
    });
    loop.run();
    return *code;
  }

  static http::Handler answering(int aStatus, std::string aBody)
  {
    return [aStatus, aBody](const http::Request&, const auto& aOut) {
      aOut->reply({ aStatus, {}, aBody });
    };
  }
};

// A write that may have taken effect must not be reported as failed, nor a
// write that was never sent as one of unknown outcome.
TEST(Platform, WriteErrorsSeparateNotSentFromUnknownOutcome)
{
  CHECK(writeCodeWithoutServer() == Code::PlatformUnreachable);
  CHECK(writeCode(answering(200, R"({"revision":4})")) == Code::Ok);
  CHECK(writeCode(answering(409, "{}")) == Code::RevisionConflict);
  CHECK(writeCode(answering(429, "{}")) == Code::PlatformRateLimited);
  CHECK(writeCode([](const http::Request&, const auto& aOut) {
          aOut->abort();
        }) == Code::WriteOutcomeUnknown);
  std::shared_ptr<http::Responder> held;
  CHECK(writeCode([&](const http::Request&, const auto& aOut) {
          held = aOut;
        }) == Code::WriteOutcomeUnknown);
}

// A write was applied but its answer has no revision: the client must not
// report success or failure.
TEST(Platform, MalformedWriteAnswerIsAnUnknownOutcome)
{
  CHECK(writeCode(answering(200, "{}")) == Code::WriteOutcomeUnknown);
}

// Status 503 means that the write was not executed. It must not be taken for a
// lost answer.
TEST(Platform, UnavailablePlatformDidNotExecuteTheWrite)
{
  CHECK(writeCode(answering(503, "{}")) == Code::PlatformUnreachable);
}

// A status that HTTP doesn't have, or an interim one, says nothing of a write
// that may have taken effect.
TEST(Platform, StatusThatIsNoFinalOneIsAnUnknownOutcome)
{
  for (const int status : { 20, 103, 600, 999 }) {
    CHECK(writeCode(answering(status, R"({"revision": 4})")) ==
          Code::WriteOutcomeUnknown);
  }
}

// Failure tests rely on an outage that drops all answers. A write during it has
// an unknown outcome and must not be reported as refused.
TEST(Platform, SimulatedOutageDropsAnswers)
{
  client.simulateOutage(true);
  CHECK(writeCode(answering(200, R"({"revision": 4})")) ==
        Code::WriteOutcomeUnknown);
  client.simulateOutage(false);
  CHECK(writeCode(answering(200, R"({"revision": 4})")) == Code::Ok);
}

// Revisions and leases of a store that came back from an older copy mean
// nothing in what it says from then on.
TEST(Platform, NoticesARestoredStoreAndDropsAnswersFromBefore)
{
  std::string era = "4";
  http::Server server(loop, {}, [&](const http::Request&, const auto& aOut) {
    aOut->reply(
      { 200, { { platform::kEraHeader, era } }, R"({"revision":4})" });
  });
  CHECK(bool(server.listen(address)));
  unsigned restored = 0;
  client.restored().connect([&] { ++restored; });
  CHECK(writeCodeWithoutServer() == Code::Ok);
  LONGS_EQUAL(0, restored);
  LONGS_EQUAL(4, client.era());
  era = "5";
  CHECK(writeCodeWithoutServer() == Code::Ok);
  LONGS_EQUAL(1, restored);
  LONGS_EQUAL(5, client.era());
  era = "4";
  CHECK(writeCodeWithoutServer() == Code::WriteOutcomeUnknown);
  era = "no number";
  CHECK(writeCodeWithoutServer() == Code::Ok);
  LONGS_EQUAL(1, restored);
  LONGS_EQUAL(5, client.era());
}

// The pages of a list are read one after the other. Those from before the store
// was restored must not be mixed with later ones.
TEST(Platform, ListBeginsAgainWhenTheStoreIsRestoredBetweenPages)
{
  unsigned pages = 0;
  http::Server server(
    loop, {}, [&](const http::Request& aRequest, const auto& aOut) {
      ++pages;
      const bool first = aRequest.query.find("&after=") == std::string::npos;
      aOut->reply({ 200,
                    { { "Store-Era", pages == 1 ? "1" : "2" } },
                    first ? R"({"at":9,"has_more":true,"items":[
                              {"key":"a","value":"eA==","revision":1}]})"
                          : R"({"at":9,"has_more":false,"items":[
                              {"key":"b","value":"eA==","revision":2}]})" });
    });
  CHECK(bool(server.listen(address)));
  std::optional<platform::Snapshot> listed;
  platform::WireProtocol protocol = platform::nativeProtocol();
  protocol.list = [](const std::string&, const std::string& aAfter) {
    return http::Request{
      "GET", "/", aAfter.empty() ? "p" : "p&after=" + aAfter, {}, ""
    };
  };
  protocol.readPage = [](const nlohmann::json& aContent) {
    platform::Snapshot page;
    page.revision = aContent.at("at");
    page.more = aContent.at("has_more");
    for (const auto& item : aContent.at("items")) {
      page.entries.push_back({ item.at("key"),
                               item.at("value").get<std::string>(),
                               item.at("revision") });
    }
    return page;
  };
  protocol.readEra = [](const http::Headers& aHeaders) {
    return platform::readEraHeader(aHeaders, "Store-Era");
  };
  platform::Client paging{ loop, address, 300ms, protocol };
  paging.list("", [&](const auto& aResult) {
    CHECK(base::errorOf(aResult) == nullptr);
    listed = std::get<platform::Snapshot>(aResult);
    loop.stop();
  });
  loop.run();
  LONGS_EQUAL(4, pages);
  LONGS_EQUAL(2, listed->entries.size());
  LONGS_EQUAL(2, listed->era);
}

TEST_GROUP(Mirror)
{
  platform::Mirror mirror;

  void setup() override
  {
    mirror.replace({ 10, { { "a", "1", 7 }, { "b", "2", 9 } } });
  }
};

// A reader that misses a change keeps a stale value.
TEST(Mirror, ReturnsAllChangesAfterARevision)
{
  mirror.apply({ 12, { { "a", "3", 11 }, { "b", std::nullopt, 12 } } });
  const auto changes = mirror.changesAfter({ 11 });
  CHECK(changes.has_value());
  LONGS_EQUAL(12, changes->revision);
  LONGS_EQUAL(1, changes->entries.size());
  CHECK(!changes->entries.at(0).value);
  LONGS_EQUAL(1, mirror.all().entries.size());
}

// A relay may lag behind its reader. The reader must not go back to an earlier
// revision.
TEST(Mirror, ReaderWithALaterRevisionGetsNoOlderChanges)
{
  const auto changes = mirror.changesAfter({ 15 });
  CHECK(changes.has_value());
  LONGS_EQUAL(15, changes->revision);
  CHECK(changes->entries.empty());
}

// Keys that were deleted while no watch was running must not stay in the copy.
TEST(Mirror, ReplaceReportsDeletedKeys)
{
  mirror.replace({ 20, { { "a", "1", 7 } } });
  const auto changes = mirror.changesAfter({ 10 });
  CHECK(changes.has_value());
  LONGS_EQUAL(1, changes->entries.size());
  STRCMP_EQUAL("b", changes->entries.at(0).key.c_str());
  CHECK(!changes->entries.at(0).value);
}

// A reader whose changes were dropped must not get an empty list of changes, or
// it would keep stale values.
TEST(Mirror, DroppedChangesAreReported)
{
  CHECK(!mirror.changesAfter({ 8 }).has_value());
  platform::Revision revision = 10;
  for (int i = 0; i < 3000; ++i) {
    ++revision;
    mirror.apply({ revision, { { "a", "x", revision } } });
  }
  CHECK(!mirror.changesAfter({ 11 }).has_value());
  CHECK(mirror.changesAfter({ revision - 10 }).has_value());
}

// Guards against a key with a large value, written again and again, whose
// changes take the memory of the VM.
TEST(Mirror, KeepsALargeValueOnceHoweverOftenItChanges)
{
  constexpr std::size_t kValueBytes = 1000UL * 1000;
  const auto heapBytes = [] {
    const auto used = ::mallinfo2();
    return used.uordblks + used.hblkhd;
  };
  const std::size_t before = heapBytes();
  platform::Revision revision = 10;
  for (int i = 0; i < 100; ++i) {
    ++revision;
    const auto letter = static_cast<char>('a' + i % 2);
    mirror.apply(
      { revision, { { "a", std::string(kValueBytes, letter), revision } } });
  }
  CHECK(heapBytes() - before < 2 * kValueBytes);
  const auto changes = mirror.changesAfter({ 10 });
  CHECK(changes.has_value());
  LONGS_EQUAL(1, changes->entries.size());
  CHECK(*changes->entries.at(0).value == std::string(kValueBytes, 'b'));
  STRCMP_EQUAL("b", mirror.all().entries.at(1).key.c_str());
}

// Patches of random edits add up, and those that are dropped are noticed: the
// number of changes that are kept is bounded by their size, too.
TEST(Mirror, PatchesThatAreManyAreDroppedByTheirSize)
{
  constexpr std::size_t kItems = 100;
  constexpr std::size_t kItemBytes = 4000;
  constexpr std::size_t kChanges = 400;
  std::vector<std::string> items(kItems, std::string(kItemBytes, '-'));
  platform::Revision revision = 10;
  for (std::size_t i = 0; i < kChanges; ++i) {
    items[i % kItems] =
      std::string(kItemBytes, static_cast<char>('a' + i / kItems));
    std::string text;
    for (const std::string& item : items) {
      text += "{" + item + "},";
    }
    ++revision;
    mirror.apply({ revision, { { "a", text, revision } } });
  }
  CHECK(!mirror.changesAfter({ 11 }).has_value());
  CHECK(mirror.changesAfter({ revision - 4 }).has_value());
}

// The order of what happened to a record counts, even if a later change
// replaced it: an upstream that was removed may have said before that it
// leaves.
TEST(Mirror, ReaderGetsEachChangeOfSmallValues)
{
  mirror.apply(
    { 13, { { "a", "3", 11 }, { "b", std::nullopt, 12 }, { "a", "4", 13 } } });
  const auto changes = mirror.changesAfter({ 10 });
  LONGS_EQUAL(3, changes->entries.size());
  STRCMP_EQUAL("3", changes->entries.at(0).value->text().c_str());
  STRCMP_EQUAL("b", changes->entries.at(1).key.c_str());
  STRCMP_EQUAL("4", changes->entries.at(2).value->text().c_str());
}

namespace {

/** @return a configuration with many elements, one of them told by a number */
std::string
largeText(int aVersion)
{
  std::string text = R"({"version":)" + std::to_string(aVersion);
  for (int item = 0; item < 400; ++item) {
    const int number = item == 200 ? aVersion : 0;
    text += R"(,{"name":"item-)" + std::to_string(item) + R"(","number":)" +
            std::to_string(number) + "}";
  }
  return text + "}";
}

platform::Snapshot
sendAndReceive(const platform::Snapshot& aSnapshot)
{
  return platform::nativeProtocol().readChanges(
    platform::encodeSnapshot(aSnapshot));
}

} // namespace

// Guards against a change of one element that costs the links of a data centre
// the whole configuration for each VM.
TEST(Mirror, ReaderWithTheBaseGetsOnlyWhatChanged)
{
  mirror.apply({ 11, { { "a", largeText(1), 11 } } });
  platform::Mirror reader;
  reader.replace(mirror.all());
  mirror.apply({ 12, { { "a", largeText(2), 12 } } });
  mirror.apply({ 13, { { "a", largeText(3), 13 } } });
  const auto changes = mirror.changesAfter({ 11 }, true);
  CHECK(platform::encodeSnapshot(*changes).dump().size() < 1000);
  platform::Snapshot received = sendAndReceive(*changes);
  CHECK(!received.entries.at(0).value);
  CHECK(reader.resolve(received.entries.at(0)));
  CHECK(*received.entries.at(0).value == largeText(3));
  // It passes on what it was told, so it must not be more than that.
  reader.apply(received);
  const auto passedOn = reader.changesAfter({ 11 }, true);
  CHECK(!passedOn->entries.at(0).value);
  LONGS_EQUAL(2, passedOn->entries.at(0).patches.size());
}

// One after the other, large values that the reader has missed hold up its
// event loop, and only the last one counts.
TEST(Mirror, ReaderGetsOnlyTheLatestOfLargeValues)
{
  mirror.apply({ 11, { { "a", largeText(1), 11 } } });
  mirror.apply({ 12, { { "b", "3", 12 } } });
  mirror.apply({ 13, { { "a", largeText(2), 13 } } });
  auto changes = mirror.changesAfter({ 10 });
  LONGS_EQUAL(2, changes->entries.size());
  STRCMP_EQUAL("b", changes->entries.at(0).key.c_str());
  LONGS_EQUAL(13, changes->entries.at(1).revision);
  CHECK(*changes->entries.at(1).value == largeText(2));
  mirror.apply({ 14, { { "a", std::nullopt, 14 } } });
  changes = mirror.changesAfter({ 11 });
  LONGS_EQUAL(2, changes->entries.size());
  CHECK(!changes->entries.at(1).value);
  LONGS_EQUAL(14, changes->entries.at(1).revision);
}

// A value that was small or absent in between is no base that the reader has.
TEST(Mirror, PatchesEndAtASmallValue)
{
  mirror.apply({ 11, { { "a", largeText(1), 11 } } });
  for (const std::optional<std::string>& between :
       { std::optional<std::string>("1"), std::optional<std::string>() }) {
    const platform::Revision base = mirror.revision();
    platform::Mirror reader;
    reader.replace(mirror.all());
    mirror.apply({ base + 1, { { "a", between, base + 1 } } });
    mirror.apply({ base + 2, { { "a", largeText(2), base + 2 } } });
    mirror.apply({ base + 3, { { "a", largeText(3), base + 3 } } });
    const auto changes = mirror.changesAfter({ base }, true);
    LONGS_EQUAL(2, changes->entries.size());
    CHECK(*changes->entries.at(1).value == largeText(3));
    reader.apply(sendAndReceive(*changes));
    CHECK(*reader.all().entries.at(0).value == largeText(3));
  }
}

// VMs of an earlier version know no patches.
TEST(Mirror, ReaderThatTakesNoPatchesGetsTheWholeValue)
{
  mirror.apply({ 11, { { "a", largeText(1), 11 } } });
  mirror.apply({ 12, { { "a", largeText(2), 12 } } });
  CHECK(*mirror.changesAfter({ 11 })->entries.at(0).value == largeText(2));
}

// A patch of another value would make a configuration that nobody wrote.
TEST(Mirror, PatchWithoutItsBaseIsNoticed)
{
  mirror.apply({ 11, { { "a", largeText(1), 11 } } });
  mirror.apply({ 12, { { "a", largeText(2), 12 } } });
  const platform::Snapshot sent =
    sendAndReceive(*mirror.changesAfter({ 11 }, true));
  platform::Mirror reader;
  platform::Entry entry = sent.entries.at(0);
  CHECK(!reader.resolve(entry));
  reader.replace({ 10, { { "a", largeText(1), 9 } } });
  CHECK(!reader.resolve(entry)); // Another revision, perhaps another text.
  platform::Mirror same;
  std::string other = largeText(1);
  other.replace(other.find("item-300"), 8, "item-xxx");
  same.replace({ 11, { { "a", other, 11 } } });
  CHECK(!same.resolve(entry)); // Another text of that revision.
  CHECK(!entry.value);
  same = {};
  same.replace({ 11, { { "a", largeText(1), 11 } } });
  CHECK(same.resolve(entry));
}

// Without a patch and without a value, a key would count as deleted.
TEST(Mirror, MalformedPatchesAreRejected)
{
  const auto read = [](const char* aText) {
    return platform::nativeProtocol().readChanges(nlohmann::json::parse(aText));
  };
  CHECK_THROWS(nlohmann::json::exception,
               read(R"({"revision":4,"items":[{"key":"a","revision":4,
                 "base":3,"patches":[]}]})"));
  CHECK_THROWS(nlohmann::json::exception,
               read(R"({"revision":4,"items":[{"key":"a","revision":4,
                 "base":3,"patches":[{"hash":1,"parts":[[1]]}]}]})"));
  platform::Entry entry =
    read(R"({"revision":11,"items":[{"key":"a","revision":11,"base":7,
      "patches":[{"hash":1,"parts":[[18446744073709551615,2]]}]}]})")
      .entries.at(0);
  CHECK(!mirror.resolve(entry));
}

// An encoding that the platform client cannot decode would break every relay.
TEST(Mirror, EncodedSnapshotIsDecodedByTheClient)
{
  mirror.apply({ 12, { { "b", std::nullopt, 12 } } });
  const auto read = platform::nativeProtocol().readChanges(
    platform::encodeSnapshot(*mirror.changesAfter({ 10 })));
  LONGS_EQUAL(12, read.revision);
  STRCMP_EQUAL("b", read.entries.at(0).key.c_str());
  CHECK(!read.entries.at(0).value);
}

TEST_GROUP(UntrustedJson){};

// Guards against a body of a few hundred kilobytes that stops the loop of the
// process for minutes, because the time grows with the square of its elements.
TEST(UntrustedJson, ManyElementsAreReadInTime)
{
  constexpr std::size_t kElements = 100'000;
  std::string text = "[0";
  for (std::size_t element = 0; element < kElements; ++element) {
    text += ",{}";
  }
  const base::TimePoint begin = base::monotonicNow();
  LONGS_EQUAL(kElements + 1, platform::parseUntrusted(text + "]").size());
  CHECK(base::monotonicNow() - begin < 1s);
}

// Guards against recursion without bound, and against texts that are taken for
// nested because they contain brackets.
TEST(UntrustedJson, OnlyDeeplyNestedTextIsRejected)
{
  constexpr std::size_t kDepth = 64;
  const std::string open(kDepth, '[');
  const std::string close(kDepth, ']');
  CHECK(platform::parseUntrusted(open + "0" + close).is_array());
  const std::string brackets = R"("\"[[\\")" + std::string(" ");
  CHECK(platform::parseUntrusted(open + brackets + close).is_array());
  CHECK(platform::parseUntrusted('"' + open + open + '"').is_string());
  CHECK_THROWS(std::invalid_argument,
               platform::parseUntrusted('[' + open + "0" + close + ']'));
}

namespace {

constexpr base::Duration kTimeout = 300ms; ///< of the clients below

/** A server that leaves the requests of some numbers without an answer. */
struct PartlySilentServer
{
  PartlySilentServer(http::Loop& aLoop, const http::Address& aAddress)
    : server(
        aLoop,
        {},
        [this](const http::Request& aRequest, const auto& aOut) {
          requests.push_back(aRequest);
          if (silent && silent(requests.size())) {
            held.push_back(aOut);
            return;
          }
          aOut->reply({ 200, {}, R"({"revision":7,"items":[],"lease":"l1"})" });
        })
  {
    CHECK(bool(server.listen(aAddress)));
  }

  std::function<bool(std::size_t)> silent; ///< gets the number, from 1
  std::vector<http::Request> requests;
  std::vector<std::shared_ptr<http::Responder>> held;
  http::Server server;
};

} // namespace

TEST_GROUP(SilentConnections)
{
  http::Loop loop;
  const http::Address address{ "127.0.0.1", testPort() };
  platform::Client client{ loop, address, kTimeout };
  PartlySilentServer server{ loop, address };
  std::optional<base::Captured<platform::Snapshot>> changes;
  unsigned watchEnds = 0;
  unsigned renewalEnds = 0;
  unsigned silences = 0;
  bool renewed = false;

  void setup() override
  {
    client.silenceFound().connect([this](base::TimePoint) { ++silences; });
  }

  void watch(base::Duration aWait)
  {
    client.watch("op/", { 3, 0 }, aWait, [this](const auto& aResult) {
      changes = aResult;
      ++watchEnds;
    });
  }

  void renew()
  {
    client.renewLease("l1", [this](const auto& aResult) {
      renewed = base::errorOf(aResult) == nullptr;
      ++renewalEnds;
    });
  }

  void runFor(base::Duration aDuration)
  {
    const auto timer = loop.after(aDuration, [this] { loop.stop(); });
    loop.run();
  }
};

// A watch whose connection goes silent is asked again on a new one, before the
// timeout of the call shows the silence.
TEST(SilentConnections, OverdueWatchIsAskedAgain)
{
  server.silent = [](std::size_t aNumber) { return aNumber == 1; };
  watch(200ms);
  runFor(200ms + kTimeout - 50ms);
  CHECK(changes && base::errorOf(*changes) == nullptr);
  LONGS_EQUAL(1, watchEnds);
  LONGS_EQUAL(1, silences);
  runFor(2 * kTimeout);
  LONGS_EQUAL(1, watchEnds);
  LONGS_EQUAL(2, server.requests.size());
}

// A renewal without an answer must not let the lease end while the store
// responds on new connections, and tells that open connections are silent.
TEST(SilentConnections, OverdueRenewalIsSentAgainAndTellsOfTheSilence)
{
  renew();
  runFor(50ms);
  LONGS_EQUAL(1, renewalEnds);
  server.silent = [](std::size_t aNumber) { return aNumber == 2; };
  renew();
  runFor(kTimeout - 50ms);
  LONGS_EQUAL(2, renewalEnds);
  CHECK(renewed);
  LONGS_EQUAL(1, silences);
}

// A store that is down must not be called more often, nor be taken for one that
// is only silent on old connections.
TEST(SilentConnections, StoreThatIsDownGetsOneMoreCallAndEndsTheWatchOnce)
{
  server.silent = [](std::size_t) { return true; };
  watch(100ms);
  runFor(6 * kTimeout);
  LONGS_EQUAL(1, watchEnds);
  CHECK(base::errorOf(*changes)->code == Code::PlatformTimeout);
  LONGS_EQUAL(2, server.requests.size());
  LONGS_EQUAL(0, silences);
}

// An answer that is only late must not make all watches ask again.
TEST(SilentConnections, SlowAnswerIsNotTakenForSilence)
{
  server.silent = [](std::size_t) { return true; };
  watch(100ms);
  runFor(100ms + platform::overdueAfter(kTimeout) + 50ms);
  LONGS_EQUAL(2, server.requests.size());
  server.held.front()->reply({ 200, {}, R"({"revision":7,"items":[]})" });
  runFor(50ms);
  LONGS_EQUAL(1, watchEnds);
  CHECK(base::errorOf(*changes) == nullptr);
  LONGS_EQUAL(0, silences);
}

// A store that is slow for all must not get twice the calls as long as it is.
TEST(SilentConnections, SlowStoreIsNotAskedTwiceAgain)
{
  server.silent = [](std::size_t) { return true; };
  watch(100ms);
  runFor(100ms + platform::overdueAfter(kTimeout) + 50ms);
  server.held.front()->reply({ 200, {}, R"({"revision":7,"items":[]})" });
  runFor(20ms);
  LONGS_EQUAL(2, server.requests.size());
  watch(100ms);
  runFor(100ms + platform::overdueAfter(kTimeout) + 50ms);
  LONGS_EQUAL(3, server.requests.size());
  server.held.back()->reply({ 200, {}, R"({"revision":8,"items":[]})" });
  runFor(20ms);
  LONGS_EQUAL(2, watchEnds);
  watch(100ms);
  runFor(100ms + platform::overdueAfter(kTimeout) + 50ms);
  LONGS_EQUAL(4, server.requests.size());
  runFor(platform::overdueAfter(kTimeout));
  LONGS_EQUAL(5, server.requests.size());
}

// A connection that goes silent right behind a late answer must not hide a
// change until the timeout of the call.
TEST(SilentConnections, SilenceRightBehindALateAnswerIsFound)
{
  server.silent = [](std::size_t) { return true; };
  watch(100ms);
  runFor(100ms + platform::overdueAfter(kTimeout) + 20ms);
  server.held.front()->reply({ 200, {}, R"({"revision":7,"items":[]})" });
  runFor(20ms);
  LONGS_EQUAL(1, watchEnds);
  server.silent = [](std::size_t aNumber) { return aNumber <= 3; };
  watch(100ms);
  runFor(100ms + 2 * platform::overdueAfter(kTimeout) + 50ms);
  LONGS_EQUAL(2, watchEnds);
  LONGS_EQUAL(1, silences);
}

// A store that stays so slow that each answer comes after the call was sent
// again must not get twice the calls.
TEST(SilentConnections, VerySlowStoreIsNotAskedTwiceForEver)
{
  constexpr unsigned kWatches = 10;
  for (unsigned number = 1; number <= kWatches; ++number) {
    server.silent = [](std::size_t) { return true; };
    const std::size_t before = server.requests.size();
    watch(100ms);
    runFor(100ms + 2 * platform::overdueAfter(kTimeout) + 50ms);
    server.held.at(before)->reply({ 200, {}, R"({"revision":7,"items":[]})" });
    runFor(20ms);
    LONGS_EQUAL(number, watchEnds);
  }
  CHECK(server.requests.size() <= kWatches + kWatches / 2);
}

// Calls that hang since a silence that was found already must not make watches
// on sound connections ask again.
TEST(SilentConnections, OneSilenceIsReportedOnce)
{
  server.silent = [](std::size_t aNumber) { return aNumber <= 2; };
  watch(100ms);
  watch(300ms);
  runFor(300ms + kTimeout);
  LONGS_EQUAL(2, watchEnds);
  LONGS_EQUAL(1, silences);
}

// A refusal on the new connection says nothing about the older one, whose
// answer may still come.
TEST(SilentConnections, RefusedRepetitionLeavesTheOriginalWaiting)
{
  server.silent = [](std::size_t) { return true; };
  watch(100ms);
  runFor(100ms + platform::overdueAfter(kTimeout) + 50ms);
  server.held.back()->reply({ 503, {}, "" });
  runFor(20ms);
  LONGS_EQUAL(0, watchEnds);
  server.held.front()->reply({ 200, {}, R"({"revision":7,"items":[]})" });
  runFor(50ms);
  LONGS_EQUAL(1, watchEnds);
  CHECK(base::errorOf(*changes) == nullptr);
  LONGS_EQUAL(0, silences);
}

// A simulated outage that ends between a call and its repetition must not leave
// the first one with a callback that no longer exists.
TEST(SilentConnections, OutageThatEndsBeforeTheRepetition)
{
  client.simulateOutage(true);
  watch(100ms);
  client.simulateOutage(false);
  runFor(6 * kTimeout);
  LONGS_EQUAL(1, watchEnds);
  CHECK(base::errorOf(*changes) == nullptr);
}

TEST_GROUP(CallRecords)
{
  http::Loop loop;
  const http::Address address{ "127.0.0.1", testPort() };
  platform::Client client{ loop, address, kTimeout };
  platform::CallSummary summary;

  void setup() override
  {
    client.callEnded().connect(
      [this](const platform::CallRecord& aCall) { summary.add(aCall); });
  }

  void runFor(base::Duration aDuration)
  {
    const auto timer = loop.after(aDuration, [this] { loop.stop(); });
    loop.run();
  }
};

// Calls are charged for by kind, refused ones too, so each must be counted once
// with how it ended.
TEST(CallRecords, EachCallIsCountedOnceByKindAndOutcome)
{
  std::vector<http::Response> answers{
    { 200, {}, R"({"revision":7,"items":[]})" },
    { 200, {}, R"({"revision":8,"items":[{"key":"a","value":"w",
                   "revision":8}]})" },
    { 200, {}, R"({"revision":8,"items":[]})" },
    { 410, {}, "" },
    { 429, {}, "" },
    { 409, {}, "" },
    { 200, {}, R"({"lease":"l1"})" },
    { 200, {}, "{}" }
  };
  std::size_t next = 0;
  http::Server server(loop, {}, [&](const http::Request&, const auto& aOut) {
    aOut->reply(answers.at(next++));
  });
  CHECK(bool(server.listen(address)));
  const auto ignore = [](const auto&) {};
  client.list("op/", ignore, "start");
  runFor(50ms);
  for (int watches = 0; watches < 3; ++watches) {
    client.watch("op/", { 7, 0 }, 100ms, ignore, "wait");
    runFor(30ms);
  }
  client.write("k", "v", 0, "", ignore);
  runFor(30ms);
  client.write("k", "v", 3, "", ignore);
  runFor(30ms);
  client.grantLease(1s, ignore, "ownership");
  runFor(30ms);
  client.renewLease("l1", ignore, "ownership");
  runFor(30ms);
  LONGS_EQUAL(answers.size(), next);
  STRCMP_EQUAL("list/answered/op//start=1 watch/news/op//wait=1 "
               "watch/no-news/op//wait=1 watch/negative/op//wait=1 "
               "write/negative/k/=1 write/refused/k/=1 "
               "lease/answered/ownership/grant=1 "
               "renewal/answered/ownership/=1",
               summary.takeText().c_str());
  CHECK(summary.empty());
}

// A call that is sent again is charged for twice.
TEST(CallRecords, RepetitionOfAnOverdueCallCountsToo)
{
  PartlySilentServer server(loop, address);
  server.silent = [](std::size_t aNumber) { return aNumber == 1; };
  client.watch(
    "op/", { 3, 0 }, 100ms, [](const auto&) {}, "wait");
  runFor(100ms + kTimeout);
  LONGS_EQUAL(2, server.requests.size());
  STRCMP_EQUAL("watch/no-news/op//overdue=1 watch/dropped/op//wait=1",
               summary.takeText().c_str());
}

// A store that does not answer, or is not there, is charged for like any other.
TEST(CallRecords, CallsOfAnOutageAreCounted)
{
  client.write("k", "v", 0, "", [](const auto&) {});
  runFor(50ms);
  {
    PartlySilentServer server(loop, address);
    server.silent = [](std::size_t) { return true; };
    client.list(
      "op/", [](const auto&) {}, "start");
    runFor(2 * kTimeout);
  }
  STRCMP_EQUAL("list/unanswered/op//start=1 write/refused/k/=1",
               summary.takeText().c_str());
}

int
main(int aCount, char** aValues)
{
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
