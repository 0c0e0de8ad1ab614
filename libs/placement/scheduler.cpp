#include "placement/scheduler.h"

#include <algorithm>
#include <tuple>

namespace marigold::placement {
namespace {

class Scheduler
{
public:
  Scheduler(EngineViews aViews,
            const Desired& aDesired,
            const Declarations& aDeclared,
            const DemandByItem& aDemand,
            LoadBudget aBudget)
    : mViews(std::move(aViews))
    , mDesired(aDesired)
    , mDeclared(aDeclared)
    , mDemand(aDemand)
    , mBudget(aBudget)
  {
    countReplicas();
  }

  Schedule run()
  {
    continueDrains();
    // First, because it makes room without taking a replica away.
    retireOldVersions();
    for (const Place& place : wanted()) {
      tryLoad(place);
    }
    return std::move(mSchedule);
  }

private:
  struct Replicas
  {
    int serving = 0; ///< any version, not draining
    int current = 0; ///< of these, the declared version
    int moving = 0;  ///< being loaded or drained
  };

  void countReplicas()
  {
    for (const auto& [name, view] : mViews) {
      for (const auto& [item, memory] : view.resident) {
        Replicas& replicas = mReplicas[item.name()];
        if (view.draining.contains(item)) {
          ++replicas.moving;
          continue;
        }
        ++replicas.serving;
        replicas.current += isCurrent(item) ? 1 : 0;
      }
      for (const Item& item : view.loading) {
        ++mReplicas[item.name()].moving;
      }
    }
  }

  bool isCurrent(const Item& aItem) const
  {
    const auto declared = mDeclared.find(aItem.name());
    return declared != mDeclared.end() &&
           declared->second.version == aItem.version;
  }

  bool desiredAt(const base::UpstreamName& aEngine, const ItemName& aItem) const
  {
    const auto desired = mDesired.find(aEngine);
    return desired != mDesired.end() && desired->second.contains(aItem);
  }

  bool desiredAnywhere(const ItemName& aItem) const
  {
    return std::any_of(
      mDesired.begin(), mDesired.end(), [&](const auto& aEntry) {
        return aEntry.second.contains(aItem);
      });
  }

  /** A drain is not taken back, because callers have been told already. */
  void continueDrains()
  {
    for (const auto& [name, view] : mViews) {
      for (const Item& item : view.draining) {
        mSchedule.unloads.insert({ name, item });
      }
    }
  }

  /** Places to fill: what nobody serves first, then by demand. */
  std::vector<Place> wanted()
  {
    std::vector<std::pair<std::tuple<bool, double>, Place>> ranked;
    for (const auto& [engine, items] : mDesired) {
      const auto view = mViews.find(engine);
      if (view == mViews.end() || !view->second.ready) {
        continue;
      }
      for (const ItemName& name : items) {
        if (!mDeclared.contains(name)) {
          continue; // planned under an older manifest
        }
        const Declared& declared = mDeclared.at(name);
        const Item item{ name.model, declared.version, name.adapter };
        if (view->second.resident.contains(item) ||
            view->second.loading.contains(item) ||
            !modelPresent(view->second, item)) {
          continue;
        }
        ranked.push_back({ rank(name), { engine, item } });
      }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Place> places;
    places.reserve(ranked.size());
    for (auto& [key, place] : ranked) {
      places.push_back(std::move(place));
    }
    return places;
  }

  std::tuple<bool, double> rank(const ItemName& aName)
  {
    const Replicas& replicas = mReplicas[aName];
    const auto demand = mDemand.find(aName);
    const double need = demand == mDemand.end()
                          ? 0
                          : demand->second.requests + demand->second.waiting;
    return { replicas.serving + replicas.moving > 0, -need };
  }

  static bool modelPresent(const EngineView& aView, const Item& aItem)
  {
    const Item model{ aItem.model, aItem.version, "" };
    return aItem.adapter.empty() ||
           (aView.resident.contains(model) && !aView.draining.contains(model));
  }

  void tryLoad(const Place& aPlace)
  {
    EngineView& view = mViews.at(aPlace.engine);
    const auto reserved = view.reserved.find(aPlace.item);
    const int memory = mDeclared.at(aPlace.item.name()).memoryMb -
                       (reserved == view.reserved.end() ? 0 : reserved->second);
    int& budget =
      aPlace.item.adapter.empty() ? mBudget.models : mBudget.adapters;
    if (view.freeMb >= memory) {
      if (budget > 0) {
        start(aPlace, view, memory, budget);
      }
      return;
    }
    makeRoom(aPlace, view, memory);
  }

  void start(const Place& aPlace, EngineView& aView, int aMemory, int& aBudget)
  {
    --aBudget;
    aView.freeMb -= aMemory;
    aView.loading.insert(aPlace.item);
    ++mReplicas[aPlace.item.name()].moving;
    mSchedule.loads.push_back(aPlace);
  }

  /** Drains what is not desired on the engine until the item fits. */
  void makeRoom(const Place& aPlace, EngineView& aView, int aMemory)
  {
    int free = aView.freeMb;
    for (const auto& [item, memory] : aView.resident) {
      free += aView.draining.contains(item) ? memory : 0;
    }
    const Replicas& own = mReplicas[aPlace.item.name()];
    const bool unserved = own.serving == 0 && own.moving == 0;
    for (const auto& [item, memory] : aView.resident) {
      if (free >= aMemory) {
        return;
      }
      const Place place{ aPlace.engine, item };
      if (mSchedule.unloads.contains(place) ||
          desiredAt(aPlace.engine, item.name()) ||
          !(unserved || mayRelease(item))) {
        continue;
      }
      free += memory;
      // An adapter goes with its model, without an order of its own.
      if (!mSchedule.unloads.contains(
            { aPlace.engine, { item.model, item.version, "" } })) {
        drain(place);
      }
    }
    if (free >= aMemory || !aPlace.item.adapter.empty()) {
      return;
    }
    changeInPlace(aPlace, own);
  }

  /** The new version does not fit beside the old one here. */
  void changeInPlace(const Place& aPlace, const Replicas& aOwn)
  {
    const ItemName name = aPlace.item.name();
    for (const auto& [item, memory] : mViews.at(aPlace.engine).resident) {
      if (item.name() != name || isCurrent(item) || aOwn.moving > 0) {
        continue;
      }
      if (aOwn.serving > 1) {
        drain({ aPlace.engine, item });
        return;
      }
      if (loadElsewhere(aPlace)) {
        return;
      }
      // No engine can have room for a second replica, even after the moves that
      // are under way: callers wait for one load.
      if (anyMove()) {
        return;
      }
      drain({ aPlace.engine, item });
      return;
    }
  }

  /** @return true if another engine has room for a second replica, or will
   * have it */
  bool loadElsewhere(const Place& aPlace)
  {
    const int memory = mDeclared.at(aPlace.item.name()).memoryMb;
    for (auto& [name, view] : mViews) {
      if (view.ready && view.freeMb >= memory) {
        if (mBudget.models > 0) {
          start({ name, aPlace.item }, view, memory, mBudget.models);
        }
        return true;
      }
    }
    return std::any_of(mViews.begin(), mViews.end(), [&](const auto& aEntry) {
      return aEntry.second.ready && clear(aEntry.first, memory);
    });
  }

  /** Drains what an engine need not keep, if that is enough for some memory.
   * The account may be higher for a while; that is no reason to give up the
   * only replica of a model. */
  bool clear(const base::UpstreamName& aEngine, int aMemory)
  {
    const EngineView& view = mViews.at(aEngine);
    int free = view.memoryMb;
    std::vector<Place> removable;
    for (const auto& [item, memory] : view.resident) {
      const Place place{ aEngine, item };
      if (mSchedule.unloads.contains(place)) {
        continue;
      }
      const bool spare =
        item.adapter.empty() && mReplicas[item.name()].serving > 1;
      if (spare || (!desiredAt(aEngine, item.name()) && mayRelease(item))) {
        removable.push_back(place);
        continue;
      }
      free -= memory;
    }
    for (const Item& item : view.loading) {
      const auto declared = mDeclared.find(item.name());
      free -= declared == mDeclared.end() ? 0 : declared->second.memoryMb;
    }
    if (free < aMemory) {
      return false;
    }
    for (const Place& place : removable) {
      drain(place);
    }
    return true;
  }

  bool anyMove() const
  {
    return std::any_of(
      mReplicas.begin(), mReplicas.end(), [](const auto& aEntry) {
        return aEntry.second.moving > 0;
      });
  }

  bool mayRelease(const Item& aItem)
  {
    const auto declared = mDeclared.find(aItem.name());
    return declared == mDeclared.end() || mReplicas[aItem.name()].serving > 1 ||
           !desiredAnywhere(aItem.name());
  }

  void drain(const Place& aPlace)
  {
    if (!mSchedule.unloads.insert(aPlace).second) {
      return;
    }
    Replicas& replicas = mReplicas[aPlace.item.name()];
    --replicas.serving;
    replicas.current -= isCurrent(aPlace.item) ? 1 : 0;
    ++replicas.moving;
  }

  /** An old version goes once the new one serves; one replica at a time, unless
   * the new one is on the same engine. */
  void retireOldVersions()
  {
    for (const auto& [name, view] : mViews) {
      for (const auto& [item, memory] : view.resident) {
        if (isCurrent(item) || mSchedule.unloads.contains({ name, item })) {
          continue;
        }
        const auto declared = mDeclared.find(item.name());
        if (declared == mDeclared.end()) {
          drain({ name, item });
          continue;
        }
        if (!item.adapter.empty()) {
          if (!adapterInUse(view, item)) {
            drain({ name, item });
          }
          continue;
        }
        const Item current{ item.model, declared->second.version, "" };
        const bool beside =
          view.resident.contains(current) && !view.draining.contains(current);
        const Replicas& replicas = mReplicas[item.name()];
        if (beside || (replicas.current > 0 && replicas.moving == 0)) {
          drain({ name, item });
        }
      }
    }
  }

  /** An old adapter is of use only with its own version of the model. */
  static bool adapterInUse(const EngineView& aView, const Item& aItem)
  {
    return aView.resident.contains({ aItem.model, aItem.version, "" });
  }

  EngineViews mViews;
  const Desired& mDesired;
  const Declarations& mDeclared;
  const DemandByItem& mDemand;
  LoadBudget mBudget;
  std::map<ItemName, Replicas> mReplicas;
  Schedule mSchedule;
};

} // namespace

Schedule
schedule(EngineViews aViews,
         const Desired& aDesired,
         const Declarations& aDeclared,
         const DemandByItem& aDemand,
         LoadBudget aBudget)
{
  return Scheduler(std::move(aViews), aDesired, aDeclared, aDemand, aBudget)
    .run();
}

} // namespace marigold::placement
