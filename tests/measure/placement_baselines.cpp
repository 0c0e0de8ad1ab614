#include "placement_baselines.h"

#include <algorithm>
#include <map>
#include <optional>

namespace marigold::residency::measure {
namespace {

using catalog::ModelRef;

/** Models and adapters by engine. */
using Layout = std::map<base::UpstreamName, std::set<ModelRef>>;

/** Which engines are considered for a copy. */
enum class Where : std::uint8_t
{
  Any,           ///< whether it is resident or not
  ResidentFirst, ///< one that has it already costs no load
  ResidentOnly,
};

using Load = std::map<base::UpstreamName, double>;

/** @param aEngine engine @return what it holds or loads */
std::set<ModelRef>
itemsOf(const Engine& aEngine)
{
  std::set<ModelRef> items;
  for (const auto& [model, adapters] : aEngine.models) {
    items.insert({ model, "" });
    for (const std::string& adapter : adapters) {
      items.insert({ model, adapter });
    }
  }
  for (const base::ModelName& model : aEngine.loading) {
    items.insert({ model, "" });
  }
  return items;
}

/** A layout under construction that never exceeds an engine's memory. */
class Draft
{
public:
  explicit Draft(const PlanInput& aInput)
  {
    for (const Engine& engine : aInput.engines) {
      mResident[engine.name] = itemsOf(engine);
      mFreeMb[engine.name] = aInput.spec->weightsMb;
      mDesired[engine.name];
    }
  }

  /** Places a model and those of its adapters that a predicate selects, before
   * another model takes the memory. */
  template<typename Wanted>
  bool placeModel(const base::UpstreamName& aEngine,
                  const catalog::Model& aModel,
                  const Wanted& aWanted)
  {
    if (!place(aEngine, { aModel.name, "" }, aModel.weightsMb)) {
      return false;
    }
    for (const std::string& adapter : aModel.adapters) {
      const ModelRef item{ aModel.name, adapter };
      if (aWanted(item)) {
        place(aEngine, item, aModel.adapterMb);
      }
    }
    return true;
  }

  /** @return the least loaded engine with room for a copy of a model */
  std::optional<base::UpstreamName> best(const catalog::Model& aModel,
                                         Where aWhere,
                                         const Load& aLoad) const
  {
    const ModelRef item{ aModel.name, "" };
    std::optional<base::UpstreamName> chosen;
    auto chosenKey = std::make_pair(true, 0.0);
    for (const auto& [name, items] : mResident) {
      const bool absent = !items.contains(item);
      if (mDesired.at(name).contains(item) ||
          mFreeMb.at(name) < aModel.weightsMb ||
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

  std::size_t copies(const base::ModelName& aModel) const
  {
    return static_cast<std::size_t>(
      std::count_if(mDesired.begin(), mDesired.end(), [&](const auto& aEntry) {
        return aEntry.second.contains({ aModel, "" });
      }));
  }

  Layout take() { return std::move(mDesired); }

private:
  bool place(const base::UpstreamName& aEngine,
             const ModelRef& aItem,
             double aMemoryMb)
  {
    if (mDesired.at(aEngine).contains(aItem) ||
        mFreeMb.at(aEngine) < aMemoryMb) {
      return false;
    }
    mFreeMb.at(aEngine) -= aMemoryMb;
    mDesired.at(aEngine).insert(aItem);
    return true;
  }

  Layout mResident;
  std::map<base::UpstreamName, double> mFreeMb;
  Layout mDesired;
};

/** Orders that bring engines to a layout. What nobody serves is loaded first,
 * then what is requested most; models leave only to make room. */
class LayoutOrders
{
public:
  LayoutOrders(const PlanInput& aInput,
               const Requests& aRequests,
               const Layout& aDesired)
    : mInput(aInput)
    , mRequests(aRequests)
    , mDesired(aDesired)
    , mStoreLoads(aInput.availableStoreLoads)
  {
    for (const Engine& engine : aInput.engines) {
      mItems[engine.name] = itemsOf(engine);
      for (const ModelRef& item : mItems[engine.name]) {
        ++mReplicas[item];
      }
    }
    for (const auto& [engine, items] : aDesired) {
      mDesiredAnywhere.insert(items.begin(), items.end());
    }
  }

  std::vector<PlannedOrder> run()
  {
    std::vector<PlannedOrder> planned;
    std::set<base::UpstreamName> ordered;
    for (const Place& place : missing()) {
      if (ordered.contains(place.engine->name)) {
        continue;
      }
      if (auto order = orderFor(place)) {
        ordered.insert(place.engine->name);
        planned.push_back(std::move(*order));
      }
    }
    return planned;
  }

private:
  struct Place
  {
    bool served = false; ///< by another engine
    double need = 0;     ///< requests that arrived or wait
    ModelRef item;
    const Engine* engine = nullptr;
  };

  /** @return what engines lack that can get an order now */
  std::vector<Place> missing()
  {
    std::vector<Place> places;
    for (const Engine& engine : mInput.engines) {
      for (const ModelRef& item : mDesired.at(engine.name)) {
        if (engine.orderable && !mItems.at(engine.name).contains(item) &&
            (item.adapter.empty() || engine.models.contains(item.model))) {
          places.push_back({ mReplicas[item] > 0, need(item), item, &engine });
        }
      }
    }
    std::stable_sort(
      places.begin(), places.end(), [](const auto& aLeft, const auto& aRight) {
        return std::make_pair(aLeft.served, -aLeft.need) <
               std::make_pair(aRight.served, -aRight.need);
      });
    return places;
  }

  double need(const ModelRef& aItem) const
  {
    const auto arrived = mRequests.find(aItem);
    const auto demand = mInput.demand.find(aItem);
    return (arrived == mRequests.end() ? 0 : arrived->second) +
           (demand == mInput.demand.end() ? 0 : demand->second.waiting);
  }

  double memoryOf(const ModelRef& aItem) const
  {
    const catalog::Model& model = mInput.spec->models.at(aItem.model);
    return aItem.adapter.empty() ? model.weightsMb : model.adapterMb;
  }

  std::optional<PlannedOrder> orderFor(const Place& aPlace)
  {
    const base::UpstreamName& engine = aPlace.engine->name;
    double free = mInput.spec->weightsMb;
    for (const ModelRef& item : mItems.at(engine)) {
      free -= memoryOf(item);
    }
    const bool isModel = aPlace.item.adapter.empty();
    if (free < memoryOf(aPlace.item)) {
      return makeRoom(aPlace);
    }
    if (isModel && mStoreLoads == 0) {
      return {};
    }
    mStoreLoads -= isModel ? 1 : 0;
    ++mReplicas[aPlace.item];
    return PlannedOrder{ engine, true, aPlace.item, isModel, "layout" };
  }

  std::optional<PlannedOrder> makeRoom(const Place& aPlace)
  {
    const base::UpstreamName& engine = aPlace.engine->name;
    for (const ModelRef& item : mItems.at(engine)) {
      const bool mayLeave = !aPlace.served || mReplicas[item] > 1 ||
                            !mDesiredAnywhere.contains(item);
      if (!mDesired.at(engine).contains(item) && mayLeave) {
        --mReplicas[item];
        return PlannedOrder{ engine, false, item, false, "layout" };
      }
    }
    return {};
  }

  const PlanInput& mInput;
  const Requests& mRequests;
  const Layout& mDesired;
  unsigned mStoreLoads;
  Layout mItems;
  std::set<ModelRef> mDesiredAnywhere;
  std::map<ModelRef, int> mReplicas; ///< held or being loaded
};

/** Orders what is missing in a layout. */
class LayoutPlanner : public Planner
{
public:
  std::vector<PlannedOrder> plan(const PlanInput& aInput,
                                 const Requests& aRequests,
                                 base::TimePoint aNow) final
  {
    const Layout desired = layout(aInput, aRequests, aNow);
    return LayoutOrders(aInput, aRequests, desired).run();
  }

private:
  virtual Layout layout(const PlanInput& aInput,
                        const Requests& aRequests,
                        base::TimePoint aNow) = 0;
};

/** Spreads copies evenly over the engines, whatever the demand is. Only a
 * waiting request for a model that has no place changes the layout. */
class StaticPlanner : public LayoutPlanner
{
  Layout layout(const PlanInput& aInput,
                const Requests& /*aRequests*/,
                base::TimePoint /*aNow*/) override
  {
    Draft draft(aInput);
    fill(draft, aInput, {});
    for (const auto& [item, demand] : aInput.demand) {
      if (demand.waiting > 0 && draft.copies(item.model) == 0 &&
          aInput.spec->models.contains(item.model)) {
        Draft changed(aInput);
        fill(changed, aInput, item.model);
        return changed.take();
      }
    }
    return draft.take();
  }

  static void fill(Draft& aDraft,
                   const PlanInput& aInput,
                   const base::ModelName& aFirst)
  {
    Load load;
    const auto spread = [&](const catalog::Model& aModel) {
      const auto chosen = aDraft.best(aModel, Where::Any, load);
      if (chosen && aDraft.placeModel(
                      *chosen, aModel, [](const ModelRef&) { return true; })) {
        load[*chosen] += 1;
      }
    };
    const auto first = aInput.spec->models.find(aFirst);
    if (first != aInput.spec->models.end()) {
      spread(first->second);
    }
    for (std::size_t copy = 0; copy < aInput.engines.size(); ++copy) {
      for (const auto& [name, model] : aInput.spec->models) {
        if (aDraft.copies(name) <= copy) {
          spread(model);
        }
      }
    }
  }
};

/** Keeps what was used last; a model without a place is loaded on demand in
 * place of the least recently used one. */
class LruPlanner : public LayoutPlanner
{
  Layout layout(const PlanInput& aInput,
                const Requests& aRequests,
                base::TimePoint aNow) override
  {
    for (const auto& [item, count] : aRequests) {
      mLastUse[item] = aNow;
    }
    for (const auto& [item, demand] : aInput.demand) {
      if (demand.waiting > 0) {
        mLastUse[item] = mLastUse[{ item.model, "" }] = aNow;
      }
    }
    std::vector<std::pair<base::TimePoint, const catalog::Model*>> order;
    for (const auto& [name, model] : aInput.spec->models) {
      order.emplace_back(mLastUse[{ name, "" }], &model);
    }
    std::stable_sort(order.begin(), order.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.first > aRight.first;
    });
    Draft draft(aInput);
    Load load;
    const auto used = [this](const ModelRef& aItem) {
      return mLastUse[aItem] > base::TimePoint{};
    };
    // Every model gets one place before any gets a second.
    for (std::size_t copy = 0; copy < aInput.engines.size(); ++copy) {
      for (const auto& [at, model] : order) {
        const auto chosen = draft.best(
          *model, copy > 0 ? Where::ResidentOnly : Where::ResidentFirst, load);
        if (chosen && draft.placeModel(*chosen, *model, used)) {
          load[*chosen] += 1;
        }
      }
    }
    return draft.take();
  }

  std::map<ModelRef, base::TimePoint> mLastUse;
};

/** The planners of the library, as the owner of orders runs them. */
class ResidencyPlanner : public Planner
{
  std::vector<PlannedOrder> plan(const PlanInput& aInput,
                                 const Requests& /*aRequests*/,
                                 base::TimePoint aNow) override
  {
    PlanInput input = aInput;
    mUnserved.update(input, aNow);
    std::vector<PlannedOrder> planned;
    std::set<base::UpstreamName> ordered;
    for (const auto planner :
         { &planAdapters, &planModels, &planAdapterPrefetch }) {
      for (PlannedOrder& order : planner(input)) {
        if (ordered.insert(order.engine).second) {
          planned.push_back(std::move(order));
        }
      }
    }
    return planned;
  }

  UnservedTracker mUnserved;
};

} // namespace

std::unique_ptr<Planner>
makePlanner(std::string_view aName)
{
  if (aName == "static") {
    return std::make_unique<StaticPlanner>();
  }
  if (aName == "lru") {
    return std::make_unique<LruPlanner>();
  }
  return std::make_unique<ResidencyPlanner>();
}

} // namespace marigold::residency::measure
