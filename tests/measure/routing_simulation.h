/** @file Simulates entry VMs and engines of a deployment in virtual time. */
#pragma once

#include "request/request.h"
#include "routing/routing.h"
#include "tests/measure/engine_model.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigold::measure {

/** Load and faults of one run. */
struct Scenario
{
  std::string deployment;
  std::string name;
  int replicas = 12;          ///< of one model, over three data centres
  base::Duration reportLag{}; ///< on top of the period of 500 ms
  double load = 0.85;         ///< share of the capacity of all engines
  double firstDataCentreShare = 1.0 / 3; ///< of all requests
  bool slowFirstEngine = false;
  bool isolateThirdDataCentre = false; ///< no links to the others
  double floodFactor = 1;              ///< multiplies the first team's rate
};

/** Outcome of one run. */
struct RoutingResult
{
  int offered = 0;
  int inTime = 0;
  int refused = 0;
  double worstTeam = 1; ///< lowest in-time share of any team
  double perAccelerator = 0;
};

namespace simulation {

using namespace std::chrono_literals;
using routing::StrategyKind;

inline constexpr int kDataCentres = 3;
inline constexpr int kVms = 6;
inline constexpr int kTeams = 5;
inline constexpr int kPrefixCount = 240;
inline constexpr int kAdapterCount = 40;
inline constexpr double kMeanOutputTokens = 100;
inline constexpr base::Duration kStep = 5ms;
inline constexpr base::Duration kRunDuration = 120s;
inline constexpr base::Duration kReportPeriod = 500ms;
inline constexpr base::Duration kInterDataCentreDelay = 24ms;
inline constexpr base::Duration kDeadline = 5s;

/** Requests per second of one engine with a full batch: 8 requests, each of
 * 100 tokens at 39 tokens per second and about 0.6 s of prefill. */
inline constexpr double kEngineRequestsPerSecond = 8 / (100 / 39.3 + 0.6);

/** A request that is queued at an entry VM or runs on an engine. */
struct Request
{
  int vm = 0;
  int team = 0;
  Job job;
  base::TimePoint arrival;
  base::TimePoint deadline;
  std::optional<std::size_t> engine;
  base::TimePoint sentAt;
};

/** Load that an engine reported. */
struct Report
{
  base::TimePoint at;
  int load = 0;
};

/** State that one entry VM holds about one engine. */
struct EngineView
{
  int inflight = 0;
  Report report;
  routing::OthersLoad othersLoad;
  double meanSeconds = 0;
};

/** Runs one scenario under one routing strategy. */
class RoutingSimulation
{
public:
  RoutingSimulation(const Scenario& aScenario,
                    StrategyKind aKind,
                    std::uint64_t aSeed)
    : mScenario(aScenario)
    , mIsMarigold(aKind == StrategyKind::Marigold)
    , mRandom(aSeed)
    , mReportHistory(static_cast<std::size_t>(aScenario.replicas))
  {
    for (int number = 0; number < aScenario.replicas; ++number) {
      const bool slow = aScenario.slowFirstEngine && number == 0;
      mEngines.emplace_back(slow ? 4 : 1);
    }
    for (int vm = 0; vm < kVms; ++vm) {
      mStrategies.push_back(
        routing::makeStrategy(aKind, aSeed + static_cast<std::uint64_t>(vm)));
      mQueues.emplace_back(512);
      const double rate = teamRequestsPerSecond() / kVms;
      for (int team = 0; team < kTeams; ++team) {
        mQueues.back().setRate(std::to_string(team), rate);
      }
    }
    mViews.assign(kVms, std::vector<EngineView>(mEngines.size()));
    mPrefixIndexes.resize(kVms);
  }

  RoutingResult run()
  {
    const int steps = static_cast<int>(kRunDuration / kStep);
    for (int step = 0; step < steps; ++step) {
      mNow += kStep;
      generateRequests();
      if (mNow.time_since_epoch() % kReportPeriod == 0ms) {
        deliverReports();
      }
      for (int vm = 0; mIsMarigold && vm < kVms; ++vm) {
        serveQueue(vm);
      }
      stepEngines();
      cancelExpired();
    }
    return makeResult();
  }

private:
  /** @return the configured rate of one team in requests per second */
  double teamRequestsPerSecond() const
  {
    return mScenario.load * kEngineRequestsPerSecond * mScenario.replicas /
           kTeams;
  }

  void generateRequests()
  {
    for (int team = 0; team < kTeams; ++team) {
      const double factor = team == 0 ? mScenario.floodFactor : 1;
      if (mRandom.chance(teamRequestsPerSecond() * factor *
                         base::inSeconds(kStep))) {
        addRequest(team);
      }
    }
  }

  void addRequest(int aTeam)
  {
    Request request;
    const bool inFirstDataCentre =
      mRandom.chance(mScenario.firstDataCentreShare);
    const int dataCentre =
      inFirstDataCentre ? 0
                        : 1 + static_cast<int>(mRandom.below(kDataCentres - 1));
    request.vm = dataCentre * 2 + static_cast<int>(mRandom.below(2));
    request.team = aTeam;
    request.job.id = ++mLastRequestId;
    // Squaring skews towards low numbers, so that a few prefixes are frequent.
    const double skew = mRandom.unit();
    request.job.prefix = static_cast<int>(skew * skew * kPrefixCount);
    request.job.adapter = static_cast<int>(mRandom.below(kAdapterCount));
    request.job.tokens = kMeanOutputTokens * (0.5 + mRandom.unit());
    request.arrival = mNow;
    request.deadline = mNow + kDeadline;
    ++mOffered[aTeam];
    mRequests[request.job.id] = request;
    if (!mIsMarigold ||
        mQueues[static_cast<std::size_t>(request.vm)].size() > 0 ||
        !send(mRequests[request.job.id])) {
      dispatchOrEnqueue(mRequests[request.job.id]);
    }
  }

  void dispatchOrEnqueue(Request& aRequest)
  {
    if (!mIsMarigold) {
      send(aRequest);
      return;
    }
    const auto offered = mQueues[static_cast<std::size_t>(aRequest.vm)].offer(
      { std::to_string(aRequest.job.id),
        std::to_string(aRequest.team),
        1,
        1,
        aRequest.deadline,
        leastServiceTime(aRequest.vm) },
      mNow);
    if (offered.displaced) {
      refuse(std::stoull(offered.displaced->id));
    }
    if (offered.code != base::Code::Ok) {
      refuse(aRequest.job.id);
    }
  }

  /** @return an estimate of the shortest possible service time */
  base::Duration leastServiceTime(int aVm) const
  {
    double shortestSeconds = 0;
    for (const EngineView& view : mViews[static_cast<std::size_t>(aVm)]) {
      if (view.meanSeconds > 0 &&
          (shortestSeconds == 0 || view.meanSeconds < shortestSeconds)) {
        shortestSeconds = view.meanSeconds;
      }
    }
    return base::fromSeconds(shortestSeconds * kLeastTimeShare);
  }

  void refuse(std::uint64_t aId)
  {
    ++mRefused;
    mRequests.erase(aId);
  }

  int dataCentreOf(std::size_t aEngine) const
  {
    return static_cast<int>(aEngine) % kDataCentres;
  }

  bool reachable(int aVm, std::size_t aEngine) const
  {
    const int from = aVm / 2;
    const int to = dataCentreOf(aEngine);
    constexpr int kIsolatedDataCentre = kDataCentres - 1;
    return !mScenario.isolateThirdDataCentre ||
           (from == kIsolatedDataCentre) == (to == kIsolatedDataCentre);
  }

  routing::UpstreamView viewOf(const Request& aRequest, std::size_t aEngine)
  {
    const auto vm = static_cast<std::size_t>(aRequest.vm);
    const EngineView& engineView = mViews[vm][aEngine];
    routing::UpstreamView view;
    view.name = std::to_string(aEngine);
    view.near = dataCentreOf(aEngine) == aRequest.vm / 2;
    view.linkTime = view.near ? base::Duration::zero() : kInterDataCentreDelay;
    view.reported = engineView.report.at > base::TimePoint{};
    view.reportAge = mNow - engineView.report.at;
    view.othersLoad = engineView.othersLoad.value();
    view.capacity = kEngineCapacity;
    view.inflight = engineView.inflight;
    view.meanTime = base::fromSeconds(engineView.meanSeconds);
    view.adapterResident = true;
    view.prefixMatch = mPrefixIndexes[vm].match(
      view.name, std::to_string(aRequest.job.prefix), mNow);
    return view;
  }

  /** Sends a request to the engine that the strategy chooses.
   * @return false if no engine can take it; only the strategy marigold checks
   * for free capacity */
  bool send(Request& aRequest)
  {
    std::vector<routing::UpstreamView> views;
    std::vector<std::size_t> engines;
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      if (!reachable(aRequest.vm, engine)) {
        continue;
      }
      const routing::UpstreamView view = viewOf(aRequest, engine);
      const bool hasCapacity =
        !view.reported || view.inflight < std::max(1, kEngineCapacity / kVms) ||
        routing::estimatedLoad(view) < kEngineCapacity;
      if (!mIsMarigold || hasCapacity) {
        views.push_back(view);
        engines.push_back(engine);
      }
    }
    const auto vm = static_cast<std::size_t>(aRequest.vm);
    const auto index = mStrategies[vm]->choose(
      { 1, aRequest.deadline, aRequest.job.adapter != 0 }, views, mNow);
    if (!index) {
      return false;
    }
    const std::size_t engine = engines[*index];
    aRequest.engine = engine;
    aRequest.sentAt = mNow;
    ++mViews[vm][engine].inflight;
    mEngines[engine].enqueue(aRequest.job);
    mPrefixIndexes[vm].onSent(
      std::to_string(engine), std::to_string(aRequest.job.prefix), mNow);
    return true;
  }

  void serveQueue(int aVm)
  {
    request::ModelQueue& queue = mQueues[static_cast<std::size_t>(aVm)];
    for (const request::Waiting& late : queue.shed(mNow)) {
      refuse(std::stoull(late.id));
    }
    std::size_t remaining = queue.size();
    while (remaining-- > 0) {
      const auto next = queue.take(mNow);
      if (!next) {
        return;
      }
      Request& request = mRequests.at(std::stoull(next->id));
      if (!send(request)) {
        queue.offer(*next, mNow);
        return;
      }
    }
  }

  void deliverReports()
  {
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      mReportHistory[engine].push_back({ mNow, mEngines[engine].load() });
      while (mReportHistory[engine].size() > 1 &&
             mReportHistory[engine][1].at + mScenario.reportLag <= mNow) {
        mReportHistory[engine].pop_front();
      }
      for (int vm = 0; vm < kVms; ++vm) {
        EngineView& view = mViews[static_cast<std::size_t>(vm)][engine];
        // An entry VM dates a report by its arrival and cannot see the lag.
        view.report = mReportHistory[engine].front();
        view.report.at = mNow;
        view.othersLoad.onReport(view.report.load, view.inflight);
      }
    }
  }

  void stepEngines()
  {
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      for (const std::uint64_t id :
           mEngines[engine].step(base::inSeconds(kStep))) {
        completeRequest(id, engine);
      }
    }
  }

  void completeRequest(std::uint64_t aId, std::size_t aEngine)
  {
    const auto found = mRequests.find(aId);
    if (found == mRequests.end()) {
      return;
    }
    const Request& request = found->second;
    const bool near = dataCentreOf(aEngine) == request.vm / 2;
    const base::TimePoint answered =
      mNow + (near ? 0ms : 2 * kInterDataCentreDelay);
    if (answered <= request.deadline) {
      ++mInTime[request.team];
    }
    EngineView& view = mViews[static_cast<std::size_t>(request.vm)][aEngine];
    --view.inflight;
    const double seconds = base::inSeconds(mNow - request.sentAt);
    view.meanSeconds =
      view.meanSeconds == 0 ? seconds : view.meanSeconds * 0.9 + seconds * 0.1;
    mRequests.erase(found);
  }

  /** Cancels running requests past their deadline, under every strategy. */
  void cancelExpired()
  {
    for (auto item = mRequests.begin(); item != mRequests.end();) {
      const Request& request = item->second;
      if (request.deadline > mNow || !request.engine) {
        ++item;
        continue;
      }
      mEngines[*request.engine].cancel(request.job.id);
      EngineView& view =
        mViews[static_cast<std::size_t>(request.vm)][*request.engine];
      --view.inflight;
      const double seconds = base::inSeconds(mNow - request.sentAt);
      view.meanSeconds = std::max(view.meanSeconds, seconds);
      item = mRequests.erase(item);
    }
  }

  RoutingResult makeResult() const
  {
    RoutingResult result;
    for (int team = 0; team < kTeams; ++team) {
      const int offered = mOffered.contains(team) ? mOffered.at(team) : 0;
      const int inTime = mInTime.contains(team) ? mInTime.at(team) : 0;
      result.offered += offered;
      result.inTime += inTime;
      if (offered > 0) {
        result.worstTeam =
          std::min(result.worstTeam, static_cast<double>(inTime) / offered);
      }
    }
    result.refused = mRefused;
    result.perAccelerator =
      static_cast<double>(result.inTime) / mScenario.replicas;
    return result;
  }

  /** The same value as in the entry process. */
  static constexpr double kLeastTimeShare = request::kLeastTimeShare;

  Scenario mScenario;
  bool mIsMarigold;
  base::Random mRandom;
  base::TimePoint mNow;
  std::vector<EngineModel> mEngines;
  std::vector<std::deque<Report>> mReportHistory;
  std::vector<std::unique_ptr<routing::Strategy>> mStrategies;
  std::vector<request::ModelQueue> mQueues;
  std::vector<std::vector<EngineView>> mViews;
  std::vector<routing::PrefixIndex> mPrefixIndexes;
  std::map<std::uint64_t, Request> mRequests;
  std::map<int, int> mOffered;
  std::map<int, int> mInTime;
  int mRefused = 0;
  std::uint64_t mLastRequestId = 0;
};

} // namespace world

/** @param aScenario scenario @param aKind strategy @param aSeed seed
 * @return the outcome of 120 s of virtual time */
inline RoutingResult
run(const Scenario& aScenario, routing::StrategyKind aKind, std::uint64_t aSeed)
{
  return simulation::RoutingSimulation(aScenario, aKind, aSeed).run();
}

} // namespace marigold::measure
