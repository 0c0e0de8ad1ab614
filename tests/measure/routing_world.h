/** @file Entry VMs and engines of a deployment in virtual time. */
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

struct Scenario
{
  std::string deployment;
  std::string name;
  int replicas = 12;             ///< of one model, in three data centres
  base::Duration reportLag{};    ///< besides the period of 500 ms
  double load = 0.85;            ///< of what the engines can serve
  double busiestShare = 1.0 / 3; ///< of the requests, at the first data centre
  bool slowEngine = false;
  bool cutOff = false;    ///< the third data centre reaches only itself
  double floodFactor = 1; ///< of the first team's rate
};

struct Figures
{
  int offered = 0;
  int inTime = 0;
  int refused = 0;
  double worstTeam = 1; ///< in-time share of the team that is served worst
  double perAccelerator = 0;
};

namespace world {

using namespace std::chrono_literals;
using routing::StrategyKind;

inline constexpr int kDataCentres = 3;
inline constexpr int kVms = 6;
inline constexpr int kTeams = 5;
inline constexpr int kPrefixes = 240;
inline constexpr int kAdapterCount = 40;
inline constexpr double kMeanTokens = 100;
inline constexpr base::Duration kStep = 5ms;
inline constexpr base::Duration kLength = 120s;
inline constexpr base::Duration kReportPeriod = 500ms;
inline constexpr base::Duration kLink = 24ms;
inline constexpr base::Duration kDeadline = 5s;

/** Requests a second that one engine serves when its batch is full: 8 of them
 * take 100 tokens at 39 tokens a second and about 0.6 s for the prompt. */
inline constexpr double kEngineRequestsPerSecond = 8 / (100 / 39.3 + 0.6);

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

struct Report
{
  base::TimePoint at;
  int load = 0;
};

/** What one VM knows of one engine. */
struct View
{
  int inflight = 0;
  Report report;
  routing::OthersLoad others;
  double meanSeconds = 0;
};

class World
{
public:
  World(const Scenario& aScenario, StrategyKind aKind, std::uint64_t aSeed)
    : mScenario(aScenario)
    , mOurs(aKind == StrategyKind::Marigold)
    , mRandom(aSeed)
    , mHistory(static_cast<std::size_t>(aScenario.replicas))
  {
    for (int number = 0; number < aScenario.replicas; ++number) {
      const bool slow = aScenario.slowEngine && number == 0;
      mEngines.emplace_back(slow ? 4 : 1);
    }
    for (int vm = 0; vm < kVms; ++vm) {
      mStrategies.push_back(
        routing::makeStrategy(aKind, aSeed + static_cast<std::uint64_t>(vm)));
      mQueues.emplace_back(512);
      const double rate = teamRate() / kVms;
      for (int team = 0; team < kTeams; ++team) {
        mQueues.back().setRate(std::to_string(team), rate);
      }
    }
    mViews.assign(kVms, std::vector<View>(mEngines.size()));
    mPrefixes.resize(kVms);
  }

  Figures run()
  {
    const int steps = static_cast<int>(kLength / kStep);
    for (int step = 0; step < steps; ++step) {
      mNow += kStep;
      arrive();
      if (mNow.time_since_epoch() % kReportPeriod == 0ms) {
        report();
      }
      for (int vm = 0; mOurs && vm < kVms; ++vm) {
        serveQueue(vm);
      }
      work();
      giveUp();
    }
    return figures();
  }

private:
  /** Requests a second of one team at its rate. */
  double teamRate() const
  {
    return mScenario.load * kEngineRequestsPerSecond * mScenario.replicas /
           kTeams;
  }

  void arrive()
  {
    for (int team = 0; team < kTeams; ++team) {
      const double factor = team == 0 ? mScenario.floodFactor : 1;
      if (mRandom.chance(teamRate() * factor * base::inSeconds(kStep))) {
        add(team);
      }
    }
  }

  void add(int aTeam)
  {
    Request request;
    const bool busiest = mRandom.chance(mScenario.busiestShare);
    const int dataCentre =
      busiest ? 0 : 1 + static_cast<int>(mRandom.below(kDataCentres - 1));
    request.vm = dataCentre * 2 + static_cast<int>(mRandom.below(2));
    request.team = aTeam;
    request.job.id = ++mNextId;
    // The square prefers low numbers: a few prompts are common.
    const double skew = mRandom.unit();
    request.job.prefix = static_cast<int>(skew * skew * kPrefixes);
    request.job.adapter = static_cast<int>(mRandom.below(kAdapterCount));
    request.job.tokens = kMeanTokens * (0.5 + mRandom.unit());
    request.arrival = mNow;
    request.deadline = mNow + kDeadline;
    ++mOffered[aTeam];
    mRequests[request.job.id] = request;
    if (!mOurs || mQueues[static_cast<std::size_t>(request.vm)].size() > 0 ||
        !send(mRequests[request.job.id])) {
      enqueueOrSend(mRequests[request.job.id]);
    }
  }

  void enqueueOrSend(Request& aRequest)
  {
    if (!mOurs) {
      send(aRequest);
      return;
    }
    const auto offered = mQueues[static_cast<std::size_t>(aRequest.vm)].offer(
      { std::to_string(aRequest.job.id),
        std::to_string(aRequest.team),
        1,
        1,
        aRequest.deadline,
        leastTime(aRequest.vm) },
      mNow);
    if (offered.displaced) {
      refuse(std::stoull(offered.displaced->id));
    }
    if (offered.code != base::Code::Ok) {
      refuse(aRequest.job.id);
    }
  }

  base::Duration leastTime(int aVm) const
  {
    double least = 0;
    for (const View& view : mViews[static_cast<std::size_t>(aVm)]) {
      if (view.meanSeconds > 0 && (least == 0 || view.meanSeconds < least)) {
        least = view.meanSeconds;
      }
    }
    return base::fromSeconds(least * kLeastTimeShare);
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
    constexpr int kCut = kDataCentres - 1;
    return !mScenario.cutOff || (from == kCut) == (to == kCut);
  }

  routing::UpstreamView viewOf(const Request& aRequest, std::size_t aEngine)
  {
    const auto vm = static_cast<std::size_t>(aRequest.vm);
    const View& known = mViews[vm][aEngine];
    routing::UpstreamView view;
    view.name = std::to_string(aEngine);
    view.near = dataCentreOf(aEngine) == aRequest.vm / 2;
    view.linkTime = view.near ? base::Duration::zero() : kLink;
    view.reported = known.report.at > base::TimePoint{};
    view.reportAge = mNow - known.report.at;
    view.othersLoad = known.others.value();
    view.capacity = kCapacity;
    view.inflight = known.inflight;
    view.meanTime = base::fromSeconds(known.meanSeconds);
    view.adapterResident = true;
    view.prefixMatch =
      mPrefixes[vm].match(view.name, std::to_string(aRequest.job.prefix), mNow);
    return view;
  }

  /** @return false if ours finds no room */
  bool send(Request& aRequest)
  {
    std::vector<routing::UpstreamView> views;
    std::vector<std::size_t> engines;
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      if (!reachable(aRequest.vm, engine)) {
        continue;
      }
      const routing::UpstreamView view = viewOf(aRequest, engine);
      const bool room = !view.reported ||
                        view.inflight < std::max(1, kCapacity / kVms) ||
                        routing::estimatedLoad(view) < kCapacity;
      if (!mOurs || room) {
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
    mEngines[engine].add(aRequest.job);
    mPrefixes[vm].onSent(
      std::to_string(engine), std::to_string(aRequest.job.prefix), mNow);
    return true;
  }

  void serveQueue(int aVm)
  {
    request::ModelQueue& queue = mQueues[static_cast<std::size_t>(aVm)];
    for (const request::Waiting& late : queue.shed(mNow)) {
      refuse(std::stoull(late.id));
    }
    std::size_t left = queue.size();
    while (left-- > 0) {
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

  void report()
  {
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      mHistory[engine].push_back({ mNow, mEngines[engine].load() });
      while (mHistory[engine].size() > 1 &&
             mHistory[engine][1].at + mScenario.reportLag <= mNow) {
        mHistory[engine].pop_front();
      }
      for (int vm = 0; vm < kVms; ++vm) {
        View& view = mViews[static_cast<std::size_t>(vm)][engine];
        // The entry knows when it asked, not how old the answer was.
        view.report = mHistory[engine].front();
        view.report.at = mNow;
        view.others.onReport(view.report.load, view.inflight);
      }
    }
  }

  void work()
  {
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      for (const std::uint64_t id :
           mEngines[engine].step(base::inSeconds(kStep))) {
        finish(id, engine);
      }
    }
  }

  void finish(std::uint64_t aId, std::size_t aEngine)
  {
    const auto found = mRequests.find(aId);
    if (found == mRequests.end()) {
      return;
    }
    const Request& request = found->second;
    const bool near = dataCentreOf(aEngine) == request.vm / 2;
    const base::TimePoint answered = mNow + (near ? 0ms : 2 * kLink);
    if (answered <= request.deadline) {
      ++mInTime[request.team];
    }
    View& view = mViews[static_cast<std::size_t>(request.vm)][aEngine];
    --view.inflight;
    const double seconds = base::inSeconds(mNow - request.sentAt);
    view.meanSeconds =
      view.meanSeconds == 0 ? seconds : view.meanSeconds * 0.9 + seconds * 0.1;
    mRequests.erase(found);
  }

  /** Every policy cancels what is past its deadline. */
  void giveUp()
  {
    for (auto item = mRequests.begin(); item != mRequests.end();) {
      const Request& request = item->second;
      if (request.deadline > mNow || !request.engine) {
        ++item;
        continue;
      }
      mEngines[*request.engine].cancel(request.job.id);
      View& view =
        mViews[static_cast<std::size_t>(request.vm)][*request.engine];
      --view.inflight;
      const double seconds = base::inSeconds(mNow - request.sentAt);
      view.meanSeconds = std::max(view.meanSeconds, seconds);
      item = mRequests.erase(item);
    }
  }

  Figures figures() const
  {
    Figures figures;
    for (int team = 0; team < kTeams; ++team) {
      const int offered = mOffered.contains(team) ? mOffered.at(team) : 0;
      const int inTime = mInTime.contains(team) ? mInTime.at(team) : 0;
      figures.offered += offered;
      figures.inTime += inTime;
      if (offered > 0) {
        figures.worstTeam =
          std::min(figures.worstTeam, static_cast<double>(inTime) / offered);
      }
    }
    figures.refused = mRefused;
    figures.perAccelerator =
      static_cast<double>(figures.inTime) / mScenario.replicas;
    return figures;
  }

  /** As in the entry process. */
  static constexpr double kLeastTimeShare = request::kLeastTimeShare;

  Scenario mScenario;
  bool mOurs;
  base::Random mRandom;
  base::TimePoint mNow;
  std::vector<EngineModel> mEngines;
  std::vector<std::deque<Report>> mHistory;
  std::vector<std::unique_ptr<routing::Strategy>> mStrategies;
  std::vector<request::ModelQueue> mQueues;
  std::vector<std::vector<View>> mViews;
  std::vector<routing::PrefixIndex> mPrefixes;
  std::map<std::uint64_t, Request> mRequests;
  std::map<int, int> mOffered;
  std::map<int, int> mInTime;
  int mRefused = 0;
  std::uint64_t mNextId = 0;
};

} // namespace world

/** @param aScenario scenario @param aKind strategy @param aSeed seed
 * @return what callers saw in 120 s */
inline Figures
run(const Scenario& aScenario, routing::StrategyKind aKind, std::uint64_t aSeed)
{
  return world::World(aScenario, aKind, aSeed).run();
}

} // namespace marigold::measure
