/** @file Simulates entry VMs and engines of a deployment in virtual time. */
#pragma once

#include "dispatch/dispatch.h"
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
  base::Duration reportLag{}; ///< of what VMs tell each other
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

/** How a VM chooses an engine. */
enum class RoutingPolicy : std::uint8_t
{
  Marigold, ///< dispatch::chooseUpstream, as the gateway calls it
  RoundRobin,
  LeastConnections,
};

namespace simulation {

using namespace std::chrono_literals;

inline constexpr int kDataCentres = 3;
inline constexpr int kVms = 6;
inline constexpr int kTeams = 5;
inline constexpr int kPrefixCount = 240;
inline constexpr int kAdapterCount = 40;
inline constexpr double kMeanOutputTokens = 100;
inline constexpr base::Duration kStep = 5ms;
inline constexpr base::Duration kRunDuration = 120s;
inline constexpr base::Duration kStatusPeriod = 100ms; ///< as of peers
inline constexpr base::Duration kInterDataCentreDelay = 24ms;
inline constexpr base::Duration kDeadline = 5s;
/** Latest expected first token: the rest of an answer takes up to 4 s. */
inline constexpr base::Duration kLatestStart = 1500ms;
/** Of another data centre, as the gateway has it for another region. */
inline constexpr double kRemoteCostMs = 60;
/** Load that an engine reported is used for this long, as by the gateway. */
inline constexpr base::Duration kMaxReportedLoadAge = 400ms;
inline constexpr const char* kModel = "m";

/** Requests per second of one engine with a full batch: 8 requests, each of
 * 100 tokens at 39 tokens per second and about 0.6 s of prefill. */
inline constexpr double kEngineRequestsPerSecond = 8 / (100 / 39.3 + 0.6);

/** A request that runs or waits on an engine. */
struct Request
{
  int vm = 0;
  int team = 0;
  Job job;
  base::TimePoint deadline;
  std::size_t engine = 0;
  base::TimePoint sentAt;
  double processingMs = 0; ///< estimated, less cached prefix
  double queuedAheadMs = 0;
  bool begun = false;
};

/** What a VM tells of its requests at an engine. */
struct VmLoad
{
  unsigned running = 0;
  double queuedMs = 0; ///< work of requests without a first token
};

/** Load that an engine told in the head of an answer. */
struct ReportedLoad
{
  base::TimePoint at;
  unsigned requests = 0;
};

/** What one entry VM has learnt. */
struct VmState
{
  std::vector<VmLoad> own;                  ///< by engine
  std::vector<ReportedLoad> reported;       ///< by engine
  std::deque<std::vector<VmLoad>> statuses; ///< newest last, one a period
  dispatch::LatencyEstimator latency;
  dispatch::PrefixIndex prefixes;
  dispatch::OutlierDetector health;
  std::size_t turn = 0; ///< of round robin and least connections
};

/** Runs one scenario under one policy. */
class RoutingSimulation
{
public:
  RoutingSimulation(const Scenario& aScenario,
                    RoutingPolicy aPolicy,
                    std::uint64_t aSeed)
    : mScenario(aScenario)
    , mPolicy(aPolicy)
    , mRandom(aSeed)
    , mTieBreak(aSeed + 1)
    , mVms(kVms)
  {
    for (int number = 0; number < aScenario.replicas; ++number) {
      const bool slow = aScenario.slowFirstEngine && number == 0;
      mEngines.emplace_back(slow ? 4 : 1);
    }
    for (VmState& vm : mVms) {
      vm.own.resize(mEngines.size());
      vm.reported.resize(mEngines.size());
    }
  }

  RoutingResult run()
  {
    const int steps = static_cast<int>(kRunDuration / kStep);
    for (int step = 0; step < steps; ++step) {
      mNow += kStep;
      generateRequests();
      if (mNow.time_since_epoch() % kStatusPeriod == 0ms) {
        reportStatuses();
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
    request.deadline = mNow + kDeadline;
    ++mOffered[aTeam];
    if (!send(request)) {
      ++mRefused;
    }
  }

  int dataCentreOf(std::size_t aEngine) const
  {
    return static_cast<int>(aEngine) % kDataCentres;
  }

  bool connected(int aFrom, int aTo) const
  {
    constexpr int kIsolatedDataCentre = kDataCentres - 1;
    return !mScenario.isolateThirdDataCentre ||
           (aFrom == kIsolatedDataCentre) == (aTo == kIsolatedDataCentre);
  }

  std::vector<std::size_t> reachableEngines(int aVm) const
  {
    std::vector<std::size_t> engines;
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      if (connected(aVm / 2, dataCentreOf(engine))) {
        engines.push_back(engine);
      }
    }
    return engines;
  }

  static std::vector<catalog::PromptPart> promptOf(const Request& aRequest)
  {
    constexpr std::uint64_t kFirstOwnPart = 1000000;
    return { { static_cast<std::uint64_t>(aRequest.job.prefix) + 1,
               kCacheableTokens },
             { kFirstOwnPart + aRequest.job.id, kOwnTokens } };
  }

  /** @return what a VM knows of the requests of another one at an engine */
  VmLoad loadOfPeer(int aVm, std::size_t aEngine) const
  {
    const auto& statuses = mVms[static_cast<std::size_t>(aVm)].statuses;
    return statuses.empty() ? VmLoad{} : statuses.front()[aEngine];
  }

  /** As Exchange::makeCandidate. */
  dispatch::Candidate makeCandidate(const Request& aRequest,
                                    std::size_t aEngine) const
  {
    const VmState& vm = mVms[static_cast<std::size_t>(aRequest.vm)];
    const std::string name = std::to_string(aEngine);
    dispatch::Candidate candidate;
    candidate.index = aEngine;
    candidate.slots = kEngineCapacity;
    candidate.running = vm.own[aEngine].running;
    candidate.queuedMs = vm.own[aEngine].queuedMs;
    for (int peer = 0; peer < kVms; ++peer) {
      if (peer != aRequest.vm && connected(aRequest.vm / 2, peer / 2)) {
        const VmLoad load = loadOfPeer(peer, aEngine);
        candidate.running += load.running;
        candidate.queuedMs += load.queuedMs;
      }
    }
    const ReportedLoad& reported = vm.reported[aEngine];
    if (mNow - reported.at < kMaxReportedLoadAge) {
      candidate.running = std::max(candidate.running, reported.requests);
    }
    const std::uint32_t cached =
      vm.prefixes.cachedTokens(name, kModel, promptOf(aRequest));
    candidate.processingMs =
      (kCacheableTokens + kOwnTokens - cached) * vm.latency.msPerToken(kModel);
    candidate.networkCostMs =
      dataCentreOf(aEngine) == aRequest.vm / 2 ? 0 : kRemoteCostMs;
    candidate.failureRate = vm.health.failureRate(name);
    candidate.ejected = vm.health.ejected(name, mNow);
    return candidate;
  }

  /** @return the engine for a request, or nothing if none starts it in time */
  std::optional<std::size_t> choose(Request& aRequest)
  {
    VmState& vm = mVms[static_cast<std::size_t>(aRequest.vm)];
    const std::vector<std::size_t> engines = reachableEngines(aRequest.vm);
    if (mPolicy == RoutingPolicy::RoundRobin) {
      return roundRobin(aRequest.vm, engines);
    }
    if (mPolicy == RoutingPolicy::LeastConnections) {
      return leastConnections(vm, engines);
    }
    std::vector<dispatch::Candidate> candidates;
    for (const std::size_t engine : engines) {
      candidates.push_back(makeCandidate(aRequest, engine));
    }
    const auto choice =
      dispatch::chooseUpstream(candidates, {}, mTieBreak.below(kTieBreaks));
    if (!choice || !dispatch::startsInTime(*choice, kLatestStart)) {
      return {};
    }
    const auto chosen =
      std::find_if(candidates.begin(),
                   candidates.end(),
                   [&](const dispatch::Candidate& aCandidate) {
                     return aCandidate.index == choice->index;
                   });
    aRequest.processingMs = chosen->processingMs;
    aRequest.queuedAheadMs = chosen->queuedMs;
    return choice->index;
  }

  /** Takes the engines in turn, those of the own data centre first. */
  std::size_t roundRobin(int aVm, const std::vector<std::size_t>& aEngines)
  {
    std::vector<std::size_t> near;
    for (const std::size_t engine : aEngines) {
      if (dataCentreOf(engine) == aVm / 2) {
        near.push_back(engine);
      }
    }
    const auto& engines = near.empty() ? aEngines : near;
    return engines[mVms[static_cast<std::size_t>(aVm)].turn++ % engines.size()];
  }

  /** Takes the engine with the fewest requests of this VM. */
  static std::size_t leastConnections(VmState& aVm,
                                      const std::vector<std::size_t>& aEngines)
  {
    // Starts at another place each time, so that equal ones take turns.
    const std::size_t start = aVm.turn++;
    std::size_t best = aEngines[start % aEngines.size()];
    for (std::size_t step = 1; step < aEngines.size(); ++step) {
      const std::size_t engine = aEngines[(start + step) % aEngines.size()];
      if (aVm.own[engine].running < aVm.own[best].running) {
        best = engine;
      }
    }
    return best;
  }

  /** @return false if no engine can take the request */
  bool send(Request& aRequest)
  {
    const auto engine = choose(aRequest);
    if (!engine) {
      return false;
    }
    aRequest.engine = *engine;
    aRequest.sentAt = mNow;
    VmState& vm = mVms[static_cast<std::size_t>(aRequest.vm)];
    ++vm.own[*engine].running;
    vm.own[*engine].queuedMs += aRequest.processingMs;
    vm.prefixes.recordPrompt(
      std::to_string(*engine), kModel, promptOf(aRequest));
    mEngines[*engine].enqueue(aRequest.job);
    mRequests[aRequest.job.id] = aRequest;
    return true;
  }

  void reportStatuses()
  {
    const auto lag =
      static_cast<std::size_t>(mScenario.reportLag / kStatusPeriod);
    for (VmState& vm : mVms) {
      vm.statuses.push_back(vm.own);
      while (vm.statuses.size() > lag + 1) {
        vm.statuses.pop_front();
      }
    }
  }

  void stepEngines()
  {
    for (EngineModel& engine : mEngines) {
      const auto progress = engine.step(base::inSeconds(kStep));
      for (const std::uint64_t id : progress.begun) {
        onFirstToken(id);
      }
      for (const std::uint64_t id : progress.completed) {
        onCompleted(id);
      }
    }
  }

  void onFirstToken(std::uint64_t aId)
  {
    const auto found = mRequests.find(aId);
    if (found == mRequests.end()) {
      return;
    }
    Request& request = found->second;
    VmState& vm = mVms[static_cast<std::size_t>(request.vm)];
    request.begun = true;
    vm.own[request.engine].queuedMs -= request.processingMs;
    vm.latency.onFirstToken(kModel,
                            request.processingMs /
                              vm.latency.msPerToken(kModel),
                            request.queuedAheadMs,
                            mNow - request.sentAt);
    vm.health.onSuccess(std::to_string(request.engine), mNow);
    vm.reported[request.engine] = {
      mNow, static_cast<unsigned>(mEngines[request.engine].load())
    };
  }

  void onCompleted(std::uint64_t aId)
  {
    const auto found = mRequests.find(aId);
    if (found == mRequests.end()) {
      return;
    }
    const Request& request = found->second;
    const bool near = dataCentreOf(request.engine) == request.vm / 2;
    const base::TimePoint answered =
      mNow + (near ? 0ms : 2 * kInterDataCentreDelay);
    if (answered <= request.deadline) {
      ++mInTime[request.team];
    }
    forget(request);
    mRequests.erase(found);
  }

  /** Ends the account of a request that has ended. */
  void forget(const Request& aRequest)
  {
    VmLoad& load =
      mVms[static_cast<std::size_t>(aRequest.vm)].own[aRequest.engine];
    --load.running;
    load.queuedMs -= aRequest.begun ? 0 : aRequest.processingMs;
  }

  /** Cancels running requests past their deadline, under every policy. */
  void cancelExpired()
  {
    for (auto item = mRequests.begin(); item != mRequests.end();) {
      const Request& request = item->second;
      if (request.deadline > mNow) {
        ++item;
        continue;
      }
      mEngines[request.engine].cancel(request.job.id);
      mVms[static_cast<std::size_t>(request.vm)].health.onFailure(
        std::to_string(request.engine), mNow);
      forget(request);
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

  static constexpr std::uint64_t kTieBreaks = 1UL << 32U;

  Scenario mScenario;
  RoutingPolicy mPolicy;
  base::Random mRandom;
  base::Random mTieBreak; ///< so that all policies meet the same requests
  base::TimePoint mNow;
  std::vector<EngineModel> mEngines;
  std::vector<VmState> mVms;
  std::map<std::uint64_t, Request> mRequests;
  std::map<int, int> mOffered;
  std::map<int, int> mInTime;
  int mRefused = 0;
  std::uint64_t mLastRequestId = 0;
};

} // namespace simulation

/** @param aScenario scenario @param aPolicy policy @param aSeed seed
 * @return the outcome of 120 s of virtual time */
inline RoutingResult
run(const Scenario& aScenario, RoutingPolicy aPolicy, std::uint64_t aSeed)
{
  return simulation::RoutingSimulation(aScenario, aPolicy, aSeed).run();
}

} // namespace marigold::measure
