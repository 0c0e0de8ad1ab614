#include "placement/strategy.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace marigold::placement {
namespace {

/** Demand older than this weighs less than 1/e in the slow average. */
constexpr double kSlowSeconds = 600;
constexpr double kFastSeconds = 60;

/** A replica that is loaded is given up only for one worth this much more, so
 * that noise in the demand moves nothing. */
constexpr double kHysteresis = 2.0;

/** Expected requests per second below which a further replica of a model is
 * not worth a load. */
constexpr double kLeastWorth = 0.05;

/** Weight of a waiting request against one that arrived, in requests/s. */
constexpr double kWaitingWorth = 1.0;

/** Which engines are considered for a copy. */
enum class Where : std::uint8_t
{
  Any,           ///< whether it is resident or not
  ResidentFirst, ///< one that has it already costs no load
  ResidentOnly,
};

using Load = std::map<base::UpstreamName, double>;

/** A plan under construction that never exceeds an engine's memory. */
class Draft
{
public:
  explicit Draft(const Residency& aResidency)
    : mResidency(aResidency)
  {
    for (const auto& [name, engine] : aResidency.engines) {
      mFree[name] = engine.memoryMb;
      mDesired[name];
    }
  }

  bool holds(const base::UpstreamName& aEngine, const ItemName& aItem) const
  {
    return mDesired.at(aEngine).contains(aItem);
  }

  bool place(const base::UpstreamName& aEngine, const ItemName& aItem)
  {
    const int memory = mResidency.declared.at(aItem).memoryMb;
    if (holds(aEngine, aItem) || mFree[aEngine] < memory) {
      return false;
    }
    mFree[aEngine] -= memory;
    mDesired[aEngine].insert(aItem);
    return true;
  }

  /** Places a model and those of its adapters that a predicate selects, before
   * another model takes the memory. */
  template<typename Wanted>
  bool placeModel(const base::UpstreamName& aEngine,
                  const ItemName& aItem,
                  const Wanted& aWanted)
  {
    if (!place(aEngine, aItem)) {
      return false;
    }
    const auto& declared = mResidency.declared;
    for (auto next = declared.upper_bound(aItem);
         next != declared.end() && next->first.model == aItem.model;
         ++next) {
      if (aWanted(aEngine, next->first)) {
        place(aEngine, next->first);
      }
    }
    return true;
  }

  /** @return the least loaded engine with room for a copy */
  std::optional<base::UpstreamName> best(const ItemName& aItem,
                                         Where aWhere,
                                         const Load& aLoad) const
  {
    const int memory = mResidency.declared.at(aItem).memoryMb;
    std::optional<base::UpstreamName> chosen;
    auto chosenKey = std::make_pair(true, 0.0);
    for (const auto& [name, engine] : mResidency.engines) {
      const bool absent = !engine.items.contains(aItem);
      if (holds(name, aItem) || mFree.at(name) < memory ||
          (aWhere == Where::ResidentOnly && absent)) {
        continue;
      }
      const auto load = aLoad.find(name);
      const auto key = std::make_pair(absent && aWhere == Where::ResidentFirst,
                                      load == aLoad.end() ? 0.0 : load->second);
      if (!chosen || key < chosenKey) {
        chosen = name;
        chosenKey = key;
      }
    }
    return chosen;
  }

  int copies(const ItemName& aItem) const
  {
    return static_cast<int>(
      std::count_if(mDesired.begin(), mDesired.end(), [&](const auto& aEntry) {
        return aEntry.second.contains(aItem);
      }));
  }

  Desired take() { return std::move(mDesired); }

private:
  const Residency& mResidency;
  std::map<base::UpstreamName, int> mFree;
  Desired mDesired;
};

/** Spreads copies evenly over the engines, whatever the demand is. Only a
 * waiting request for a model that has no place changes the plan. */
class StaticStrategy : public Strategy
{
public:
  Desired plan(const DemandByItem& aDemand,
               const Residency& aResidency,
               base::TimePoint) override
  {
    Draft draft(aResidency);
    fill(draft, aResidency, {});
    for (const auto& [item, demand] : aDemand) {
      if (demand.waiting > 0 && item.adapter.empty() &&
          aResidency.declared.contains(item) && draft.copies(item) == 0) {
        Draft changed(aResidency);
        fill(changed, aResidency, item);
        return changed.take();
      }
    }
    return draft.take();
  }

private:
  static void fill(Draft& aDraft,
                   const Residency& aResidency,
                   const ItemName& aFirst)
  {
    Load load;
    const auto spread = [&](const ItemName& aItem) {
      const auto all = [](const base::UpstreamName&, const ItemName&) {
        return true;
      };
      const auto chosen = aDraft.best(aItem, Where::Any, load);
      if (chosen && aDraft.placeModel(*chosen, aItem, all)) {
        load[*chosen] += 1;
      }
    };
    if (aResidency.declared.contains(aFirst)) {
      spread(aFirst);
    }
    for (std::size_t copy = 0; copy < aResidency.engines.size(); ++copy) {
      for (const auto& [item, declared] : aResidency.declared) {
        if (item.adapter.empty() &&
            aDraft.copies(item) <= static_cast<int>(copy)) {
          spread(item);
        }
      }
    }
  }
};

/** Keeps what was used last; an item without a place is loaded on demand in
 * place of the least recently used one. */
class LruStrategy : public Strategy
{
public:
  Desired plan(const DemandByItem& aDemand,
               const Residency& aResidency,
               base::TimePoint aNow) override
  {
    std::vector<std::pair<std::int64_t, ItemName>> order;
    for (const auto& [item, declared] : aResidency.declared) {
      const auto demand = aDemand.find(item);
      if (demand != aDemand.end() &&
          (demand->second.requests > 0 || demand->second.waiting > 0)) {
        mLastUse[item] = aNow;
      }
      order.emplace_back(-mLastUse[item].time_since_epoch().count(), item);
    }
    std::sort(order.begin(), order.end());
    Draft draft(aResidency);
    Load load;
    const auto used = [this](const base::UpstreamName&, const ItemName& aItem) {
      return mLastUse[aItem] > base::TimePoint{};
    };
    // Every model gets one place before any gets a second.
    for (std::size_t copy = 0; copy < aResidency.engines.size(); ++copy) {
      for (const auto& [age, item] : order) {
        if (!item.adapter.empty()) {
          continue;
        }
        const auto chosen = draft.best(
          item, copy > 0 ? Where::ResidentOnly : Where::ResidentFirst, load);
        if (chosen && draft.placeModel(*chosen, item, used)) {
          load[*chosen] += 1;
        }
      }
    }
    return draft.take();
  }

private:
  std::map<ItemName, base::TimePoint> mLastUse;
};

/** Gives replicas by expected demand; see docs/decisions/0006-placement.md. */
class ForecastStrategy : public Strategy
{
public:
  Desired plan(const DemandByItem& aDemand,
               const Residency& aResidency,
               base::TimePoint aNow) override
  {
    learn(aDemand, aResidency, aNow);
    Draft draft(aResidency);
    Load load;
    std::vector<std::pair<double, ItemName>> models;
    for (const auto& [item, declared] : aResidency.declared) {
      if (item.adapter.empty()) {
        models.emplace_back(-expected(item), item);
      }
    }
    std::sort(models.begin(), models.end());
    for (const auto& [worth, item] : models) {
      add(draft,
          aResidency,
          item,
          draft.best(item, Where::ResidentFirst, load),
          load);
    }
    while (addReplica(draft, aResidency, models, load)) {
    }
    return draft.take();
  }

private:
  struct Seen
  {
    double slow = 0; ///< requests per second
    double fast = 0;
    int waiting = 0;
  };

  void learn(const DemandByItem& aDemand,
             const Residency& aResidency,
             base::TimePoint aNow)
  {
    const double passed = mStarted ? base::inSeconds(aNow - mLast) : 1.0;
    mStarted = true;
    mLast = aNow;
    if (passed <= 0) {
      return;
    }
    for (const auto& [item, declared] : aResidency.declared) {
      const auto found = aDemand.find(item);
      const Demand demand = found == aDemand.end() ? Demand{} : found->second;
      Seen& seen = mSeen[item];
      const double rate = demand.requests / passed;
      seen.slow += (rate - seen.slow) * (1 - std::exp(-passed / kSlowSeconds));
      seen.fast += (rate - seen.fast) * (1 - std::exp(-passed / kFastSeconds));
      seen.waiting = demand.waiting;
    }
  }

  /** The fast average follows a rise; the slow one keeps a model through a
   * short pause. */
  double expected(const ItemName& aItem) const
  {
    const auto seen = mSeen.find(aItem);
    if (seen == mSeen.end()) {
      return 0;
    }
    return std::max(seen->second.slow, seen->second.fast) +
           kWaitingWorth * seen->second.waiting;
  }

  void add(Draft& aDraft,
           const Residency& aResidency,
           const ItemName& aItem,
           const std::optional<base::UpstreamName>& aEngine,
           Load& aLoad) const
  {
    const auto wanted = [&](const base::UpstreamName& aName,
                            const ItemName& aAdapter) {
      return expected(aAdapter) > 0 ||
             aResidency.engines.at(aName).items.contains(aAdapter);
    };
    if (aEngine && aDraft.placeModel(*aEngine, aItem, wanted)) {
      aLoad[*aEngine] += expected(aItem) / aDraft.copies(aItem);
    }
  }

  bool addReplica(Draft& aDraft,
                  const Residency& aResidency,
                  const std::vector<std::pair<double, ItemName>>& aModels,
                  Load& aLoad) const
  {
    double bestWorth = 0;
    std::optional<base::UpstreamName> bestEngine;
    const ItemName* bestItem = nullptr;
    for (const auto& [worth, item] : aModels) {
      const double share = expected(item) / (aDraft.copies(item) + 1);
      for (const bool resident : { true, false }) {
        const double value = resident ? share * kHysteresis : share;
        if (value <= bestWorth || (!resident && share < kLeastWorth)) {
          continue;
        }
        const Where where = resident ? Where::ResidentOnly : Where::Any;
        if (const auto engine = aDraft.best(item, where, aLoad)) {
          bestWorth = value;
          bestEngine = engine;
          bestItem = &item;
        }
      }
    }
    if (bestItem == nullptr) {
      return false;
    }
    add(aDraft, aResidency, *bestItem, bestEngine, aLoad);
    return true;
  }

  std::map<ItemName, Seen> mSeen;
  base::TimePoint mLast;
  bool mStarted = false;
};

} // namespace

base::Result<std::unique_ptr<Strategy>>
makeStrategy(std::string_view aName)
{
  std::unique_ptr<Strategy> strategy;
  if (aName == "static") {
    strategy = std::make_unique<StaticStrategy>();
  } else if (aName == "lru") {
    strategy = std::make_unique<LruStrategy>();
  } else if (aName == "forecast") {
    strategy = std::make_unique<ForecastStrategy>();
  } else {
    return base::fail(base::Code::SettingsInvalid,
                      "a placement strategy is static, lru or forecast");
  }
  return strategy;
}

} // namespace marigold::placement
