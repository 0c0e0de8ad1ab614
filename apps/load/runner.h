/** @file Sends the planned requests on schedule and records the results. */
#pragma once

#include "apps/load/answer_check.h"
#include "apps/load/measures.h"

#include <functional>
#include <map>
#include <memory>

namespace marigold::load {

/** Open-loop sender: a slow answer never delays a later request. */
class Runner
{
public:
  /** @param aLoop event loop @param aScenario scenario @param aPlan its
   * requests in order of time */
  Runner(http::Loop& aLoop,
         const Scenario& aScenario,
         const std::vector<PlannedRequest>& aPlan);

  /** @param aDone called when every request has completed or timed out */
  void start(std::function<void()> aDone);

  /** @return results, one for each planned request */
  const std::vector<RequestResult>& results() const { return mResults; }

private:
  struct OpenRequest
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
  const std::vector<PlannedRequest>& mPlan;
  http::Client mClient;
  std::vector<RequestResult> mResults;
  std::map<std::size_t, OpenRequest> mOpenRequests;
  std::size_t mNext = 0;
  base::TimePoint mStart;
  std::function<void()> mDone;
  http::EventHandle mTimer;
};

/** Fetches the records of the upstreams one at a time. */
class RecordReader
{
public:
  /** @param aLoop loop @param aScenario addresses of the upstreams */
  RecordReader(http::Loop& aLoop, const Scenario& aScenario);

  /** @param aDone receives the records; `loads` counts from the start of the
   * engines */
  void start(std::function<void(const UpstreamRecords&)> aDone);

private:
  struct RecordQuery
  {
    http::Address address;
    std::string path;
    bool engine = false;
  };

  void next();
  void read(const RecordQuery& aQuery, const std::string& aBody);

  http::Loop& mLoop;
  http::Client mClient;
  std::vector<RecordQuery> mQueries;
  std::size_t mNext = 0;
  UpstreamRecords mRecords;
  std::unique_ptr<http::Call> mCall;
  std::function<void(const UpstreamRecords&)> mDone;
};

} // namespace marigold::load
