/** @file Sends the planned requests on time and records what comes back. */
#pragma once

#include "apps/load/answer_check.h"
#include "apps/load/measures.h"

#include <functional>
#include <map>
#include <memory>

namespace marigold::load {

/** Open loop: a slow answer never delays a later request. */
class Runner
{
public:
  /** @param aLoop loop @param aScenario scenario @param aPlan its requests */
  Runner(http::Loop& aLoop,
         const Scenario& aScenario,
         const std::vector<Planned>& aPlan);

  /** @param aDone runs when every request has ended or its time is over */
  void start(std::function<void()> aDone);

  /** @return what callers saw, one for each planned request */
  const std::vector<Seen>& seen() const { return mSeen; }

private:
  struct Open
  {
    AnswerCheck check;
    base::Duration lastEvent = base::Duration::zero();
    std::unique_ptr<http::Call> call;
  };

  base::Duration elapsed() const;
  void sendDue();
  void send(std::size_t aIndex);
  void onChunk(std::size_t aIndex, std::string_view aBytes);
  void onDone(std::size_t aIndex,
              http::CallEnd aEnd,
              const http::Response& aAnswer);

  http::Loop& mLoop;
  const Scenario& mScenario;
  const std::vector<Planned>& mPlan;
  http::Client mClient;
  std::vector<Seen> mSeen;
  std::map<std::size_t, Open> mOpen;
  std::size_t mNext = 0;
  base::TimePoint mStart;
  std::function<void()> mDone;
  http::EventHandle mTimer;
};

/** Asks upstreams for their records, one after the other. */
class RecordReader
{
public:
  /** @param aLoop loop @param aScenario addresses of the upstreams */
  RecordReader(http::Loop& aLoop, const Scenario& aScenario);

  /** @param aDone gets the records; loads since the start of the engines */
  void start(std::function<void(const UpstreamRecords&)> aDone);

private:
  struct Question
  {
    http::Address address;
    std::string path;
    bool engine = false;
  };

  void next();
  void read(const Question& aQuestion, const std::string& aBody);

  http::Loop& mLoop;
  http::Client mClient;
  std::vector<Question> mQuestions;
  std::size_t mNext = 0;
  UpstreamRecords mRecords;
  std::unique_ptr<http::Call> mCall;
  std::function<void(const UpstreamRecords&)> mDone;
};

} // namespace marigold::load
