/** @file Tests of which upstreams serve few of their callers. */
#include "dispatch/dispatch.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;
using dispatch::ServedAnswers;
using dispatch::Service;
using peers::AnswerCounts;

TEST_GROUP(ServedAnswers)
{
  ServedAnswers answers;
  TimePoint now{ 1000s };

  void add(peers::ProcessTag aProcess, Service aService, unsigned aCount)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      answers.onAnswer(aProcess, aService, now);
    }
  }
};

// Guards against an upstream that is held to a trouble that has ended, or to
// its service before a trouble.
TEST(ServedAnswers, CountsTheAnswersOfTheLastSeconds)
{
  add(1, Service::Served, 3);
  now += 1s;
  add(1, Service::Failed, 2);
  CHECK((answers.counts(1, now) == AnswerCounts{ 3, 2 }));
  CHECK((answers.counts(1, now + 1s) == AnswerCounts{ 3, 2 }));
  CHECK((answers.counts(1, now + 2s) == AnswerCounts{ 0, 2 }));
  CHECK((answers.counts(1, now + 3s) == AnswerCounts{}));
  CHECK((answers.counts(2, now) == AnswerCounts{}));
}

// Guards against counts of long ago that come back once the window has gone
// around.
TEST(ServedAnswers, ForgetsWhatIsOlderThanTheWindow)
{
  for (const auto pause : { 3s, 4s, 5s, 60s }) {
    add(1, Service::Failed, 5);
    now += pause;
    add(1, Service::Served, 1);
    CHECK((answers.counts(1, now) == AnswerCounts{ 1, 0 }));
    now += 10s;
    CHECK((answers.counts(1, now) == AnswerCounts{}));
  }
}

// Guards against memory that grows with each restart of an upstream.
TEST(ServedAnswers, ExpiresWithTheWindow)
{
  add(1, Service::Served, 1);
  answers.expire(now + 2s);
  CHECK((answers.counts(1, now + 2s) == AnswerCounts{ 1, 0 }));
  answers.expire(now + 4s);
  CHECK((answers.counts(1, now) == AnswerCounts{}));
}

TEST_GROUP(ImpairedUpstreams){};

// Two of three upstreams answer errors to all; callers are kept away from them,
// so that they answer little. Guards against taking them for replacements of
// the third.
TEST(ImpairedUpstreams, AreThoseThatServeFewBesideOthersThatServe)
{
  const auto impaired = dispatch::impairedUpstreams(
    { { "a", { 0, 6 } }, { "b", { 1, 5 } }, { "c", { 40, 1 } } });
  CHECK((impaired == std::set<base::UpstreamName>{ "a", "b" }));
}

// Guards against a plan of a service whose upstreams all reject or err, as in
// a flood, that counts none or only some of them.
TEST(ImpairedUpstreams, AreNoneIfAllFailAlike)
{
  CHECK(dispatch::impairedUpstreams(
          { { "a", { 2, 20 } }, { "b", { 3, 20 } }, { "c", { 2, 16 } } })
          .empty());
  CHECK(dispatch::impairedUpstreams({ { "a", { 0, 20 } }, { "b", { 0, 20 } } })
          .empty());
  CHECK(dispatch::impairedUpstreams({ { "a", { 0, 20 } } }).empty());
}

// A stream counts as served at its first event and as failed when it breaks
// off. Guards against an engine that breaks off all of them and replaces one
// that serves.
TEST(ImpairedUpstreams, AreThoseThatBreakOffEachStream)
{
  const auto impaired =
    dispatch::impairedUpstreams({ { "a", { 8, 8 } }, { "b", { 40, 0 } } });
  CHECK((impaired == std::set<base::UpstreamName>{ "a" }));
}

// Guards against judging by a few answers, or by some errors among many.
TEST(ImpairedUpstreams, AreNoneWithFewAnswersOrFewErrors)
{
  CHECK(dispatch::impairedUpstreams({ { "a", { 0, 3 } }, { "b", { 40, 0 } } })
          .empty());
  CHECK(dispatch::impairedUpstreams({ { "a", { 6, 5 } }, { "b", { 40, 0 } } })
          .empty());
}
