#include "apps/load/plan.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace marigold::load {
namespace {

using nlohmann::json;

constexpr int kTargets = 40;

/** A repeat follows its booking by up to this. */
constexpr double kLongestRepeatSeconds = 0.5;

std::size_t
drawWork(const TeamLoad& aTeam, base::Random& aRandom)
{
  double total = 0;
  for (const Work& work : aTeam.mix) {
    total += work.weight;
  }
  double rest = aRandom.unit() * total;
  for (std::size_t index = 0; index < aTeam.mix.size(); ++index) {
    rest -= aTeam.mix[index].weight;
    if (rest < 0) {
      return index;
    }
  }
  return aTeam.mix.size() - 1;
}

std::string
repeated(const std::string& aText, int aBytes)
{
  std::string filled;
  while (filled.size() < static_cast<std::size_t>(aBytes)) {
    filled += aText;
  }
  filled.resize(static_cast<std::size_t>(aBytes));
  return filled;
}

class TeamPlanner
{
public:
  TeamPlanner(const Scenario& aScenario, std::size_t aTeam)
    : mScenario(aScenario)
    , mIndex(aTeam)
    , mTeam(aScenario.teams[aTeam])
    , mRandom(base::hash64(mTeam.name, aScenario.seed))
  {
  }

  /** Poisson arrivals whose rate follows the shape, by thinning. */
  void addTo(std::vector<Planned>& aPlan)
  {
    const double highest =
      mTeam.shape.perSecond * std::max(1.0, mTeam.shape.peak);
    if (highest <= 0 || mTeam.mix.empty()) {
      return;
    }
    const double end = base::inSeconds(mScenario.duration);
    double at = 0;
    while (static_cast<std::int64_t>(aPlan.size()) <
           mScenario.maxRequests * 2) {
      at -= std::log(1 - mRandom.unit()) / highest;
      if (at >= end) {
        return;
      }
      const base::Duration time = base::fromSeconds(at);
      if (mRandom.unit() * highest < rateAt(mTeam.shape, time)) {
        add(time, aPlan);
      }
    }
  }

private:
  std::size_t drawEntry()
  {
    return mTeam.entries[mRandom.below(mTeam.entries.size())];
  }

  void add(base::Duration aAt, std::vector<Planned>& aPlan)
  {
    Planned planned;
    planned.at = aAt;
    planned.team = mIndex;
    planned.work = drawWork(mTeam, mRandom);
    const Work& work = mTeam.mix[planned.work];
    planned.entry = drawEntry();
    planned.reference = mTeam.name + "-" + std::to_string(mScenario.seed) +
                        "-" + std::to_string(mNext++);
    planned.prefix = static_cast<int>(
      mRandom.below(static_cast<std::uint64_t>(std::max(1, work.prefixes))));
    planned.target = static_cast<int>(mRandom.below(kTargets));
    const double delay = mRandom.unit() * kLongestRepeatSeconds;
    const bool again = mRandom.chance(work.repeats);
    if (work.kind == Kind::Booking) {
      planned.idempotencyKey = "load-" + planned.reference;
    }
    aPlan.push_back(planned);
    if (work.kind == Kind::Booking && again) {
      planned.at = aAt + base::fromSeconds(delay);
      planned.entry = drawEntry();
      aPlan.push_back(planned);
    }
  }

  const Scenario& mScenario;
  std::size_t mIndex;
  const TeamLoad& mTeam;
  base::Random mRandom;
  std::uint64_t mNext = 0;
};

} // namespace

std::vector<Planned>
makePlan(const Scenario& aScenario)
{
  std::vector<Planned> plan;
  for (std::size_t team = 0; team < aScenario.teams.size(); ++team) {
    std::vector<Planned> own;
    TeamPlanner(aScenario, team).addTo(own);
    plan.insert(plan.end(), own.begin(), own.end());
  }
  std::stable_sort(
    plan.begin(), plan.end(), [](const Planned& aLeft, const Planned& aRight) {
      return aLeft.at < aRight.at;
    });
  if (static_cast<std::int64_t>(plan.size()) > aScenario.maxRequests) {
    plan.resize(static_cast<std::size_t>(aScenario.maxRequests));
  }
  return plan;
}

http::Request
requestOf(const Scenario& aScenario, const Planned& aPlanned)
{
  const TeamLoad& team = aScenario.teams[aPlanned.team];
  const Work& work = team.mix[aPlanned.work];
  http::Request request;
  request.headers = { { "Authorization", "Bearer " + team.key } };
  const std::string marker = "[[ref:" + aPlanned.reference + "]]";
  if (work.kind == Kind::Lookup) {
    request.path = work.path + "/" + std::to_string(aPlanned.target);
    request.query = "ref=" + http::percentEncode(marker);
    return request;
  }
  request.method = "POST";
  if (work.kind == Kind::Booking) {
    request.path = work.path;
    request.headers.emplace_back("Idempotency-Key", aPlanned.idempotencyKey);
    request.body =
      json{ { "target", aPlanned.target }, { "ref", marker } }.dump();
    return request;
  }
  request.path = "/v1/chat/completions";
  const std::string prompt =
    repeated(work.model + " prefix " + std::to_string(aPlanned.prefix) + " ",
             work.prefixBytes) +
    marker + repeated(" " + aPlanned.reference, work.promptBytes);
  request.body = json{
    { "model", work.model },
    { "max_tokens", work.tokens },
    { "stream", work.kind == Kind::Stream },
    { "messages", { { { "role", "user" }, { "content", prompt } } } }
  }.dump();
  return request;
}

} // namespace marigold::load
